package history

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
	"sort"

	"bronzewinch.dev/lib/decision"
)

// hashIndex is the hashes of the jobs, accounts and workers that a segment names,
// four bytes each, in order. A search needs no decoding. Two values with one
// hash cost a decoding, not a wrong result.
type hashIndex []byte

const hashSize = 4

// namespace tells the values of the kinds apart, whose names can be the same.
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

// mayContain reports whether the segment may name a value. An empty value is no
// condition.
func (x hashIndex) mayContain(names namespace, value string) bool {
	if value == "" {
		return true
	}
	n, h := len(x)/hashSize, hash(names, value)
	i := sort.Search(n, func(i int) bool { return x.at(i) >= h })
	return i < n && x.at(i) == h
}

// recordHashes returns what a record can be found by.
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
