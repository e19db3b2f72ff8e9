package witness_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/witness"

	"github.com/matryer/is"
)

func ExampleChoose() {
	fmt.Println(witness.Choose(witness.Set{"c:1", "gone:1"}, []witness.Candidate{
		{Address: "a:1", Zone: "north"}, {Address: "b:1", Zone: "south"}, {Address: "c:1", Zone: "north"}}))
	// Output: [c:1 b:1 a:1]
}

func addresses(n int) (s witness.Set) {
	for i := range n {
		s = append(s, fmt.Sprint("10.0.0.", i, ":1"))
	}
	return s
}

// TestOwnersExcludeEachOther guards against an owner that may extend leases although a
// later owner knows from the witnesses that it may not.
func TestOwnersExcludeEachOther(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= witness.MaxWitnesses; n++ {
		for confirming := range 1 << n {
			set := addresses(n)
			owner, inquiry := witness.NewConfirmations(set), witness.NewInquiry()
			for i, a := range set {
				if confirming&(1<<i) != 0 {
					owner.Record(a, 0)
				} else {
					inquiry.Record(a, time.Hour)
				}
			}
			is.True(owner.Sufficient(time.Second) != inquiry.Excludes(set))
		}
	}
}

// TestNoWitnesses guards against a node without others that loses its runs in an outage of
// the store, and against a later owner that takes it for ended.
func TestNoWitnesses(t *testing.T) {
	is := is.New(t)
	is.True(witness.NewConfirmations(nil).Sufficient(time.Hour))
	is.True(!witness.NewInquiry().Excludes(nil))
}

// TestConfirmationExpires guards against an owner that extends leases by a confirmation
// from before a later owner asked the witness.
func TestConfirmationExpires(t *testing.T) {
	is := is.New(t)
	set := addresses(1)
	owner := witness.NewConfirmations(set)
	is.True(!owner.Sufficient(0))
	owner.Record(set[0], time.Second)
	owner.Record(set[0], 0) // an earlier request was answered later
	is.True(owner.Sufficient(time.Second + witness.Validity - 1))
	is.True(!owner.Sufficient(time.Second + witness.Validity))
	inquiry := witness.NewInquiry()
	is.True(!inquiry.Record(set[0], witness.Validity)) // the clocks of the nodes may differ
	is.Equal(inquiry.Outstanding(set), set)
	is.True(inquiry.Record(set[0], 2*witness.Validity))
	is.Equal(len(inquiry.Outstanding(set)), 0)
}

// TestChangeNeedsBothSets guards against an owner that relies on new witnesses while a later
// owner may have read the earlier ones, or the reverse.
func TestChangeNeedsBothSets(t *testing.T) {
	is := is.New(t)
	owner := witness.NewConfirmations(witness.Set{"a:1"})
	next, ok := owner.Propose([]witness.Candidate{{Address: "b:1"}}, true)
	is.True(ok)
	is.Equal(next, witness.Set{"b:1"})
	is.Equal(owner.Witnesses(), witness.Set{"a:1", "b:1"})
	owner.Record("b:1", 0)
	is.True(!owner.Sufficient(0)) // without the earlier one
	owner.Record("a:1", 0)
	is.True(owner.Sufficient(0))
	again, ok := owner.Propose([]witness.Candidate{{Address: "c:1"}}, true)
	is.True(ok) // the outcome of the first change is still not known
	is.Equal(again, next)
	owner.Adopt()
	is.Equal(owner.Witnesses(), next)
	_, ok = owner.Propose([]witness.Candidate{{Address: "b:1"}}, true)
	is.True(!ok)
	_, ok = owner.Propose(nil, true)
	is.True(!ok) // without candidates the witnesses stay
}

// TestYoungOwnerKeepsWitnesses guards against an owner that drops the witnesses that have not
// yet sent it a heartbeat, and then needs the confirmations of few.
func TestYoungOwnerKeepsWitnesses(t *testing.T) {
	is := is.New(t)
	owner := witness.NewConfirmations(witness.Set{"a:1", "b:1"})
	next, ok := owner.Propose([]witness.Candidate{{Address: "c:1"}}, false)
	is.True(ok)
	is.Equal(next, witness.Set{"a:1", "b:1", "c:1"})
}

// TestRegister guards against a witness that confirms an owner which a later one takes for
// ended.
func TestRegister(t *testing.T) {
	const first, second task.Fence = 1, 2
	t.Run("key not read", func(t *testing.T) {
		is := is.New(t)
		r := witness.NewRegister(0)
		r.Observe(first) // hearsay
		is.True(!r.Confirm(time.Second, first))
		r.ObserveStored(first)
		is.True(r.Confirm(time.Second, first))
	})
	t.Run("after a later owner", func(t *testing.T) {
		is := is.New(t)
		r := witness.NewRegister(0)
		r.ObserveStored(first)
		is.True(r.Confirm(time.Second, first))
		is.Equal(r.Supersede(5*time.Second, second), 4*time.Second)
		is.True(!r.Confirm(6*time.Second, first))
		r.ObserveStored(first) // a read that was answered late
		is.True(!r.Confirm(7*time.Second, first))
		is.Equal(r.Supersede(7*time.Second, second), 6*time.Second) // a refusal is no confirmation
	})
	t.Run("restart", func(t *testing.T) {
		is := is.New(t)
		r := witness.NewRegister(10 * time.Second)
		is.Equal(r.Supersede(11*time.Second, second), time.Second) // it may have confirmed just before
	})
}

// TestChooseSpreadsOverZones guards against witnesses that are lost together with a zone in
// which most nodes are.
func TestChooseSpreadsOverZones(t *testing.T) {
	is := is.New(t)
	var all []witness.Candidate
	zoneOf := make(map[string]id.Zone)
	for i, a := range addresses(40) {
		c := witness.Candidate{Address: a, Zone: "large"}
		if i < 9 {
			c.Zone = id.Zone(fmt.Sprint("small", i/3))
		}
		all = append(all, c)
		zoneOf[a] = c.Zone
	}
	set := witness.Choose(nil, all)
	is.Equal(len(set), witness.MaxWitnesses)
	inZone := make(map[id.Zone]int)
	for _, a := range set {
		inZone[zoneOf[a]]++
	}
	for _, n := range inZone {
		is.True(n <= 2) // seven witnesses in four zones
	}
}
