package record

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/tomlfile"
)

// Binder binds the copies of all guaranteed shapes of a set to the declared
// workers and returns the zones of the copies whose guarantee names no zone. It
// returns an error if not all copies can be bound at the same time. The error
// names the shape and what would fit.
type Binder interface {
	Bind(s *Set) ([]CopyZones, error)
}

// ConflictError reports a change whose base revision of a record is not the one
// in force. It contains both versions of the record. Its kind is Conflict.
type ConflictError struct {
	Key     Key         `json:"key"`
	Base    id.Revision `json:"base"`
	Current id.Revision `json:"current"`
	// CurrentText and Text are the record in force and the changed one. An
	// empty text means that the record does not exist or is removed.
	CurrentText string `json:"currentText"`
	Text        string `json:"text"`
}

// Error names the record, both revisions and the remedy.
func (e *ConflictError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the typed error.
func (e *ConflictError) Unwrap() error {
	remedy := "get the current record, make the change to it again and apply it with its baseRevision"
	if e.CurrentText == "" {
		remedy = "the record was removed; apply it without baseRevision to create it again"
	}
	return problem.New(problem.Conflict, problem.Detail{Field: "baseRevision of " + e.Key.String(),
		Value: fmt.Sprint(e.Base), Limit: fmt.Sprintf("revision %d, which is in force", e.Current), Remedy: remedy})
}

// Accept applies the change as a new revision and returns the resulting set. In
// addition to the checks of With, it binds the guaranteed shapes. The caller
// stores the Copies of the resulting set with the change.
func (s *Set) Accept(c Change, revision id.Revision, binder Binder) (*Set, error) {
	next, err := s.With(c, revision)
	if err != nil {
		return nil, err
	}
	next.Copies, err = binder.Bind(next)
	return next, err
}

// With applies the change as a new revision and returns the resulting set. It
// checks names, references, tokens and sizes, and that the base revision of
// each changed record is the one in force. The result is the same on every
// node. A record that is written with unchanged text keeps its revision.
func (s *Set) With(c Change, revision id.Revision) (*Set, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	if revision <= s.Revision {
		return nil, problem.New(problem.Conflict, problem.Detail{Field: "revision", Value: fmt.Sprint(revision),
			Limit: fmt.Sprintf("more than %d", s.Revision), Remedy: "apply the change to the newest revision"})
	}
	if at, ok := s.RevisionOfChange(c.ID); ok {
		return nil, problem.New(problem.Conflict, problem.Detail{Field: "changeId", Value: string(c.ID),
			Limit: "each id at most once", Remedy: fmt.Sprintf("the change was accepted as revision %d; choose a new id for another change", at)})
	}
	next := s.Clone()
	next.Revision = revision
	// Removals are applied first, so that the name of a removed record can be
	// used again in the same change.
	items := slices.Clone(c.Items)
	slices.SortStableFunc(items, func(a, b Item) int { return cmp.Compare(min(len(a.Text), 1), min(len(b.Text), 1)) })
	for _, it := range items {
		if err := next.applyItem(it, c); err != nil {
			return nil, err
		}
	}
	if err := next.check(); err != nil {
		return nil, err
	}
	if len(c.Copies) > 0 {
		next.Copies = c.Copies
	}
	next.history = next.history.with(AcceptedChange{Revision: revision, ID: c.ID, Author: c.Author, At: c.At, Items: c.Items, Copies: c.Copies})
	return next, nil
}

// applyItem applies one item of a change to s.
func (s *Set) applyItem(it Item, c Change) error {
	old, exists := s.records[it.Key]
	if exists && old.Record.text == it.Text {
		return nil
	}
	if old.Revision != it.Base {
		return &ConflictError{Key: it.Key, Base: it.Base, Current: old.Revision, CurrentText: old.Record.text, Text: it.Text}
	}
	if it.Text == "" {
		if !exists {
			return problem.New(problem.NotFound, problem.Detail{Field: "record", Value: it.Key.String(), Remedy: "list the records with `bronzewinch get`"})
		}
		old.Record.asV2().removeFrom(s)
		delete(s.records, it.Key)
		return nil
	}
	r, err := Parse(it.Text)
	if err != nil {
		return err
	}
	if r.key != it.Key {
		return invalid("key", it.Key.String(), r.key.String(), "use the kind and name of the record's text")
	}
	if r.key.Kind == KindJob {
		return invalid("kind", string(r.key.Kind), "any kind but job", "use `bronzewinch submit` for jobs")
	}
	if exists {
		old.Record.asV2().removeFrom(s)
	}
	if err := s.checkUniqueShapes(r); err != nil {
		return err
	}
	r.asV2().addTo(s)
	if s.records == nil {
		s.records = make(map[Key]AcceptedRecord)
	}
	s.records[r.key] = AcceptedRecord{Record: r, Revision: s.Revision, Author: c.Author, At: c.At}
	return nil
}

// checkUniqueShapes returns an error if another record declares a guaranteed
// shape with the same name. This is possible because a record with several
// zones declares one shape for each of them, with the zone in its name.
func (s *Set) checkUniqueShapes(r Record) error {
	g, ok := r.asV2().(*GuaranteeV2)
	if !ok {
		return nil
	}
	for _, one := range g.guarantees() {
		if _, taken := s.Guarantees[GuaranteeKey{one.Account, one.Name}]; taken {
			return invalid(r.key.String()+" name", string(one.Name), "one record for each shape of an account", "choose another name")
		}
	}
	return nil
}

// check returns an error with all inconsistencies between the records of s.
func (s *Set) check() error {
	var m tomlfile.Mistakes
	if len(s.Operators) == 0 {
		m.Add(0, problem.Detail{Field: "operators", Value: "0", Limit: "at least 1", Remedy: "keep at least one operator; without one, no further change is possible"})
	}
	s.checkTokens(&m)
	s.checkReferences(&m)
	s.checkWorkers(&m)
	s.checkObjectives(&m)
	return m.Err()
}

// checkTokens reports a token that two operators or accounts have.
func (s *Set) checkTokens(m *tomlfile.Mistakes) {
	seen := make(map[TokenHash]Key)
	note := func(k Key, tokens []TokenHash) {
		for _, h := range tokens {
			if first, ok := seen[h]; ok {
				m.Add(0, problem.Detail{Field: k.String() + " tokens", Limit: "tokens that no other operator or account has",
					Remedy: fmt.Sprintf("replace the token that %s also has", first)})
			}
			seen[h] = k
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Operators)) {
		note(Key{Kind: KindOperator, Name: string(name)}, s.Operators[name].Tokens)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Accounts)) {
		note(Key{Kind: KindAccount, Name: string(name)}, s.Accounts[name].Tokens)
	}
}

// checkReferences reports references to accounts and zones without a record.
func (s *Set) checkReferences(m *tomlfile.Mistakes) {
	missing := func(k Key, field string, kind Kind, name string) {
		m.Add(0, problem.Detail{Field: k.String() + " " + field, Value: name, Limit: "a record of kind " + string(kind) + " in force or in the change",
			Remedy: fmt.Sprintf("add the record %s/%s in the same change, or correct the name", kind, name)})
	}
	zone := func(k Key, field string, z id.Zone) {
		if _, ok := s.Zones[z]; !ok && z != "" {
			missing(k, field, KindZone, string(z))
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(s.records), compareKeys) {
		switch b := s.records[k].Record.asV2().(type) {
		case *GuaranteeV2:
			if _, ok := s.Accounts[b.Account]; !ok {
				missing(k, "account", KindAccount, string(b.Account))
			}
			for _, z := range b.Zones {
				zone(k, "zones", z)
			}
		case *ServiceV2:
			for i, be := range b.Backends {
				zone(k, fmt.Sprintf("backends[%d].zone", i), be.Zone)
			}
		}
	}
}

// checkWorkers reports a worker name or address that occurs in two zones.
func (s *Set) checkWorkers(m *tomlfile.Mistakes) {
	names, addresses := make(map[id.Worker]id.Zone), make(map[string]id.Zone)
	for _, z := range slices.Sorted(maps.Keys(s.Zones)) {
		k := Key{Kind: KindZone, Name: string(z)}
		for _, w := range s.Zones[z].Workers {
			if other, ok := names[w.Name]; ok {
				m.Add(0, problem.Detail{Field: k.String() + " worker", Value: string(w.Name), Limit: "one zone",
					Remedy: fmt.Sprintf("choose another name; zone %q has a worker with this name", other)})
			}
			if other, ok := addresses[w.Address]; ok {
				m.Add(0, problem.Detail{Field: k.String() + " worker address", Value: w.Address, Limit: "one worker",
					Remedy: fmt.Sprintf("correct the address; a worker of zone %q has the same one", other)})
			}
			names[w.Name], addresses[w.Address] = z, z
		}
	}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Name, b.Name))
}
