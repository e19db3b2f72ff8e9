// Package quota enforces the quotas of accounts on opportunistic work, and
// orders waiting jobs so that the accounts share the remaining accelerators by
// weight.
package quota

import (
	"cmp"
	"slices"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// Usage counts the accelerators held by the opportunistic gangs of each
// account. Usage reports lag, so the caller must add its own reservations at
// once. A Usage must not be used concurrently.
type Usage struct {
	accounts map[id.Account]record.Account
	held     map[id.Account]unit.Accelerators
}

// NewUsage returns a Usage in which no account holds accelerators. An account
// that is not in accounts has no limit and weight 1.
func NewUsage(accounts map[id.Account]record.Account) *Usage {
	return &Usage{accounts: accounts, held: make(map[id.Account]unit.Accelerators)}
}

// Add adds n accelerators to those held by an account. n may be negative.
func (u *Usage) Add(account id.Account, n unit.Accelerators) { u.held[account] += n }

// Held returns the accelerators held by the opportunistic gangs of an account.
func (u *Usage) Held(account id.Account) unit.Accelerators { return u.held[account] }

// Limit returns the quota of an account, and false if it has none.
func (u *Usage) Limit(account id.Account) (unit.Accelerators, bool) {
	limit := u.accounts[account].Quota
	return limit, limit > 0
}

// Allows reports whether an account may hold n more accelerators.
func (u *Usage) Allows(account id.Account, n unit.Accelerators) bool {
	limit, ok := u.Limit(account)
	return !ok || n == 0 || u.held[account]+n <= limit
}

// WaitingJob describes a waiting job for Order.
type WaitingJob struct {
	Account id.Account
	// Score is the urgency of the job, comparable between accounts. Jobs with a
	// higher score start earlier.
	Score float64
	// Aged jobs come first, in the given order, however many accelerators their
	// account holds.
	Aged bool
}

// Order returns the indices of jobs in the order in which the jobs may start.
// If an account holds more than its weighted share, the scores of its jobs are
// divided by the ratio of what it holds to that share.
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

// overuse returns, for each account with waiting jobs, the ratio of the
// accelerators that it holds to its weighted share of all those that these
// accounts hold.
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
