package requestshard

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// TestCallTracker guards against a planned stop that does not wait for a call in
// progress, or that accepts a new call.
func TestCallTracker(t *testing.T) {
	is := is.New(t)
	calls := newCallTracker()
	is.True(calls.start())
	cancelledCtx, cancel := context.WithCancel(context.Background())
	cancel()
	calls.drain(cancelledCtx) // returns although a call is in progress, because the context has ended
	is.True(!calls.start())
	closed := make(chan struct{})
	go func() {
		calls.drain(context.Background())
		close(closed)
	}()
	select {
	case <-closed:
		t.Fatal("drain returned with a call in progress")
	default:
	}
	calls.finish()
	<-closed
}
