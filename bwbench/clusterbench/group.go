package clusterbench

import "sync"

// group runs functions concurrently, up to a limit, and returns the first error.
type group struct {
	wg    sync.WaitGroup
	slots chan struct{}
	once  sync.Once
	err   error
}

// newGroup returns a group that runs at most limit functions at a time.
func newGroup(limit int) *group { return &group{slots: make(chan struct{}, limit)} }

// run starts f on a new goroutine as soon as fewer than limit functions run.
func (g *group) run(f func() error) {
	g.slots <- struct{}{}
	g.wg.Go(func() {
		defer func() { <-g.slots }()
		if err := f(); err != nil {
			g.once.Do(func() { g.err = err })
		}
	})
}

// wait waits for all functions and returns the first error.
func (g *group) wait() error {
	g.wg.Wait()
	return g.err
}
