package budget

import (
	"sync"
	"sync/atomic"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/unit"
)

// BacklogConfig configures a Backlog.
type BacklogConfig struct {
	// Memory bounds the bytes that the jobs of all accounts take.
	Memory unit.Bytes
}

// Defaults for VMs of which the memory is not known.
const (
	// DefaultJobMemory is what jobs may take.
	DefaultJobMemory = 64 * unit.MiB
	// defaultStartMemory is what starts with large specs may take while they are sent.
	defaultStartMemory = 8 * unit.MiB
)

// jobMemoryShare is the share of a VM's memory that jobs may take, as a divisor. Garbage of
// the runtime can take as much again, and clients and other nodes hold an eighth each.
const jobMemoryShare = 6

// JobMemoryFor returns the bytes that jobs may take on a VM, of which the memory is zero if
// it is not known.
func JobMemoryFor(vm unit.Bytes) unit.Bytes {
	if vm <= 0 {
		return DefaultJobMemory
	}
	return vm / jobMemoryShare
}

// startMemoryShare is the share of a VM's memory that starts with large specs may take while
// they are sent, as a divisor.
const startMemoryShare = 32

// StartMemoryFor returns the bytes that starts with large specs may take while they are sent
// to workers, on a VM of which the memory is zero if it is not known.
func StartMemoryFor(vm unit.Bytes) unit.Bytes {
	if vm <= 0 {
		return defaultStartMemory
	}
	return vm / startMemoryShare
}

const (
	// accountShare is the share of the memory that one account may take of what the others
	// leave. The rest stays for accounts that have no jobs yet.
	accountShare = 0.75
	// jobShare is the share that one job may take of what is left to its account, as a
	// divisor. Large jobs are refused before ordinary ones.
	jobShare = 2
)

// Backlog decides which submitted jobs are accepted, by the memory that accepted jobs take.
// It answers crowds that submit valid jobs faster than they end: what is accepted has to
// stay, so further jobs are refused. An account that fills its part leaves room for the
// others, and large jobs leave room for ordinary ones.
type Backlog struct {
	config   BacklogConfig
	held     atomic.Int64
	accounts *shard.Map[id.Account, unit.Bytes]
	// decision serializes the decisions, so that two jobs don't take the same room.
	decision sync.Mutex
}

// NewBacklog returns a Backlog without jobs.
func NewBacklog(c BacklogConfig) *Backlog {
	return &Backlog{config: c, accounts: shard.NewMap[id.Account, unit.Bytes]()}
}

// Held returns the bytes that the jobs of all accounts take.
func (b *Backlog) Held() unit.Bytes { return unit.Bytes(b.held.Load()) }

// Admit reports whether a new job of an account is accepted. If it is, its bytes count until
// Release.
func (b *Backlog) Admit(a id.Account, job unit.Bytes) bool {
	b.decision.Lock()
	defer b.decision.Unlock()
	if !b.Fits(a, job) {
		return false
	}
	b.Restore(a, job)
	return true
}

// Fits reports whether there is room for a new job of an account. There always is if there
// are no others.
func (b *Backlog) Fits(a id.Account, job unit.Bytes) bool {
	held := b.Held()
	own, _ := b.accounts.Get(a)
	left := min(unit.Bytes(accountShare*float64(b.config.Memory-(held-own)))-own, b.config.Memory-held)
	return held == 0 || own == 0 && job <= left || job <= left/jobShare
}

// Restore counts the bytes of a job that was accepted by an earlier owner. They may exceed
// the memory, as an accepted job is never dropped.
func (b *Backlog) Restore(a id.Account, job unit.Bytes) { b.add(a, job) }

// Release ends the count of bytes that a job has taken.
func (b *Backlog) Release(a id.Account, job unit.Bytes) { b.add(a, -job) }

func (b *Backlog) add(a id.Account, bytes unit.Bytes) {
	b.held.Add(int64(bytes))
	b.accounts.Update(a, func(own unit.Bytes, _ bool) (unit.Bytes, bool) {
		own += bytes
		return own, own > 0
	})
}
