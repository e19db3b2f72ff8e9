package record

import (
	"fmt"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
)

// AtRevision reconstructs the set that was in force at an earlier revision from
// the history. It returns a NotFound error if the revision was never in force,
// or if the history no longer contains a text that the set needs.
func (s *Set) AtRevision(revision id.Revision) (*Set, error) {
	if revision == s.Revision {
		return s, nil
	}
	if revision > s.Revision || revision == 0 {
		return nil, problem.New(problem.NotFound, problem.Detail{Field: "revision", Value: fmt.Sprint(revision),
			Limit: fmt.Sprintf("1 to %d", s.Revision), Remedy: "use a revision of `bronzewinch history`"})
	}
	if revision < s.oldestRetained() {
		return nil, notRetained(revision, "the history no longer contains the items of all later changes")
	}
	past := NewSet()
	past.Revision = revision
	for _, k := range s.allKeys() {
		text, at, known := s.textAt(k, revision)
		if !known {
			return nil, notRetained(revision, "the text of "+k.String()+" is no longer in the history")
		}
		if text == "" {
			continue
		}
		r, err := Parse(text)
		if err != nil {
			return nil, err
		}
		r.asV2().addTo(past)
		past.records[k] = AcceptedRecord{Record: r, Revision: at}
	}
	for _, p := range s.history {
		if p.Revision <= revision {
			past.history = append(past.history, p)
			if len(p.Copies) > 0 {
				past.Copies = p.Copies
			}
		}
	}
	return past, nil
}

// SetFromRecords returns the set with the given records, which were in force at
// a revision. Programs that read the records from a node use it. The set has no
// history.
func SetFromRecords(revision id.Revision, records []Record) *Set {
	s := NewSet()
	s.Revision = revision
	for _, r := range records {
		r.asV2().addTo(s)
		s.records[r.key] = AcceptedRecord{Record: r, Revision: r.BaseRevision()}
	}
	return s
}

func notRetained(revision id.Revision, why string) error {
	return problem.New(problem.NotFound, problem.Detail{Field: "revision", Value: fmt.Sprint(revision), Limit: why,
		Remedy: "use a later revision"})
}

// oldestRetained returns the oldest revision for which the history contains the
// items of all later changes.
func (s *Set) oldestRetained() id.Revision {
	if len(s.history) == 0 {
		return s.Revision
	}
	oldest := id.Revision(0)
	if first := s.history[0].Revision; first > 1 {
		oldest = first - 1
	}
	for _, p := range s.history {
		if len(p.Items) == 0 {
			oldest = p.Revision
		}
	}
	return oldest
}

// allKeys returns the keys of the records in force, sorted, followed by the
// other keys in the history, the oldest first.
func (s *Set) allKeys() []Key {
	seen := make(map[Key]bool)
	var keys []Key
	add := func(k Key) {
		if !seen[k] {
			seen[k] = true
			keys = append(keys, k)
		}
	}
	for _, w := range s.Records() {
		add(w.Record.key)
	}
	for _, p := range s.history {
		for _, it := range p.Items {
			add(it.Key)
		}
	}
	return keys
}

// textAt returns the text that a record had when a revision was in force, and
// the revision of that text. The text is empty if the record did not exist.
// known is false if the history does not contain the text.
//
// A change that writes a record with unchanged text keeps the record's
// revision, and its base revision may be 0. Such a change is recognized by the
// one after it, or by the record in force, whose base revision is older than
// the change.
func (s *Set) textAt(k Key, revision id.Revision) (text string, at id.Revision, known bool) {
	if w, ok := s.records[k]; ok && w.Revision <= revision {
		return w.Record.text, w.Revision, true
	}
	var before, after []pastItem
	for _, p := range s.history {
		for _, it := range p.Items {
			switch {
			case it.Key != k:
			case p.Revision <= revision:
				before = append(before, pastItem{it, p.Revision})
			default:
				after = append(after, pastItem{it, p.Revision})
			}
		}
	}
	base := id.Revision(0)
	if len(after) == 0 {
		return "", 0, len(before) > 0 && before[len(before)-1].Text == ""
	}
	for _, it := range after {
		if it.Base > 0 && it.Base <= revision {
			base = it.Base
		}
	}
	switch {
	case base == 0:
		return "", 0, true // a later change created the record
	case len(before) > 0:
		// If this item did not change the record, it has the same text.
		return before[len(before)-1].Text, base, true
	case after[0].Base != base || len(after) > 1 && after[1].Base == base:
		return after[0].Text, base, true
	}
	return "", 0, false
}

// pastItem is an item of a change in the history, with the revision of the
// change.
type pastItem struct {
	Item
	revision id.Revision
}
