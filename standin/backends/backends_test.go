package backends_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/standin/backends"

	"github.com/matryer/is"
)

// TestSlots guards against a stand-in that runs more requests at once than it has
// slots, or that does not record the requests that it ran.
func TestSlots(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s, err := backends.New(backends.Config{Name: "b", Slots: 2, RecordRuns: true,
		ServiceTime: func() time.Duration { <-release; return 0 }})
	is.NoErr(err)
	defer s.Close()
	codes := make(chan int, 3)
	var wait sync.WaitGroup
	for range 3 {
		wait.Go(func() {
			r, err := http.Post("http://"+s.Address()+"/x", "text/plain", strings.NewReader("night"))
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			r.Body.Close()
			codes <- r.StatusCode
		})
	}
	is.Equal(<-codes, 503) // the only response while the others occupy the slots
	close(release)
	wait.Wait()
	is.Equal(len(s.Runs()), 2)
	is.Equal(s.Stats().Peak, 3-1)
	is.Equal(s.Runs()[0].Body, "night")
}

// TestFaults guards against an injected fault that has no effect, or that runs a
// request when it should not.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault    backends.Fault
		ran      int
		complete bool
	}{
		"none":      {backends.NoFault, 1, true},
		"before":    {backends.ResetBefore, 0, false},
		"after":     {backends.ResetAfter, 1, false},
		"truncated": {backends.Truncated, 1, false},
		"busy":      {backends.RejectBusy, 0, true},
		"failing":   {backends.Fail, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := backends.New(backends.Config{Name: "b", RecordRuns: true})
			is.NoErr(err)
			var m backends.FaultMix
			m[c.fault] = 1
			s.SetFaults(m)
			complete := false
			r, err := http.Post("http://"+s.Address()+"/x", "text/plain", strings.NewReader("night"))
			if err == nil {
				_, err = io.ReadAll(r.Body)
				r.Body.Close()
				complete = err == nil
			}
			is.Equal(complete, c.complete)
			s.Close()
			s.Wait()
			is.Equal(len(s.Runs()), c.ran)
		})
	}
}
