package record

import (
	"fmt"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
)

// AtRevision returns the set that was in force at an earlier revision, from the past
// changes. It returns NotFound for a revision that was never in force, or when
// texts that it needs are no longer kept.
func (s *Set) AtRevision(revision id.Revision) (*Set, error) {
	if revision == s.Revision {
		return s, nil
	}
	if revision > s.Revision || revision == 0 {
		return nil, problem.New(problem.NotFound, problem.Detail{Field: "revision", Value: fmt.Sprint(revision),
			Limit: fmt.Sprintf("1 to %d", s.Revision), Remedy: "use a revision of `bronzewinch history`"})
	}
	if revision < s.oldestRetained() {
		return nil, notRetained(revision, "its later changes are no longer kept")
	}
	past := NewSet()
	past.Revision = revision
	for _, k := range s.allKeys() {
		text, at, known := s.textAt(k, revision)
		if !known {
			return nil, notRetained(revision, "the text of "+k.String()+" is no longer kept")
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

// SetFromRecords returns the set of records that were in force at a revision, for a
// reader that got them from a node. It has no past changes.
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

// oldestRetained returns the oldest revision after which all changes are kept.
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

// allKeys returns the keys in force or in past changes, in order.
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

// textAt returns the text of a record at a revision and the revision it had
// then. The text is empty when the record was absent.
//
// A change that writes a record as it stands keeps the record's revision and
// need not name its base. Such a change is known by what follows it: the next
// change, or the record in force, is based on an earlier revision.
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
		return "", 0, true // the first change after the revision made it
	case len(before) > 0:
		// Writing it as it stands gives the same text again.
		return before[len(before)-1].Text, base, true
	case after[0].Base != base || len(after) > 1 && after[1].Base == base:
		return after[0].Text, base, true
	}
	return "", 0, false
}

type pastItem struct {
	Item
	revision id.Revision
}
