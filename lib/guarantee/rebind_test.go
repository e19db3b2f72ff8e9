package guarantee_test

import (
	"fmt"
	"testing"

	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// TestRebindReportsUndecidedSearch guards against a search that doesn't end, and
// against one that reports a set as impossible although it ended at its limit.
// On n workers of 8 accelerators, n members of 5 leave no worker for a member of
// 4. No two workers are equal, so that the search can't skip any subset of them.
func TestRebindReportsUndecidedSearch(t *testing.T) {
	cases := []struct {
		workers   int
		lost      int
		undecided bool
	}{{6, 1, false}, {20, 1, true}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.workers), func(t *testing.T) {
			is := is.New(t)
			z := newZone("z", 1, c.workers)
			for i := range z.Workers {
				z.Workers[i].Resources.Memory += unit.GiB * unit.Bytes(i)
			}
			state, err := fleet.New(fleet.Config{Zone: z})
			is.NoErr(err)
			var copies []guarantee.Copy
			for i := range c.workers + 1 {
				g := newGuarantee("a", 1, 5, 1, job.SameWorker)
				if i == c.workers {
					g = newGuarantee("b", 1, 4, 1, job.SameWorker)
				}
				copies = append(copies, guarantee.Copy{Key: record.GuaranteeKey{Account: g.Account, Name: g.Name}, Index: i, Shape: g.Shape,
					Zone: "z", Cells: []job.Member{{Worker: id.Worker("gone"), Resources: g.Shape.PerWorker}}})
			}
			r := guarantee.Rebind(state.View(), copies)
			is.Equal(len(r.Lost), c.lost)
			is.Equal(len(r.Bound), c.workers)
			is.Equal(r.Undecided, c.undecided)
		})
	}
}
