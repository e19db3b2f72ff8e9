package journal

import (
	"context"
	"sync"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
)

// pendingAppend is a call of Append that waits for its result.
type pendingAppend struct {
	items   [][]byte
	size    int
	done    chan result // receives one result
	inEntry bool        // part of an entry that may have been written
}

type result struct {
	seq id.Seq
	err error
}

func newPendingAppend(items [][]byte) *pendingAppend {
	a := &pendingAppend{items: items, done: make(chan result, 1)}
	for _, item := range items {
		a.size += len(item) + itemOverhead
	}
	return a
}

func deliver(group []*pendingAppend, seq id.Seq, err error) {
	for _, a := range group {
		a.done <- result{seq, err}
	}
}

// queue contains the appends that are in no entry yet. Unlike pipe.Queue, it
// removes an append whose context ends, and groups appends by size.
type queue struct {
	maxPending int
	ready      chan struct{} // contains a token while appends are pending

	mu           sync.Mutex
	pending      []*pendingAppend
	closedErr    error // set once the writer is closed, fenced or without a lease
	suspendedErr error // set while the result of an entry is unknown
}

func newQueue(limit int) *queue {
	return &queue{maxPending: limit, ready: make(chan struct{}, 1)}
}

func (q *queue) put(a *pendingAppend) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.closedErr != nil:
		return q.closedErr
	case q.suspendedErr != nil:
		return q.suspendedErr
	case len(q.pending) >= q.maxPending:
		return problem.New(problem.Overloaded, problem.Detail{
			Field: "journal queue", Remedy: "retry later; too many appends are waiting"})
	}
	q.pending = append(q.pending, a)
	q.signal()
	return nil
}

// takeGroup removes and returns the first appends that fit into one entry.
func (q *queue) takeGroup() []*pendingAppend {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, size := 0, 0
	for n < len(q.pending) && (n == 0 || size+q.pending[n].size <= int(MaxEntry)) {
		size += q.pending[n].size
		q.pending[n].inEntry = true
		n++
	}
	group := q.pending[:n:n]
	if q.pending = q.pending[n:]; len(q.pending) > 0 {
		q.signal()
	}
	return group
}

// cancel returns the result of an append whose context ended. If it is in no
// entry yet, cancel removes it from the queue.
func (q *queue) cancel(a *pendingAppend, cause error) (id.Seq, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case r := <-a.done:
		return r.seq, r.err
	default:
	}
	if a.inEntry {
		return 0, unknownResult("of this call", cause)
	}
	for i := range q.pending {
		if q.pending[i] == a {
			q.pending = append(q.pending[:i:i], q.pending[i+1:]...)
			break
		}
	}
	if cause == context.Canceled {
		return 0, problem.New(problem.Unavailable, problem.Detail{
			Field: "append", Remedy: "send it again; its context was cancelled before it was written"})
	}
	return 0, problem.New(problem.Expired, problem.Detail{
		Field: "append", Remedy: "send it again with a longer deadline; it was not written"})
}

// close fails the pending appends and rejects all later ones with the first error
// that it was called with.
func (q *queue) close(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closedErr == nil {
		q.closedErr = err
	}
	deliver(q.pending, 0, q.closedErr)
	q.pending = nil
}

// closeCause returns the error of the first close, or nil while the queue is open.
func (q *queue) closeCause() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closedErr
}

// suspend fails the pending appends, and rejects new ones until resume is called.
func (q *queue) suspend(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.suspendedErr = err
	deliver(q.pending, 0, err)
	q.pending = nil
}

func (q *queue) resume() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.suspendedErr = nil
}

// signal puts a token into ready for the writer. The caller holds the lock.
func (q *queue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
