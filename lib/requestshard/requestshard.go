// Package requestshard runs one request shard on the node that owns it. It keeps the
// shard's at-most-once table, and journals an intent before a request is forwarded
// and a completion after the request has ended. The journal combines the appends of
// concurrent requests into one write.
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

// Journal is the shard's journal. Append returns once the items are durable. An
// error of kind Unknown means that they may be durable.
type Journal interface {
	Append(ctx context.Context, items ...[]byte) (id.Seq, error)
}

// Term is the period in which the node owns the shard. Check returns an error once
// it has ended.
type Term interface {
	Check() error
	Epoch() id.Epoch
}

// Config configures a Shard.
type Config struct {
	Journal Journal
	Term    Term
	Clock   timer.Service
	// Limit is the maximum number of request ids in the table.
	Limit int
	// Snapshot and Items are the content of the journal. Both may be empty.
	Snapshot []byte
	Items    [][]byte
}

// Shard is a request shard that this node owns. It is safe for concurrent use. One
// lock guards the table; it is not held during an append.
type Shard struct {
	journal Journal
	term    Term
	clock   timer.Service
	calls   *callTracker

	mu    sync.Mutex
	table *once.Table
}

// Open rebuilds the table from the journal. It returns an Invalid error if it can't
// decode an item, because skipping the item could let a request run twice.
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

// Begin decides whether a request may run, if the run takes at most maxDuration. The
// run is allowed only after its intent is durable and while the node still owns the
// shard. Begin returns the status once.Refused if the request has certainly not run
// before and may not run now, because the journal can't be written or the shard got
// another owner meanwhile. It returns a NotOwner error, without any effect, if the
// node does not own the shard at the start: another owner may have allowed a run.
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
	// The lease may have expired during the append. The next owner then finds the
	// intent in the journal and treats the run as unknown.
	if err := s.term.Check(); err != nil {
		return s.withdraw(key, result), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.table.Confirm(key, result.Run) {
		return once.Result{}, problem.New(problem.Unknown, problem.Detail{
			Field: "request id", Value: string(key), Remedy: "send the request again with the same id"})
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

// withdraw withdraws a run that can't be allowed after all, and returns the result
// of the request. The node owned the shard when the table allowed the run, so the
// request has not run before. If the intent reached the journal, it matters only to
// the next owner, which treats the run as unknown; this owner uses the next run
// number.
func (s *Shard) withdraw(key id.Request, result once.Result) once.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Withdraw(key, result.Run)
	return once.Result{Status: once.Refused, Run: result.Run}
}

// checkOwned returns a NotOwner error when this node no longer owns the shard, so
// that the caller sends the request to the new owner.
func (s *Shard) checkOwned() error {
	if err := s.term.Check(); err != nil {
		return problem.New(problem.NotOwner, problem.Detail{
			Field: "request shard", Remedy: "retry in a few seconds: " + err.Error()})
	}
	return nil
}

// Finish records the outcome of a run. It returns an error if the completion may not
// be durable; a later owner then reports the outcome as unknown.
func (s *Shard) Finish(ctx context.Context, key id.Request, run once.RunNumber, o outcome.Outcome, node id.Node) error {
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

// Lookup returns the status of a request, and false if it has no run.
func (s *Shard) Lookup(_ context.Context, key id.Request) (once.Result, bool, error) {
	if err := s.checkOwned(); err != nil {
		return once.Result{}, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.table.Lookup(key, s.clock.Now())
	return v, ok, nil
}

// Close rejects new calls and waits until those in progress have finished or ctx
// ends. The journal must stay open until Close returns.
func (s *Shard) Close(ctx context.Context) { s.calls.drain(ctx) }

// closedError returns the error of a call after Close. The call had no effect; the
// caller repeats it on the next owner.
func closedError() error {
	return problem.New(problem.NotOwner, problem.Detail{Field: "request shard", Remedy: "retry in a few seconds; another node is taking over the shard"})
}

// Snapshot returns the encoded table as a snapshot for the journal.
func (s *Shard) Snapshot() ([]byte, error) {
	s.mu.Lock()
	items := s.table.Items(s.clock.Now())
	s.mu.Unlock()
	return EncodeSnapshot(items)
}

// Len returns the number of request ids in the table.
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
