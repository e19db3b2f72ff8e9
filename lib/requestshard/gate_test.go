package requestshard

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// TestCallTracker guards against a planned stop that cuts off a call in progress, or
// lets another one in.
func TestCallTracker(t *testing.T) {
	is := is.New(t)
	calls := newCallTracker()
	is.True(calls.start())
	cut, cancel := context.WithCancel(context.Background())
	cancel()
	calls.drain(cut) // ends although a call is in progress
	is.True(!calls.start())
	closed := make(chan struct{})
	go func() {
		calls.drain(context.Background())
		close(closed)
	}()
	select {
	case <-closed:
		t.Fatal("closed with a call in progress")
	default:
	}
	calls.finish()
	<-closed
}
