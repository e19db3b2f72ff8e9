package history

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
	"sort"

	"bronzewinch.dev/lib/decision"
)

// hashIndex is the sorted hashes of the jobs, accounts and workers that the
// records of a segment name, four bytes each. It is searched without decoding. A
// hash collision costs an unnecessary decompression of the segment, but does not
// change the result.
type hashIndex []byte

const hashSize = 4

// namespace separates the hashes of jobs, accounts and workers, since their names
// can be equal.
type namespace string

const (
	jobNames     namespace = "job/"
	accountNames namespace = "account/"
	workerNames  namespace = "worker/"
)

func hash[V ~string](n namespace, value V) uint32 {
	return crc32.Update(crc32.Checksum([]byte(n), castagnoli), castagnoli, []byte(value))
}

func newHashIndex(hashes []uint32) hashIndex {
	hashes = slices.Clone(hashes)
	slices.Sort(hashes)
	hashes = slices.Compact(hashes)
	x := make(hashIndex, 0, hashSize*len(hashes))
	for _, h := range hashes {
		x = binary.BigEndian.AppendUint32(x, h)
	}
	return x
}

func (x hashIndex) at(i int) uint32 { return binary.BigEndian.Uint32(x[hashSize*i:]) }

// mayContain reports whether the segment may name the value. It always returns
// true for an empty value, which matches everything.
func (x hashIndex) mayContain(names namespace, value string) bool {
	if value == "" {
		return true
	}
	n, h := len(x)/hashSize, hash(names, value)
	i := sort.Search(n, func(i int) bool { return x.at(i) >= h })
	return i < n && x.at(i) == h
}

// recordHashes returns the hashes of the job, account and workers that a record
// names.
func recordHashes(r *decision.Record) []uint32 {
	hashes := []uint32{hash(jobNames, r.Job), hash(accountNames, r.Spec.Account)}
	for _, m := range r.Members {
		hashes = append(hashes, hash(workerNames, m.Worker))
	}
	for _, v := range r.Victims {
		for _, m := range v.Members {
			hashes = append(hashes, hash(workerNames, m.Worker))
		}
	}
	return hashes
}
