package budget_test

import (
	"fmt"
	"testing"

	"bronzewinch.dev/lib/budget"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func ExampleBacklog() {
	b := budget.NewBacklog(budget.BacklogConfig{Memory: 16 * unit.MiB})
	accepted := 0
	for b.Admit("crowd", unit.MiB) {
		accepted++
	}
	fmt.Println(accepted, "large jobs, then an ordinary one:", b.Admit("crowd", 4*unit.KiB), "and one of another account:", b.Admit("other", unit.MiB))
	// Output: 11 large jobs, then an ordinary one: true and one of another account: true
}

// TestCrowdLeavesRoom guards against an account whose jobs take all the memory, and against
// large jobs that leave no room for ordinary ones of the same account.
func TestCrowdLeavesRoom(t *testing.T) {
	is := is.New(t)
	b := budget.NewBacklog(budget.BacklogConfig{Memory: 10 * unit.MiB})
	for b.Admit("crowd", 250*unit.KiB) {
	}
	for range 20 {
		is.True(b.Admit("crowd", 2*unit.KiB))
	}
	for b.Admit("crowd", 2*unit.KiB) {
	}
	is.True(b.Held() <= 10*unit.MiB*3/4)
	for n := range 4 { // each account finds room, also after others have filled their part
		account := id.Account(fmt.Sprint(n))
		is.True(b.Admit(account, 2*unit.KiB))
		for b.Admit(account, 2*unit.KiB) {
		}
	}
	is.True(b.Held() <= 10*unit.MiB)
}

// TestSingleJobIsAccepted guards against a job inside the limits that a small VM never
// accepts.
func TestSingleJobIsAccepted(t *testing.T) {
	is := is.New(t)
	b := budget.NewBacklog(budget.BacklogConfig{Memory: unit.MiB})
	is.True(b.Admit("a", 2*unit.MiB))
	is.True(!b.Admit("a", unit.KiB))
	b.Release("a", 2*unit.MiB)
	is.True(b.Admit("a", unit.KiB))
	is.True(b.Admit("b", unit.MiB/2)) // its account has no other
}

// TestBacklogCountsStayExact guards against bytes that stay counted after their job has
// gone, until no job is accepted any more.
func TestBacklogCountsStayExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budget.NewBacklog(budget.BacklogConfig{Memory: 1000})
		type job struct {
			account id.Account
			bytes   unit.Bytes
		}
		var jobs []job
		held := unit.Bytes(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(jobs) > 0 && rapid.Bool().Draw(t, "release") {
				n := rapid.IntRange(0, len(jobs)-1).Draw(t, "job")
				b.Release(jobs[n].account, jobs[n].bytes)
				held -= jobs[n].bytes
				jobs = append(jobs[:n], jobs[n+1:]...)
				continue
			}
			j := job{id.Account(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")), unit.Bytes(rapid.IntRange(1, 500).Draw(t, "bytes"))}
			if b.Admit(j.account, j.bytes) {
				jobs = append(jobs, j)
				held += j.bytes
			}
			if b.Held() != held || held > 1000 {
				t.Fatalf("%d bytes are counted, %d are held", b.Held(), held)
			}
		}
	})
}
