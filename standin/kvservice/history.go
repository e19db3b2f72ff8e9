package kvservice

import (
	"strings"
	"sync"

	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
)

// history is the ordered list of recent changes, with the watches that wait for
// further ones.
type history struct {
	limit int

	mu          sync.Mutex
	lastVersion kv.Version
	events      []kv.Event // versions lastVersion-len(events)+1 to lastVersion
	waiters     map[*waiter]struct{}
}

type waiter struct {
	prefix string
	wake   chan struct{} // closed by the first matching change
}

// newHistory returns an empty history. The first change has version 2, so that a
// watch of an empty service continues from version 1: version zero means a watch
// from the start.
func newHistory(limit int) *history {
	return &history{limit: limit, lastVersion: 1, waiters: make(map[*waiter]struct{})}
}

// add assigns a version to a change and wakes the watches whose prefix matches.
func (h *history) add(e kv.Event) kv.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastVersion++
	e.Version = h.lastVersion
	if len(h.events) >= 2*h.limit {
		h.events = append([]kv.Event(nil), h.events[len(h.events)-h.limit:]...)
	}
	h.events = append(h.events, e)
	for w := range h.waiters {
		if strings.HasPrefix(e.Key, w.prefix) {
			close(w.wake)
			delete(h.waiters, w)
		}
	}
	return h.lastVersion
}

// since returns the changes of keys with a prefix after version from. If there are
// none, it returns a waiter that the first such change wakes.
func (h *history) since(prefix string, from kv.Version) ([]kv.Event, kv.Version, *waiter, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := h.lastVersion - kv.Version(len(h.events)) // the version before the oldest change in events
	if from < first {
		return nil, 0, nil, problem.New(problem.Expired, problem.Detail{
			Field: "version to watch from", Remedy: "watch from version zero, which returns the current items"})
	}
	var found []kv.Event
	for _, e := range h.events[min(int(from-first), len(h.events)):] {
		if strings.HasPrefix(e.Key, prefix) {
			found = append(found, e)
		}
	}
	if len(found) > 0 {
		return found, h.lastVersion, nil, nil
	}
	w := &waiter{prefix: prefix, wake: make(chan struct{})}
	h.waiters[w] = struct{}{}
	return nil, h.lastVersion, w, nil
}

func (h *history) removeWaiter(w *waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiters, w)
}

func (h *history) version() kv.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastVersion
}
