package once_test

import (
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/once"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/problem"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	start       = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	fingerprint = once.Fingerprint{1}
)

func mustBegin(t *testing.T, table *once.Table, request id.Request, now time.Time) (once.RunNumber, once.Item) {
	t.Helper()
	v, item, err := table.Begin(request, fingerprint, time.Second, now)
	if err != nil || v.Status != once.Allowed || !table.Confirm(request, v.Run) {
		t.Fatalf("request %s is not allowed: result %v, error %v", request, v, err)
	}
	return v.Run, item
}

func status(t *testing.T, table *once.Table, request id.Request, now time.Time) once.Status {
	t.Helper()
	v, _, err := table.Begin(request, fingerprint, time.Second, now)
	if err != nil {
		t.Fatal(err)
	}
	return v.Status
}

// TestDuplicates guards against a second run of a request that was submitted again
// with the same id, while it is in progress or after it has ended.
func TestDuplicates(t *testing.T) {
	is := is.New(t)
	table := once.New(once.Config{Limit: 10})
	run, _ := mustBegin(t, table, "a", start)
	is.Equal(status(t, table, "a", start), once.InProgress)
	_, _, err := table.Begin("a", once.Fingerprint{2}, time.Second, start)
	is.True(problem.Is(err, problem.Conflict))
	_, changed := table.Finish("a", run, outcome.Done, "n1", start)
	is.True(changed)
	v, ok := table.Lookup("a", start)
	is.True(ok)
	is.Equal(v, once.Result{Status: once.Done, Run: 1, Node: "n1"})
	_, changed = table.Finish("a", run, outcome.NotRun, "n1", start)
	is.True(!changed) // the outcome of a run is final
	is.Equal(status(t, table, "a", start.Add(once.Retention)), once.Done)
	is.Equal(status(t, table, "a", start.Add(once.Retention+1)), once.Allowed) // the id has expired
}

// TestNotRun guards against an id that can't be used again after its run certainly
// did not happen, and against a late completion of the first run that ends the
// second.
func TestNotRun(t *testing.T) {
	is := is.New(t)
	table := once.New(once.Config{Limit: 10})
	first, _ := mustBegin(t, table, "a", start)
	table.Finish("a", first, outcome.NotRun, "", start)
	_, ok := table.Lookup("a", start)
	is.True(!ok)
	second, _ := mustBegin(t, table, "a", start)
	is.Equal(second, first+1)
	_, changed := table.Finish("a", first, outcome.NotRun, "", start)
	is.True(!changed)
	is.Equal(status(t, table, "a", start), once.InProgress)
	// If the entry node never reports the outcome, the run becomes unknown; no
	// second run is allowed.
	is.Equal(status(t, table, "a", start.Add(time.Minute)), once.MayHaveRun)
}

// TestLimit guards against a table that grows without bound, and against an id that
// is evicted before its retention time to make room for a new one.
func TestLimit(t *testing.T) {
	is := is.New(t)
	table := once.New(once.Config{Limit: 2})
	mustBegin(t, table, "a", start)
	mustBegin(t, table, "b", start)
	_, _, err := table.Begin("c", fingerprint, time.Second, start)
	is.True(problem.Is(err, problem.Overloaded))
	is.Equal(status(t, table, "a", start), once.InProgress)
}

// TestTakeover guards against a second run of a request. It tries random sequences
// of submissions, completions, lost appends and changes of owner, which rebuild the
// table from the journaled items or from a snapshot.
func TestTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := once.New(once.Config{Limit: 10})
		var journal []once.Item
		ran := make(map[id.Request]int)
		running := make(map[id.Request]once.RunNumber)
		now := start
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 99), 1, 60).Draw(t, "ops") {
			request := id.Request(rune('a' + op%3))
			now = now.Add(time.Second)
			switch op / 20 {
			case 0, 1: // a submission, whose append may fail or have an unknown result
				v, item, err := table.Begin(request, fingerprint, time.Second, now)
				if err != nil || v.Status != once.Allowed {
					continue
				}
				if op%5 > 0 {
					journal = append(journal, item)
				}
				if op%5 < 2 {
					table.Withdraw(request, v.Run)
					continue
				}
				table.Confirm(request, v.Run)
				running[request] = v.Run
				if op%2 == 0 {
					ran[request]++
				}
			case 2, 3: // the true outcome of a run; the append of the completion may be lost
				run, ok := running[request]
				if !ok {
					continue
				}
				delete(running, request)
				o := outcome.NotRun
				if ran[request] > 0 {
					o = outcome.Done
				}
				if item, changed := table.Finish(request, run, o, "n", now); changed && op%4 > 0 {
					journal = append(journal, item)
				}
			case 4: // a change of owner
				if op%2 == 0 {
					journal = table.Items(now)
				}
				table = once.New(once.Config{Limit: 10})
				for _, item := range journal {
					table.Apply(item)
				}
			}
			if ran[request] > 1 {
				t.Fatalf("request %s ran %d times", request, ran[request])
			}
		}
	})
}
