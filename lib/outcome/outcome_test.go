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

// TestLateAnswer guards against an answer that arrives after its attempt was
// given up and is passed on as the answer to another attempt.
func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	tr := outcome.New()
	a, _ := tr.Start()
	tr.Sent(a)
	tr.Failed(a)
	is.True(!tr.Completed(a))
	tr.Refused(a)
	is.Equal(tr.Outcome(), outcome.Unknown)
	b, _ := tr.Start()
	is.True(tr.Completed(b))
	_, more := tr.Start()
	is.True(!more)
}

// FuzzTracker compares the tracker with a plain model. It guards against any
// order of events after which NotRun is told for a request that may have run,
// or a second answer is accepted.
func FuzzTracker(f *testing.F) {
	f.Add([]byte{0, 1, 3, 0, 4})
	f.Add([]byte{0, 2, 1, 3, 0, 0, 4, 4})
	f.Add([]byte{0, 1, 3, 2, 4, 0, 3})
	f.Fuzz(func(t *testing.T, events []byte) {
		tr := outcome.New()
		maybeRan := make(map[outcome.Attempt]bool)
		closed := make(map[outcome.Attempt]bool)
		answers := 0
		for _, e := range events {
			a := outcome.Attempt(e >> 4)
			if a == 0 {
				a = tr.Attempts()
			}
			known := a >= 1 && a <= tr.Attempts()
			switch e % 5 {
			case 0:
				tr.Start()
			case 1:
				tr.Sent(a)
				if known {
					maybeRan[a] = true
				}
			case 2:
				tr.Refused(a)
				if known && !closed[a] {
					maybeRan[a], closed[a] = false, true
				}
			case 3:
				tr.Failed(a)
				closed[a] = closed[a] || known
			case 4:
				if tr.Completed(a) {
					answers++
					closed[a] = true
				}
			}
		}
		told := tr.Outcome()
		for a, ran := range maybeRan {
			if ran && told == outcome.NotRun {
				t.Fatalf("notRun told although attempt %d may have run", a)
			}
		}
		if answers > 1 || (answers == 1) != (told == outcome.Done) {
			t.Fatalf("%d answers accepted, told %s", answers, told)
		}
	})
}
