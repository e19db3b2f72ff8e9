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
func (t *Usage) Add(account id.Account, n unit.Accelerators) { t.held[account] += n }

// Held returns what the opportunistic gangs of an account hold.
func (t *Usage) Held(account id.Account) unit.Accelerators { return t.held[account] }

// Limit returns the quota of an account, and false when it has none.
func (t *Usage) Limit(account id.Account) (unit.Accelerators, bool) {
	q := t.accounts[account].Quota
	return q, q > 0
}

// Allows reports whether an account may hold n accelerators more.
func (t *Usage) Allows(account id.Account, n unit.Accelerators) bool {
	limit, ok := t.Limit(account)
	return !ok || n == 0 || t.held[account]+n <= limit
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
func Order(t *Usage, items []WaitingJob) []int {
	shares := t.overuse(items)
	order := make([]int, len(items))
	score := make([]float64, len(items))
	for i, it := range items {
		order[i] = i
		score[i] = it.Score / max(1, shares[it.Account])
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if items[a].Aged != items[b].Aged {
			if items[a].Aged {
				return -1
			}
			return 1
		}
		if items[a].Aged {
			return 0
		}
		return cmp.Compare(score[b], score[a])
	})
	return order
}

// overuse returns, for each account with waiting jobs, what it holds against
// its weighted share of all that such accounts hold. 1 is exactly the share.
func (t *Usage) overuse(items []WaitingJob) map[id.Account]float64 {
	over := make(map[id.Account]float64)
	for _, it := range items {
		over[it.Account] = 0
	}
	var held, weight float64
	for a := range over {
		held += float64(t.held[a])
		weight += t.weight(a)
	}
	if held == 0 {
		return over
	}
	for a := range over {
		over[a] = float64(t.held[a]) / held * weight / t.weight(a)
	}
	return over
}

func (t *Usage) weight(a id.Account) float64 { return float64(max(1, t.accounts[a].Weight)) }
