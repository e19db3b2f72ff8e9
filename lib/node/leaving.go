package node

import (
	"maps"
	"sync"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/vmlist"
)

// leavingBackends is the set of backend servers that are leaving according to the
// VM list.
type leavingBackends struct {
	mu       sync.Mutex
	leaving  map[id.Backend]bool
	onChange func() // called after each change of the set
}

func newLeavingBackends() *leavingBackends { return &leavingBackends{onChange: func() {}} }

// setOnChange sets the function that is called after each change of the set.
func (l *leavingBackends) setOnChange(refresh func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onChange = refresh
}

// HandleVMList replaces the set by the leaving backend servers of a new VM list.
func (l *leavingBackends) HandleVMList(list vmlist.List) {
	leaving := make(map[id.Backend]bool)
	for _, vm := range list.VMs {
		if vm.Role == vmlist.Backend && vm.State == vmlist.Leaving {
			leaving[id.Backend(vm.Name)] = true
		}
	}
	l.mu.Lock()
	same := maps.Equal(leaving, l.leaving)
	l.leaving = leaving
	refresh := l.onChange
	l.mu.Unlock()
	if !same {
		refresh()
	}
}

// Leaving reports whether a backend server is leaving.
func (l *leavingBackends) Leaving(b id.Backend) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving[b]
}
