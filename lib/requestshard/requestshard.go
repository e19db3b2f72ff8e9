// Package requestshard is the runtime of one owned request shard. It keeps the
// at-most-once table and journals each intent before a request is forwarded
// and each completion after it. The journal groups the appends of concurrent
// requests into one write.
package requestshard

import (
	"context"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/once"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
)

// Journal is the shard's journal. Append returns when the items are durable.
// An Unknown error means that they may be.
type Journal interface {
	Append(ctx context.Context, items ...[]byte) (id.Seq, error)
}

// Term is the node's ownership of the shard. Check returns an error once it
// has ended.
type Term interface {
	Check() error
	Epoch() id.Epoch
}

// Config configures a Shard.
type Config struct {
	Journal Journal
	Term    Term
	Clock   timer.Service
	// Limit is the greatest number of ids that are remembered.
	Limit int
	// Snapshot and Items are the journal so far. Both may be empty.
	Snapshot []byte
	Items    [][]byte
}

// Shard is one owned request shard. Its state has one lock, which is not held
// during an append.
type Shard struct {
	journal Journal
	term    Term
	clock   timer.Service
	calls   *callTracker

	mu    sync.Mutex
	table *once.Table
}

// Open rebuilds the table from the journal. It returns an Invalid error for an
// item that it can't read, because leaving it out could let a request run
// twice.
func Open(config Config) (*Shard, error) {
	s := &Shard{journal: config.Journal, term: config.Term, clock: config.Clock, calls: newCallTracker(), table: once.New(once.Config{Limit: config.Limit})}
	if len(config.Snapshot) > 0 {
		items, err := DecodeSnapshot(config.Snapshot)
		if err != nil {
			return nil, err
		}
		for _, item := range items {
			s.table.Apply(item)
		}
	}
	for _, b := range config.Items {
		item, err := DecodeItem(b)
		if err != nil {
			return nil, err
		}
		s.table.Apply(item)
	}
	return s, nil
}

// Begin decides about a submission whose run takes at most longest. The run is
// allowed only after its intent is durable and while the shard is still owned.
// It returns the status once.Refused when the key certainly did not run before
// and this run is not allowed: the journal can't be written, or the shard gets
// another owner meanwhile. It returns a NotOwner error, without effect, when
// the shard is not owned from the start: another owner may have let the key
// run.
func (s *Shard) Begin(ctx context.Context, key id.Request, fingerprint once.Fingerprint, maxDuration time.Duration) (once.Result, error) {
	if !s.calls.start() {
		return once.Result{}, closedError()
	}
	defer s.calls.finish()
	if err := s.checkOwned(); err != nil {
		return once.Result{}, err
	}
	result, intent, err := s.begin(key, fingerprint, maxDuration)
	if err != nil || result.Status != once.Allowed {
		return result, err
	}
	if err := s.append(ctx, intent); err != nil {
		return s.withdraw(key, result), nil
	}
	// The lease may have passed during the append. The intent then belongs to
	// the next owner, which counts it as unknown.
	if err := s.term.Check(); err != nil {
		return s.withdraw(key, result), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.table.Confirm(key, result.Run) {
		return once.Result{}, problem.New(problem.Unknown, problem.Detail{
			Field: "request id", Value: string(key), Remedy: "send it again with the same id"})
	}
	return result, nil
}

func (s *Shard) begin(key id.Request, fingerprint once.Fingerprint, maxDuration time.Duration) (once.Result, once.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result, item, err := s.table.Begin(key, fingerprint, maxDuration, s.clock.Now())
	if problem.Is(err, problem.Overloaded) {
		return once.Result{Status: once.Refused}, item, nil
	}
	return result, item, err
}

// withdraw is the verdict when a run was not allowed after all. The shard was
// owned when the table was asked, so no earlier submission that had ended ran.
// An intent that did reach the journal only matters to the next owner, which
// counts it as unknown; this owner uses the next run number.
func (s *Shard) withdraw(key id.Request, result once.Result) once.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Withdraw(key, result.Run)
	return once.Result{Status: once.Refused, Run: result.Run}
}

// checkOwned returns a NotOwner error when the shard is no longer owned, so that
// the next owner is asked.
func (s *Shard) checkOwned() error {
	if err := s.term.Check(); err != nil {
		return problem.New(problem.NotOwner, problem.Detail{
			Field: "request shard", Remedy: "try again within seconds: " + err.Error()})
	}
	return nil
}

// Finish records how a run ended. It returns an error when the completion may
// not be durable; a later owner then tells unknown.
func (s *Shard) Finish(ctx context.Context, key id.Request, run once.Run, o outcome.Outcome, node id.Node) error {
	if !s.calls.start() {
		return closedError()
	}
	defer s.calls.finish()
	if err := s.checkOwned(); err != nil {
		return err
	}
	s.mu.Lock()
	item, changed := s.table.Finish(key, run, o, node, s.clock.Now())
	s.mu.Unlock()
	if !changed {
		return nil
	}
	return s.append(ctx, item)
}

// Lookup returns the status of a key, and false when it has no run.
func (s *Shard) Lookup(_ context.Context, key id.Request) (once.Result, bool, error) {
	if err := s.checkOwned(); err != nil {
		return once.Result{}, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.table.Lookup(key, s.clock.Now())
	return v, ok, nil
}

// Close lets no more calls in and waits for those in progress until ctx ends.
// The journal must stay open until it returns.
func (s *Shard) Close(ctx context.Context) { s.calls.drain(ctx) }

// closedError is the error of a call after Close. The call had no effect and is
// repeated on the next owner.
func closedError() error {
	return problem.New(problem.NotOwner, problem.Detail{Field: "request shard", Remedy: "try again within seconds; another node takes the shard over"})
}

// Snapshot returns the whole table for the journal.
func (s *Shard) Snapshot() ([]byte, error) {
	s.mu.Lock()
	items := s.table.Items(s.clock.Now())
	s.mu.Unlock()
	return EncodeSnapshot(items)
}

// Len returns the number of ids that are remembered.
func (s *Shard) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

func (s *Shard) append(ctx context.Context, item once.Item) error {
	b, err := EncodeItem(item)
	if err != nil {
		return err
	}
	_, err = s.journal.Append(ctx, b)
	return err
}
