// Package witness decides for how long an owner that has lost the metadata store may
// extend the leases of runs, and when a later owner knows that it no longer does.
//
// An owner names other nodes as its witnesses in its record in the store. Without the
// store, it extends leases only while at least half of them have confirmed recently that
// they know no later owner. A later owner asks the witnesses: one that has answered
// confirms no earlier owner any more, and tells for how long it has confirmed none. Once
// more than half of them have confirmed none for Validity, the earlier owner can't have
// enough confirmations. spec/witness.pml is the model.
package witness

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
)

const (
	// Validity is how long a confirmation lasts, from when it was requested. An owner
	// without the store requests confirmations about twice in this time.
	Validity = 2 * time.Second
	// clockMargin allows for the drift between the clocks of an owner and its witnesses
	// during Validity.
	clockMargin = 150 * time.Millisecond
	// MaxWitnesses bounds the witnesses of an owner. With seven, three can be lost at the
	// same time as the store or the owner.
	MaxWitnesses = 7
)

// Set is the addresses of an owner's witnesses. An owner without witnesses needs no
// confirmations, and nobody can tell when it has stopped.
type Set []string

// sufficient reports whether so many confirmations let an owner extend leases.
func (s Set) sufficient(confirmations int) bool { return 2*confirmations >= len(s) }

// excludes reports whether so many witnesses without a confirmation leave an owner too few
// confirmations.
func (s Set) excludes(quiet int) bool { return 2*quiet > len(s) }

// Candidate is a node that can be a witness.
type Candidate struct {
	Address string
	Zone    id.Zone
}

// Choose returns the witnesses among candidates. It keeps those of current, and spreads
// the others over the zones, so that the loss of a zone leaves as many as possible.
func Choose(current Set, candidates []Candidate) Set {
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Address, b.Address) })
	var chosen Set
	inZone := make(map[id.Zone]int)
	take := func(i int) {
		chosen = append(chosen, candidates[i].Address)
		inZone[candidates[i].Zone]++
		candidates = slices.Delete(candidates, i, i+1)
	}
	for _, a := range current {
		if i := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Address == a }); i >= 0 && len(chosen) < MaxWitnesses {
			take(i)
		}
	}
	for len(chosen) < MaxWitnesses && len(candidates) > 0 {
		least := 0
		for i, c := range candidates {
			if inZone[c.Zone] < inZone[candidates[least].Zone] {
				least = i
			}
		}
		take(least)
	}
	return chosen
}

// Register is the state of a node as a witness.
type Register struct {
	mu sync.Mutex
	// stored is the fence of the last owner whose key this process has read. A process
	// that has restarted has forgotten what it told a later owner, so hearsay is not
	// enough for a confirmation.
	stored      task.Fence
	highest     task.Fence    // of any owner that this node knows
	confirmedAt time.Duration // when it last confirmed an owner, or its start
}

// NewRegister returns the register of a process that starts at now, a time since boot.
// An earlier process of the node may have confirmed an owner until then.
func NewRegister(now time.Duration) *Register { return &Register{confirmedAt: now} }

// ObserveStored records the fence of an owner key that this node has read or written.
func (r *Register) ObserveStored(f task.Fence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored, r.highest = max(r.stored, f), max(r.highest, f)
}

// Observe records the fence of an owner that another node has reported.
func (r *Register) Observe(f task.Fence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highest = max(r.highest, f)
}

// Confirm reports whether this node knows no later owner than the one with a fence. If so,
// it counts as a confirmation.
func (r *Register) Confirm(now time.Duration, f task.Fence) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stored != f || r.highest > f {
		return false
	}
	r.confirmedAt = now
	return true
}

// Supersede records a later owner, and returns for how long this node has confirmed none.
func (r *Register) Supersede(now time.Duration, f task.Fence) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highest = max(r.highest, f)
	return now - r.confirmedAt
}

// Confirmations is what an owner knows of its witnesses.
type Confirmations struct {
	mu       sync.Mutex
	current  Set                      // named by the record in the store
	proposed Set                      // named by a write whose outcome is not known, or nil
	askedAt  map[string]time.Duration // when the last confirmation was requested, by address
}

// NewConfirmations returns the state of an owner whose record names witnesses.
func NewConfirmations(s Set) *Confirmations {
	return &Confirmations{current: s, askedAt: make(map[string]time.Duration)}
}

// Witnesses returns the witnesses that can confirm the owner.
func (c *Confirmations) Witnesses() Set {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append(slices.Clone(c.current), c.proposed...)
	slices.Sort(all)
	return slices.Compact(all)
}

// Record records a confirmation that was requested at asked.
func (c *Confirmations) Record(address string, asked time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.askedAt[address] = max(c.askedAt[address], asked)
}

// Sufficient reports whether enough confirmations are valid. While the outcome of a change
// is not known, a later owner may have read either set.
func (c *Confirmations) Sufficient(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sufficientIn(c.current, now) && c.sufficientIn(c.proposed, now)
}

func (c *Confirmations) sufficientIn(s Set, now time.Duration) bool {
	valid := 0
	for _, a := range s {
		if asked, ok := c.askedAt[a]; ok && now-asked < Validity {
			valid++
		}
	}
	return s.sufficient(valid)
}

// Propose returns the witnesses to store in place of the present ones, given the nodes
// that can be witnesses. Unless these are complete, it replaces none. It returns false if no
// change is needed. A change whose outcome is not known is repeated until Adopt reports that
// it is stored.
func (c *Confirmations) Propose(candidates []Candidate, complete bool) (Set, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.proposed != nil {
		return c.proposed, true
	}
	if !complete {
		candidates = withMembers(candidates, c.current)
	}
	next := Choose(c.current, candidates)
	if len(next) == 0 || next.equal(c.current) {
		return nil, false
	}
	c.proposed = next
	return next, true
}

// Adopt records that the proposed witnesses are stored.
func (c *Confirmations) Adopt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.proposed != nil {
		c.current, c.proposed = c.proposed, nil
	}
}

// withMembers returns candidates with the members of a set that are not among them.
func withMembers(candidates []Candidate, s Set) []Candidate {
	all := slices.Clone(candidates)
	for _, a := range s {
		if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Address == a }) {
			all = append(all, Candidate{Address: a})
		}
	}
	return all
}

// equal reports whether two sets have the same members.
func (s Set) equal(other Set) bool {
	return len(s) == len(other) && !slices.ContainsFunc(s, func(a string) bool { return !slices.Contains(other, a) })
}

// Inquiry is what a new owner has learned from the witnesses of earlier owners.
type Inquiry struct {
	mu    sync.Mutex
	quiet map[string]struct{}
}

// NewInquiry returns an inquiry without answers.
func NewInquiry() *Inquiry { return &Inquiry{quiet: make(map[string]struct{})} }

// Record records for how long a witness had confirmed no owner when it answered. It
// reports whether the time suffices; otherwise the witness is asked again.
func (q *Inquiry) Record(address string, quiet time.Duration) bool {
	if quiet < Validity+clockMargin {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quiet[address] = struct{}{}
	return true
}

// Excludes reports whether an owner with the given witnesses may no longer extend leases.
func (q *Inquiry) Excludes(s Set) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	quiet := 0
	for _, a := range s {
		if _, ok := q.quiet[a]; ok {
			quiet++
		}
	}
	return s.excludes(quiet)
}

// Outstanding returns the witnesses of a set that have not answered sufficiently.
func (q *Inquiry) Outstanding(s Set) Set {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s), func(a string) bool {
		_, ok := q.quiet[a]
		return ok
	})
}
