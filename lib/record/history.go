package record

import (
	"maps"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
)

// AcceptedRecord is a record in force, in the schema version in which the
// operator wrote it, with the change that last modified it.
type AcceptedRecord struct {
	Record   Record
	Revision id.Revision
	Author   id.Operator
	At       time.Time
}

// AcceptedChange is a change set in the history of a set.
type AcceptedChange struct {
	Revision id.Revision `cbor:"1,keyasint"`
	ID       ChangeID    `cbor:"2,keyasint"`
	Author   id.Operator `cbor:"3,keyasint"`
	At       time.Time   `cbor:"4,keyasint"`
	Items    []Item      `cbor:"5,keyasint"`
	Copies   []CopyZones `cbor:"6,keyasint,omitempty"`
}

// Limits of the history of a set. MaxHistorySize is in bytes. The snapshot of
// a set with its history is one value of the key-value service, which allows
// at most 1 MiB.
const (
	MaxHistoryChanges = 1000
	MaxHistorySize    = 256 << 10
)

type changeHistory []AcceptedChange

// size returns the approximate size of the encoded change in bytes.
func (p AcceptedChange) size() int {
	size := len(p.ID) + len(p.Author)
	for _, it := range p.Items {
		size += len(it.Key.String()) + len(it.Text)
	}
	return size
}

// with returns a copy with one more change. It removes the oldest changes above
// MaxHistoryChanges. Above MaxHistorySize it removes only the items of the
// oldest changes, so that their ids and authors are retained longer. It removes
// all items of a change, because an item without its text would mean a removal.
func (h changeHistory) with(p AcceptedChange) changeHistory {
	next := append(slices.Clone(h), p)
	next = next[max(len(next)-MaxHistoryChanges, 0):]
	size := 0
	for i := len(next) - 1; i >= 0; i-- {
		size += next[i].size()
		if size > MaxHistorySize && i < len(next)-1 {
			next[i].Items = nil
		}
	}
	return next
}

// RevisionOfChange returns the revision that a change set created, if it is one
// of the last MaxHistoryChanges.
func (s *Set) RevisionOfChange(c ChangeID) (id.Revision, bool) {
	for _, p := range slices.Backward(s.history) {
		if p.ID == c {
			return p.Revision, true
		}
	}
	return 0, false
}

// History returns the last accepted change sets, the oldest first. The oldest
// may have no items, because the size of the history is limited.
func (s *Set) History() []AcceptedChange { return slices.Clone(s.history) }

// Get returns the record in force with a key.
func (s *Set) Get(k Key) (AcceptedRecord, error) {
	w, ok := s.records[k]
	if !ok {
		return AcceptedRecord{}, problem.New(problem.NotFound, problem.Detail{Field: "record", Value: k.String(),
			Remedy: "list the records with `bronzewinch get`"})
	}
	return w, nil
}

// Records returns the records in force, sorted by key.
func (s *Set) Records() []AcceptedRecord {
	var list []AcceptedRecord
	for _, k := range slices.SortedFunc(maps.Keys(s.records), compareKeys) {
		list = append(list, s.records[k])
	}
	return list
}

// encodedSet is the encoded form of a set.
type encodedSet struct {
	Revision id.Revision     `cbor:"1,keyasint"`
	Records  []encodedRecord `cbor:"2,keyasint"`
	History  changeHistory   `cbor:"3,keyasint"`
	Copies   []CopyZones     `cbor:"4,keyasint,omitempty"`
}

type encodedRecord struct {
	Text     string      `cbor:"1,keyasint"`
	Revision id.Revision `cbor:"2,keyasint"`
	Author   id.Operator `cbor:"3,keyasint"`
	At       time.Time   `cbor:"4,keyasint"`
}

// Encode encodes the set with its history, for a snapshot in the journal.
func (s *Set) Encode() ([]byte, error) {
	snap := encodedSet{Revision: s.Revision, History: s.history, Copies: s.Copies}
	for _, w := range s.Records() {
		snap.Records = append(snap.Records, encodedRecord{w.Record.text, w.Revision, w.Author, w.At})
	}
	return encode(setFormat, snap)
}

// DecodeSet decodes a set that Set.Encode encoded. It checks the fields of the
// records again, so a new release may raise the limits of fields but not lower
// them.
func DecodeSet(data []byte) (*Set, error) {
	snap, err := decode[encodedSet]("snapshot", setFormat, data)
	if err != nil {
		return nil, err
	}
	s := NewSet()
	s.Revision, s.history, s.Copies = snap.Revision, snap.History, snap.Copies
	for _, one := range snap.Records {
		r, err := Parse(one.Text)
		if err != nil {
			return nil, err
		}
		r.asV2().addTo(s)
		s.records[r.key] = AcceptedRecord{r, one.Revision, one.Author, one.At}
	}
	return s, nil
}
