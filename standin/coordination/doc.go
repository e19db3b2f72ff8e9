// Package coordination contains the tests of the journal and of shard ownership.
// They run against the stand-in for the key-value service, with fault schedules that
// are generated from seeds.
//
// To repeat one schedule, run
//
//	go test ./coordination -run TestJournalFaults -seed 42
package coordination
