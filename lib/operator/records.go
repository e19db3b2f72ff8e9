package operator

import (
	"context"
	"slices"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/token"
	"bronzewinch.dev/lib/tomlfile"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
)

func (f *Frontend) recordRoutes(r chi.Router) {
	r.Post("/changes", handle(f, "apply", Operators, f.apply))
	r.Post("/changes/check", handle(f, "check", Operators, f.check))
	r.Post("/changes/diff", handle(f, "diff", Operators, f.diff))
	r.Get("/changes", handle(f, "history", Operators, f.history))
	r.Get("/records", handle(f, "get", Operators, f.get))
	r.Post("/records/convert", handle(f, "convert", Operators, f.convert))
	r.Get("/inForce", handle(f, "inForce", Operators, f.inForce))
}

// parseFiles parses the records of all files and collects the mistakes of all of
// them into one error.
func parseFiles(files []File) ([]record.Record, error) {
	var all []record.Record
	var mistakes tomlfile.Mistakes
	for _, file := range files {
		records, err := record.ParseFile(file.Name, []byte(file.Text))
		var m tomlfile.Mistakes
		if errors.As(err, &m) {
			mistakes = append(mistakes, m...)
		} else if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, mistakes.Err()
}

// proposal is a change set that passes through the stages of recordPipes.
type proposal struct {
	caller Caller
	req    ChangeRequest
	// set is the configuration that the change is checked against.
	set    *record.Set
	change record.Change
}

// decodeFiles is the stage that parses the files and checks their fields.
func (f *Frontend) decodeFiles(_ context.Context, p proposal) (proposal, error) {
	p.change = record.Change{ID: p.req.ChangeID, Author: p.caller.Operator, At: f.Clock.Now().UTC()}
	records, err := parseFiles(p.req.Files)
	if err != nil {
		return p, err
	}
	for _, r := range records {
		p.change.Put(r.WithBaseRevision(p.base(r.Key(), r.BaseRevision())))
	}
	for _, removal := range p.req.Remove {
		key, err := record.ParseKey(removal.Record)
		if err != nil {
			return p, err
		}
		p.change.Remove(key, p.base(key, removal.Base))
	}
	return p, nil
}

// base returns the base revision of a record: the given one or, with Overwrite,
// the revision of the record in force.
func (p proposal) base(k record.Key, given id.Revision) id.Revision {
	if w, err := p.set.Get(k); err == nil && p.req.Overwrite {
		return w.Revision
	}
	return given
}

// checkSet is the stage that checks the change against the set in force,
// including that all guaranteed shapes can be bound to cells.
func (f *Frontend) checkSet(_ context.Context, p proposal) (proposal, error) {
	if p.change.ID == "" {
		p.change.ID = "check-" + record.ChangeID(token.Random().Hash()[:16])
	}
	_, err := p.set.Accept(p.change, p.set.Revision+1, f.Binder)
	return p, err
}

// appendChange is the stage that makes the change durable. It writes nothing if
// the change has no effect.
func (f *Frontend) appendChange(ctx context.Context, p proposal) (ChangeResult, error) {
	names := changedRecords(p.set, p.change)
	if len(names) == 0 {
		return ChangeResult{Revision: p.set.Revision, Changed: names}, nil
	}
	revision, err := f.Configuration.Apply(ctx, p.change)
	return ChangeResult{Revision: revision, Changed: names}, err
}

// compare is the stage that computes the differences to the set in force.
func compare(_ context.Context, p proposal) (DiffResult, error) {
	result := DiffResult{Revision: p.set.Revision, Diffs: []record.Diff{}}
	for _, it := range p.change.Items {
		var old, next *record.Record
		if w, err := p.set.Get(it.Key); err == nil {
			old = &w.Record
		}
		if it.Text != "" {
			r, err := record.Parse(it.Text)
			if err != nil {
				return DiffResult{}, err
			}
			next = &r
		}
		d, err := record.Compare(old, next)
		if err != nil {
			return DiffResult{}, err
		}
		if d.Changed() {
			result.Diffs = append(result.Diffs, d)
		}
	}
	return result, nil
}

// recordPipes holds the stages of the requests that carry a change set.
type recordPipes struct {
	apply pipe.Filter[proposal, ChangeResult]
	check pipe.Filter[proposal, proposal]
	diff  pipe.Filter[proposal, DiffResult]
}

func (f *Frontend) newRecordPipes() recordPipes {
	decoded := pipe.Instrument(f.Metrics, "record/decode", pipe.Func[proposal, proposal](f.decodeFiles))
	checked := pipe.Then(decoded, pipe.Instrument(f.Metrics, "record/checkSet", pipe.Func[proposal, proposal](f.checkSet)))
	return recordPipes{
		apply: pipe.Then(checked, pipe.Instrument(f.Metrics, "record/append", pipe.Func[proposal, ChangeResult](f.appendChange))),
		check: checked,
		diff:  pipe.Then(decoded, pipe.Func[proposal, DiffResult](compare)),
	}
}

// changedRecords returns the keys of the records that a change would modify, add
// or remove in a set.
func changedRecords(s *record.Set, c record.Change) []string {
	names := []string{}
	for _, it := range c.Items {
		w, err := s.Get(it.Key)
		if err != nil || w.Record.Text() != it.Text {
			names = append(names, it.Key.String())
		}
	}
	return names
}

func (f *Frontend) apply(ctx context.Context, c Caller, req ChangeRequest) (ChangeResult, error) {
	if err := id.Check("changeId", string(req.ChangeID)); err != nil {
		return ChangeResult{}, err
	}
	s := f.Configuration.Current()
	if revision, ok := s.RevisionOfChange(req.ChangeID); ok {
		// This is a retry: the change is applied, but the client did not get the
		// response.
		return ChangeResult{Revision: revision, Changed: []string{}}, nil
	}
	return f.records.apply.Process(ctx, proposal{caller: c, req: req, set: s})
}

func (f *Frontend) check(ctx context.Context, c Caller, req ChangeRequest) (ChangeResult, error) {
	p, err := f.records.check.Process(ctx, proposal{caller: c, req: req, set: f.Configuration.Current()})
	if err != nil {
		return ChangeResult{}, err
	}
	return ChangeResult{Revision: p.set.Revision, Changed: changedRecords(p.set, p.change)}, nil
}

func (f *Frontend) diff(ctx context.Context, c Caller, req ChangeRequest) (DiffResult, error) {
	return f.records.diff.Process(ctx, proposal{caller: c, req: req, set: f.Configuration.Current()})
}

func (f *Frontend) get(_ context.Context, _ Caller, req RecordsRequest) (Records, error) {
	s := f.Configuration.Current()
	if req.Revision != 0 {
		var err error
		if s, err = s.AtRevision(req.Revision); err != nil {
			return Records{}, err
		}
	}
	list := s.Records()
	if req.Record != "" {
		key, err := record.ParseKey(req.Record)
		if err != nil {
			return Records{}, err
		}
		w, err := s.Get(key)
		if err != nil {
			return Records{}, err
		}
		list = []record.AcceptedRecord{w}
	}
	if req.Kind != "" && !slices.Contains(record.Kinds(), req.Kind) {
		return Records{}, problem.New(problem.Invalid, problem.Detail{Field: "kind", Value: string(req.Kind), Limit: "a kind of record", Remedy: "see docs/configuration.md"})
	}
	result := Records{Revision: s.Revision, Records: []RecordItem{}, Copies: s.Copies}
	var selected []record.Record
	for _, w := range list {
		if req.Kind != "" && w.Record.Key().Kind != req.Kind {
			continue
		}
		r := w.Record
		if req.Schema != "" {
			var err error
			if r, err = r.Convert(req.Schema); err != nil {
				return Records{}, err
			}
		}
		selected = append(selected, r.WithBaseRevision(w.Revision))
		result.Records = append(result.Records, RecordItem{Record: r.Key().String(), Schema: r.Schema(), Revision: w.Revision,
			Author: w.Author, At: w.At, Text: r.Text(), WrittenSchema: w.Record.Schema()})
	}
	result.Document = record.FormatFile(selected)
	return result, nil
}

// maxHistory is the default and maximum number of changes in one response.
const maxHistory = 200

func (f *Frontend) history(ctx context.Context, _ Caller, req HistoryRequest) (History, error) {
	var key record.Key
	if req.Record != "" {
		var err error
		if key, err = record.ParseKey(req.Record); err != nil {
			return History{}, err
		}
	}
	past, err := f.Configuration.History(ctx)
	if err != nil {
		return History{}, err
	}
	since, err := f.Configuration.InForceSince(ctx)
	if err != nil {
		return History{}, err
	}
	limit := pageLimit(req.Limit, maxHistory)
	result := History{Changes: []HistoryItem{}}
	for _, p := range slices.Backward(past) {
		item := HistoryItem{Revision: p.Revision, ChangeID: p.ID, Author: p.Author, At: p.At, InForce: since[p.Revision]}
		for _, it := range p.Items {
			if req.Record == "" || it.Key == key {
				item.Records = append(item.Records, HistoryRecord{Record: it.Key.String(), Base: it.Base, Text: it.Text})
			}
		}
		if req.Record != "" && len(item.Records) == 0 {
			continue
		}
		if result.Changes = append(result.Changes, item); len(result.Changes) == limit {
			break
		}
	}
	return result, nil
}

func (f *Frontend) convert(_ context.Context, _ Caller, req ConvertRequest) (ConvertResult, error) {
	result := ConvertResult{Files: []File{}}
	for _, file := range req.Files {
		records, err := record.ParseFile(file.Name, []byte(file.Text))
		if err != nil {
			return ConvertResult{}, err
		}
		for i, r := range records {
			if records[i], err = r.Convert(req.Schema); err != nil {
				return ConvertResult{}, err
			}
		}
		result.Files = append(result.Files, File{Name: file.Name, Text: record.FormatFile(records)})
	}
	return result, nil
}

func (f *Frontend) inForce(ctx context.Context, _ Caller, req InForceRequest) (InForce, error) {
	nodes, err := f.Configuration.InForce(ctx)
	if err != nil {
		return InForce{}, err
	}
	result := InForce{Revision: req.Revision, Everywhere: len(nodes) > 0, Nodes: nodes}
	for _, n := range nodes {
		result.Everywhere = result.Everywhere && n.Revision >= req.Revision
	}
	return result, nil
}

// pageLimit returns the requested length of a list, or the maximum if the request
// is unset or too large.
func pageLimit(requested, maximum int) int {
	if requested <= 0 || requested > maximum {
		return maximum
	}
	return requested
}
