package journal

import (
	"context"
	"sync"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
)

// pendingAppend is one Append that waits.
type pendingAppend struct {
	items   [][]byte
	size    int
	done    chan result // receives one result
	inEntry bool        // in an entry that may have been written
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

// queue holds the calls that wait. It differs from pipe.Queue in that a call
// whose context ends leaves it, and that it groups by size.
type queue struct {
	maxPending int
	ready      chan struct{} // holds a token while calls wait

	mu           sync.Mutex
	pending      []*pendingAppend
	closedErr    error // set once the writer has ended
	suspendedErr error // set while the result of an entry stays open
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
			Field: "journal queue", Remedy: "try again later; too many appends wait"})
	}
	q.pending = append(q.pending, a)
	q.signal()
	return nil
}

// takeGroup removes the calls that fit into one entry.
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

// cancel ends the wait of a call whose context ended. A call that is in no
// entry yet leaves the queue.
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
			Field: "append", Remedy: "send it again; the caller ended it before it was written"})
	}
	return 0, problem.New(problem.Expired, problem.Detail{
		Field: "append", Remedy: "send it again with more time; it was not written"})
}

// close refuses all calls from now on.
func (q *queue) close(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closedErr == nil {
		q.closedErr = err
	}
	deliver(q.pending, 0, q.closedErr)
	q.pending = nil
}

func (q *queue) closeCause() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closedErr
}

// suspend fails the calls that wait and those that come, until resume.
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

// signal leaves a token for the writer. The lock is held.
func (q *queue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
