package kvservice

import (
	"sync"
	"time"

	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"

	"golang.org/x/time/rate"
)

// Fault is a fault injected into one call.
type Fault int

// The faults of a call.
const (
	// NoFault serves the call normally.
	NoFault Fault = iota
	// Reject fails the call with problem.Unavailable. The call has no effect.
	Reject
	// LoseRequest drops the call before it takes effect. The client gets no reply.
	LoseRequest
	// LoseReply drops the reply after the call has taken effect.
	LoseReply
	// DelayRequest fails the call at once, as without a reply. The call takes effect
	// when DeliverDelayed is called.
	DelayRequest
)

// Call is the description of a call that a fault hook receives.
type Call struct {
	Client string
	Op     kv.Op
	Key    string // key or prefix; empty for lease calls
}

// faults is the state of fault injection.
type faults struct {
	mu          sync.Mutex
	outage      bool
	delay       time.Duration
	partitioned map[string]bool
	loseReplies map[string]int
	hook        func(Call) Fault
	delayed     []func()
}

func newFaults() *faults {
	return &faults{partitioned: make(map[string]bool), loseReplies: make(map[string]int)}
}

// SetOutage starts or ends an outage, in which the service rejects every call.
func (s *Service) SetOutage(down bool) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.outage = down
}

// SetDelay sets the time that every call waits before it takes effect.
func (s *Service) SetDelay(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.delay = d
}

// Partition starts or ends a partition of one client, whose calls are rejected.
func (s *Service) Partition(client string, partitioned bool) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.partitioned[client] = partitioned
}

// LoseReplies drops the replies to the next n writes of a client, after the
// writes have taken effect.
func (s *Service) LoseReplies(client string, n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.loseReplies[client] = n
}

// SetFaultHook sets a function that chooses the fault of each call to which no
// other fault applies. The function may block.
func (s *Service) SetFaultHook(hook func(Call) Fault) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.hook = hook
}

// DeliverDelayed executes the calls with the fault DelayRequest in order.
func (s *Service) DeliverDelayed() {
	s.faults.mu.Lock()
	late := s.faults.delayed
	s.faults.delayed = nil
	s.faults.mu.Unlock()
	for _, deliver := range late {
		deliver()
	}
}

func (f *faults) addDelayed(deliver func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delayed = append(f.delayed, deliver)
}

// choose returns the fault of a call and the delay before the call takes effect.
func (f *faults) choose(c Call) (Fault, time.Duration) {
	f.mu.Lock()
	hook, delay := f.hook, f.delay
	fault := NoFault
	switch {
	case f.outage || f.partitioned[c.Client]:
		fault = Reject
	case c.Op.Writes() && f.loseReplies[c.Client] > 0:
		f.loseReplies[c.Client]--
		fault = LoseReply
	}
	f.mu.Unlock()
	if fault == NoFault && hook != nil {
		fault = hook(c)
	}
	return fault, delay
}

// limits are the rate limits for the calls of all clients together.
type limits struct{ write, read *rate.Limiter }

func newLimits(write, read unit.PerSecond) limits {
	limiter := func(r unit.PerSecond) *rate.Limiter {
		if r <= 0 {
			return rate.NewLimiter(rate.Inf, 1)
		}
		return rate.NewLimiter(rate.Limit(r), max(1, int(r)))
	}
	return limits{limiter(write), limiter(read)}
}

func (l limits) allow(op kv.Op, now time.Time) bool {
	if op.Writes() {
		return l.write.AllowN(now, 1)
	}
	return l.read.AllowN(now, 1)
}

// counts counts calls by operation.
type counts struct {
	mu   *sync.Mutex
	byOp map[kv.Op]uint64
}

func newCounts() counts { return counts{new(sync.Mutex), make(map[kv.Op]uint64)} }

func (c counts) add(op kv.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byOp[op]++
}

// Counts returns the number of calls of each operation since the start. It
// includes calls that were rejected.
func (s *Service) Counts() map[kv.Op]uint64 {
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	m := make(map[kv.Op]uint64, len(s.counts.byOp))
	for op, n := range s.counts.byOp {
		m[op] = n
	}
	return m
}

func unavailable(remedy string) error {
	return problem.New(problem.Unavailable, problem.Detail{Field: "key-value service", Remedy: remedy})
}

func unknownResult() error {
	return problem.New(problem.Unknown, problem.Detail{
		Field: "result of a call to the key-value service", Remedy: "no reply was received; read the key to see whether the call took effect"})
}
