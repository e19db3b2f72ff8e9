// Package quota holds the limits of accounts on opportunistic work and the
// order in which waiting jobs of accounts share what is left.
package quota

import (
	"cmp"
	"slices"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// Usage counts the accelerators that the opportunistic gangs of each account
// hold. Usage reports lag, so the caller adds its own reservations at once. It
// is for one goroutine.
type Usage struct {
	accounts map[id.Account]record.Account
	held     map[id.Account]unit.Accelerators
}

// NewUsage returns a table in which nothing is held. An account without an
// entry has no limit and weight 1.
func NewUsage(accounts map[id.Account]record.Account) *Usage {
	return &Usage{accounts: accounts, held: make(map[id.Account]unit.Accelerators)}
}

// Add counts n more accelerators for an account.
func (u *Usage) Add(account id.Account, n unit.Accelerators) { u.held[account] += n }

// Held returns what the opportunistic gangs of an account hold.
func (u *Usage) Held(account id.Account) unit.Accelerators { return u.held[account] }

// Limit returns the quota of an account, and false when it has none.
func (u *Usage) Limit(account id.Account) (unit.Accelerators, bool) {
	limit := u.accounts[account].Quota
	return limit, limit > 0
}

// Allows reports whether an account may hold n accelerators more.
func (u *Usage) Allows(account id.Account, n unit.Accelerators) bool {
	limit, ok := u.Limit(account)
	return !ok || n == 0 || u.held[account]+n <= limit
}

// WaitingJob is a waiting job for Order.
type WaitingJob struct {
	Account id.Account
	// Score is the urgency of the job among the jobs of all accounts. Higher
	// starts earlier.
	Score float64
	// Aged jobs come first, in the order given, whatever their account holds.
	Aged bool
}

// Order returns the positions of items in the order in which they may start.
// The score of a job counts less when its account holds more than its
// weighted share, in proportion to what it holds above that share.
func Order(usage *Usage, jobs []WaitingJob) []int {
	overuse := usage.overuse(jobs)
	order := make([]int, len(jobs))
	scores := make([]float64, len(jobs))
	for i, j := range jobs {
		order[i] = i
		scores[i] = j.Score / max(1, overuse[j.Account])
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if jobs[a].Aged != jobs[b].Aged {
			if jobs[a].Aged {
				return -1
			}
			return 1
		}
		if jobs[a].Aged {
			return 0
		}
		return cmp.Compare(scores[b], scores[a])
	})
	return order
}

// overuse returns, for each account with waiting jobs, what it holds against
// its weighted share of all that such accounts hold. 1 is exactly the share.
func (u *Usage) overuse(jobs []WaitingJob) map[id.Account]float64 {
	overuse := make(map[id.Account]float64)
	for _, j := range jobs {
		overuse[j.Account] = 0
	}
	var held, weight float64
	for a := range overuse {
		held += float64(u.held[a])
		weight += u.weight(a)
	}
	if held == 0 {
		return overuse
	}
	for a := range overuse {
		overuse[a] = float64(u.held[a]) / held * weight / u.weight(a)
	}
	return overuse
}

func (u *Usage) weight(a id.Account) float64 { return float64(max(1, u.accounts[a].Weight)) }
