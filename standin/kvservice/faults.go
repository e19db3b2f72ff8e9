package kvservice

import (
	"sync"
	"time"

	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"

	"golang.org/x/time/rate"
)

// Fault is what happens to one call.
type Fault int

// The faults of a call.
const (
	// NoFault serves the call.
	NoFault Fault = iota
	// Reject answers Unavailable. The call has no effect.
	Reject
	// LoseRequest drops the call before it takes effect; the client gets no
	// answer.
	LoseRequest
	// LoseReply drops the answer after the call took effect.
	LoseReply
	// DelayRequest gives the client no answer at once. The call takes effect when
	// DeliverLate is called.
	DelayRequest
)

// Call describes a call to a fault hook.
type Call struct {
	Client string
	Op     kv.Op
	Key    string // key or prefix, empty for calls about leases
}

// faults holds what tests have set.
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

// SetOutage makes the service refuse every call, or ends that.
func (s *Service) SetOutage(down bool) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.outage = down
}

// SetDelay makes every call wait before it takes effect.
func (s *Service) SetDelay(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.delay = d
}

// Partition refuses the calls of one client, or ends that.
func (s *Service) Partition(client string, partitioned bool) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.partitioned[client] = partitioned
}

// LoseReplies drops the answers to the next n writes of a client, after they
// took effect.
func (s *Service) LoseReplies(client string, n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.loseReplies[client] = n
}

// SetFaultHook sets a function that chooses the fault of each call. It may block.
func (s *Service) SetFaultHook(hook func(Call) Fault) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.hook = hook
}

// DeliverDelayed lets the calls with the fault DelayRequest take effect, in their order.
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

// choose returns the fault of a call and the time that it waits first.
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

// limits are the rate limits of the service for all clients together.
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

// counts is the number of calls by kind.
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

// Counts returns the number of calls of each kind since the start. A call
// counts when it arrives, also when it is then refused.
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
		Field: "result of a call to the key-value service", Remedy: "read the key; no answer came"})
}
