package outcome_test

import (
	"fmt"
	"testing"

	"bronzewinch.dev/lib/outcome"

	"github.com/matryer/is"
)

func ExampleTracker() {
	t := outcome.New()
	first, _ := t.Start()
	t.Failed(first) // the connection was refused: nothing was sent
	fmt.Println(t.Outcome(), t.MayRetry(false))
	second, _ := t.Start()
	t.Sent(second)
	t.Failed(second)
	fmt.Println(t.Outcome(), t.MayRetry(false), t.MayRetry(true))
	// Output:
	// notRun true
	// unknown false true
}

// TestLateResponse guards against a response that arrives after its attempt was
// recorded as failed and is returned as the response to another attempt.
func TestLateResponse(t *testing.T) {
	is := is.New(t)
	tracker := outcome.New()
	a, _ := tracker.Start()
	tracker.Sent(a)
	tracker.Failed(a)
	is.True(!tracker.Completed(a))
	tracker.Refused(a)
	is.Equal(tracker.Outcome(), outcome.Unknown)
	b, _ := tracker.Start()
	is.True(tracker.Completed(b))
	_, more := tracker.Start()
	is.True(!more)
}

// FuzzTracker compares the tracker with a simple model. It guards against any
// order of events after which NotRun is reported for a request that may have
// run, or a second response is accepted.
func FuzzTracker(f *testing.F) {
	f.Add([]byte{0, 1, 3, 0, 4})
	f.Add([]byte{0, 2, 1, 3, 0, 0, 4, 4})
	f.Add([]byte{0, 1, 3, 2, 4, 0, 3})
	f.Fuzz(func(t *testing.T, events []byte) {
		tracker := outcome.New()
		mayHaveRun := make(map[outcome.Attempt]bool)
		ended := make(map[outcome.Attempt]bool)
		completed := 0
		for _, e := range events {
			a := outcome.Attempt(e >> 4)
			if a == 0 {
				a = tracker.Attempts()
			}
			known := a >= 1 && a <= tracker.Attempts()
			switch e % 5 {
			case 0:
				tracker.Start()
			case 1:
				tracker.Sent(a)
				if known {
					mayHaveRun[a] = true
				}
			case 2:
				tracker.Refused(a)
				if known && !ended[a] {
					mayHaveRun[a], ended[a] = false, true
				}
			case 3:
				tracker.Failed(a)
				ended[a] = ended[a] || known
			case 4:
				if tracker.Completed(a) {
					completed++
					ended[a] = true
				}
			}
		}
		result := tracker.Outcome()
		for a, ran := range mayHaveRun {
			if ran && result == outcome.NotRun {
				t.Fatalf("outcome notRun although attempt %d may have run", a)
			}
		}
		if completed > 1 || (completed == 1) != (result == outcome.Done) {
			t.Fatalf("%d responses accepted, outcome %s", completed, result)
		}
	})
}
