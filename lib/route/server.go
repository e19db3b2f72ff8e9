package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/unit"
)

const (
	// At most 1/maxEjectedDivisor of the servers are ejected, so that a burst
	// of bad requests does not remove all servers of a service.
	maxEjectedDivisor = 3
	// failuresToEject is the number of consecutive lost, timed-out or
	// unreachable attempts after which a server is ejected.
	failuresToEject = 3
	// minSamples is the number of attempts after which the failure rate and the
	// mean response time of a server can lead to its ejection.
	minSamples = 16
	// maxExcessFailureRate is how far the failure rate of a server may exceed
	// that of all servers together.
	maxExcessFailureRate = 0.4
	// A server is slow when its mean response time exceeds both minSlowTime and
	// slowFactor times the median of all servers.
	slowFactor  = 4
	minSlowTime = 10 * time.Millisecond
	// defaultOverdue is the limit for overdue while fewer than three servers
	// have a mean response time.
	defaultOverdue = time.Second
	// initialProbeInterval and maxProbeInterval are the first and the longest
	// interval between probes of an ejected server.
	initialProbeInterval = 500 * time.Millisecond
	maxProbeInterval     = 15 * time.Second
	// probesToRestore is the number of consecutive successful probes after
	// which an ejected server is used again.
	probesToRestore = 3
	// slowStartDuration is the time over which the share of an added or
	// restored server rises to its full value.
	slowStartDuration = time.Second
	// busyBackoff is the time without new attempts to a server after it
	// rejected one as busy.
	busyBackoff = 2 * time.Millisecond
	// After a busy rejection within this node's share, the slot counts as used
	// for the median response time divided by busyHoldDivisor, because another
	// request still runs in it, for example one whose response was lost. With
	// busyBackoff alone, the server has the lowest load, is chosen again every
	// 2 ms, and uses up the retry budget.
	busyHoldDivisor = 4
	// failureBackoff is the time without new attempts to a server after a
	// failed attempt. A failing server has free slots and would be chosen
	// first.
	failureBackoff = 100 * time.Millisecond
	// maxLoadAge is the maximum age at which a reported load is used to compare
	// servers.
	maxLoadAge = 100 * time.Millisecond
	// lostHoldTime is how long a slot counts as used after a lost response,
	// because the server may still run the request. It is shorter than the 1 s
	// within which the slots of a share must be in use again.
	lostHoldTime = 500 * time.Millisecond
	// borrowReserve is the number of slots of a server that a node leaves free
	// when it exceeds its share, so that a node that was idle finds a free
	// slot.
	borrowReserve = 1
	// peakDecayInterval is how long the load of the other nodes must stay below
	// its peak before the peak is lowered by one slot. Shorter gaps in their
	// load are not used: with 50 ms, 2 to 7 of 4,000 requests of 8 evenly
	// loaded nodes were rejected.
	peakDecayInterval = 250 * time.Millisecond
	// borrowBackoff is how long a node stays within its share after a busy
	// rejection.
	borrowBackoff = 250 * time.Millisecond
	// maxBorrowLoadAge is the maximum age of the load report at which a node
	// may exceed its share.
	maxBorrowLoadAge = time.Second
	// medianMaxAge is the minimum interval between computations of the median,
	// which bounds their cost.
	medianMaxAge = 50 * time.Millisecond
	// smoothing and tableSmoothing are the weights of the newest sample in the
	// moving averages of one server and of all servers.
	smoothing      = 0.1
	tableSmoothing = 0.01
)

// Result is the result of an attempt, as far as routing is concerned.
type Result uint8

// The results of attempts.
const (
	// Succeeded means a complete response with a status below 500.
	Succeeded Result = iota + 1
	// ServerError means a complete response with a status of 500 or more.
	ServerError
	// Busy means that the server rejected the attempt before running it.
	Busy
	// Unreachable means that nothing of the attempt was sent.
	Unreachable
	// Lost means that the attempt may have run and that no complete response
	// arrived.
	Lost
	// TimedOut means Lost because the deadline passed. It counts against the
	// server only when the attempt took much longer than the median response
	// time.
	TimedOut
	// Unused means that the reservation was not used. It does not affect the
	// server's state.
	Unused
)

// Report describes the end of an attempt.
type Report struct {
	Now    time.Time
	Result Result
	// Load is the number of running requests that the server reported, or -1 if
	// it reported none.
	Load int
}

// server is the state of one backend server on this node.
type server struct {
	backend Backend
	table   *Table
	// meanTime is the moving average of the response times in nanoseconds. It
	// is atomic because the computation of the median over all servers reads it
	// without the lock.
	meanTime atomic.Int64
	// ejected is written under the lock; pickProbe reads it without the lock.
	ejected    atomic.Bool
	rampOffset float64 // 0 to 1 slots; staggers the slow start of nodes with small shares

	mu             sync.Mutex
	slots          int
	connections    unit.Connections
	running        int
	heldUntil      []time.Time // ends of the holds on slots of ended attempts, ascending
	otherLoad      int         // requests of other nodes, from the last report
	loadReportedAt time.Time
	// otherPeak is the recent peak of otherLoad, and otherPeakAt the time at
	// which it was last reached or lowered.
	otherPeak   int
	otherPeakAt time.Time
	borrowAfter time.Time
	pausedUntil time.Time
	rampStart   time.Time // zero when slow start is not in progress

	consecutiveFailures int
	samples             int
	failureRate         movingAverage

	removed         bool
	probeInProgress bool
	nextProbe       time.Time
	probeInterval   time.Duration
	probesSucceeded int
}

func newServer(b Backend, t *Table, now time.Time, slowStart bool) *server {
	s := &server{backend: b, table: t, rampOffset: rand.Float64()}
	if slowStart {
		s.rampStart = now
	}
	return s
}

func (s *server) setShare(slots int, connections unit.Connections) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots != slots {
		s.otherPeak = int(s.table.slots) // the load of the other nodes is not yet known; assume the maximum
	}
	s.slots, s.connections = slots, connections
}

// load estimates the number of requests on the server: the attempts and holds
// of this node, and the load of the other nodes from the last report if it is
// recent. It returns math.MaxInt for a server that is ejected or paused.
func (s *server) load(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejected.Load() || now.Before(s.pausedUntil) {
		return math.MaxInt
	}
	n := s.running + len(s.heldUntil)
	if now.Sub(s.loadReportedAt) < maxLoadAge {
		n += s.otherLoad
	}
	return n
}

// capacity returns the number of slots that this node may use now, which is 0
// for an ejected server.
func (s *server) capacity(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejected.Load() {
		return 0
	}
	return max(s.rampedShare(now), s.borrowLimit(now))
}

// borrowLimit returns the number of slots that this node may use if it exceeds
// its share: all slots of the server, less the recent peak of the other nodes
// and a reserve. When several nodes use the same free slot, the server rejects
// the excess attempt as busy, with the certain outcome notRun. The caller must
// hold s.mu.
func (s *server) borrowLimit(now time.Time) int {
	if !s.rampStart.IsZero() || now.Before(s.borrowAfter) || now.Sub(s.loadReportedAt) >= maxBorrowLoadAge {
		return 0
	}
	return min(int(s.table.slots)-s.otherPeak-borrowReserve, int(s.connections))
}

// recordLoad records the load that a response reported. The caller must hold
// s.mu.
func (s *server) recordLoad(load int, now time.Time) {
	s.otherLoad, s.loadReportedAt = max(0, load-s.running), now
	switch {
	case s.otherLoad >= s.otherPeak:
		s.otherPeak, s.otherPeakAt = s.otherLoad, now
	case now.Sub(s.otherPeakAt) >= peakDecayInterval:
		s.otherPeak, s.otherPeakAt = s.otherPeak-1, now
	}
}

// rampedShare returns this node's share of the slots, reduced during slow
// start. With many nodes a share is a single slot; rampOffset makes these nodes
// start at different times. The caller must hold s.mu.
func (s *server) rampedShare(now time.Time) int {
	if s.rampStart.IsZero() {
		return s.slots
	}
	part := float64(now.Sub(s.rampStart)) / float64(slowStartDuration)
	if part >= 1 {
		s.rampStart = time.Time{}
		return s.slots
	}
	return min(s.slots, int(part*float64(s.slots)+s.rampOffset))
}

// tryReserve reserves a slot if the server has one available for the query.
func (s *server) tryReserve(q Query) (Reservation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseExpired(q.Now)
	limit := s.rampedShare(q.Now)
	if q.borrow {
		limit = max(limit, s.borrowLimit(q.Now))
	}
	if s.removed || q.Now.Before(s.pausedUntil) || s.running+len(s.heldUntil) >= limit {
		return Reservation{}, false
	}
	if s.ejected.Load() && (!q.AllowProbe || s.probeInProgress || q.Now.Before(s.nextProbe)) {
		return Reservation{}, false
	}
	if q.Avoid == s.backend.Name && s.table.hasAlternatives() {
		return Reservation{}, false
	}
	borrowed := s.running+len(s.heldUntil) >= s.rampedShare(q.Now)
	s.running++
	ejected := s.ejected.Load()
	s.probeInProgress = s.probeInProgress || ejected
	return Reservation{Backend: s.backend, Connections: s.connections, Probe: ejected, borrowed: borrowed,
		server: s, started: q.Now}, true
}

// releaseExpired removes the holds that have ended. The caller must hold s.mu.
func (s *server) releaseExpired(now time.Time) {
	n := 0
	for n < len(s.heldUntil) && !now.Before(s.heldUntil[n]) {
		n++
	}
	if n > 0 {
		s.heldUntil = append(s.heldUntil[:0], s.heldUntil[n:]...)
	}
}

// done releases the reservation and records the report.
func (s *server) done(res Reservation, report Report) {
	shortDeadline := report.Result == TimedOut && !s.overdue(report.Now.Sub(res.started), report.Now)
	hold := s.holdTime(res, report)
	s.mu.Lock()
	s.running--
	if hold > 0 {
		s.heldUntil = append(s.heldUntil, report.Now.Add(hold))
		slices.SortFunc(s.heldUntil, time.Time.Compare)
	}
	if report.Load >= 0 {
		s.recordLoad(report.Load, report.Now)
	}
	switch report.Result {
	case Busy:
		s.pausedUntil = report.Now.Add(busyBackoff)
		s.borrowAfter = report.Now.Add(borrowBackoff)
	case Lost, Unreachable, TimedOut:
		if !shortDeadline {
			s.pausedUntil = report.Now.Add(failureBackoff)
		}
	}
	s.mu.Unlock()
	if shortDeadline {
		report.Result = Unused
	}
	s.recordResult(res, report)
}

// holdTime returns how long the slot counts as used after the attempt ended.
func (s *server) holdTime(res Reservation, report Report) time.Duration {
	switch {
	case report.Result == Lost, report.Result == TimedOut:
		return lostHoldTime
	case report.Result == Busy && !res.borrowed:
		return s.table.medianResponseTime(report.Now) / busyHoldDivisor
	}
	return 0
}

// overdue reports whether an attempt took so much longer than the median that a
// fault of the server is likely. Requests with short deadlines must not lead to
// the ejection of servers that work.
func (s *server) overdue(elapsed time.Duration, now time.Time) bool {
	medianTime := s.table.medianResponseTime(now)
	if medianTime == 0 {
		return elapsed > defaultOverdue
	}
	return elapsed > max(slowFactor*medianTime, minSlowTime)
}

// recordResult updates the failure rate and the response time of the server,
// and ejects or restores it. It compares response times with the other servers
// before it takes the lock.
func (s *server) recordResult(res Reservation, report Report) {
	if report.Result == Unused || report.Result == Busy {
		s.mu.Lock()
		s.probeInProgress = s.probeInProgress && !res.Probe
		s.mu.Unlock()
		return
	}
	failed := report.Result != Succeeded
	s.table.failureRate.add(failed, tableSmoothing)
	slow := false
	if !failed {
		slow = s.recordResponseTime(report.Now.Sub(res.started), report.Now, res.Probe)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejected.Load() {
		if res.Probe {
			s.recordProbe(!failed && !slow, report.Now)
		}
		return
	}
	s.samples++
	s.failureRate.add(failed, smoothing)
	s.consecutiveFailures = failuresAfter(s.consecutiveFailures, report.Result)
	if s.removed || !s.shouldEject(slow) || !s.table.tryEject() {
		return
	}
	s.ejected.Store(true)
	s.probesSucceeded, s.probeInterval = 0, initialProbeInterval
	s.nextProbe = report.Now.Add(withJitter(s.probeInterval))
}

// failuresAfter returns the number of consecutive failures after one more
// result. A server error is a response, so it does not count as unreachable.
func failuresAfter(failures int, result Result) int {
	switch result {
	case Lost, Unreachable, TimedOut:
		return failures + 1
	}
	return 0
}

// shouldEject reports whether the failures and response times so far justify
// ejection. The caller must hold s.mu.
func (s *server) shouldEject(slow bool) bool {
	if s.consecutiveFailures >= failuresToEject {
		return true
	}
	if s.samples < minSamples {
		return false
	}
	return slow || s.failureRate.get() > s.table.failureRate.get()+maxExcessFailureRate
}

// recordResponseTime adds a response time to the moving average and reports
// whether the server is slower than the others. For a probe it uses the
// response time of the probe alone, because the average would stay high long
// after the server recovered.
func (s *server) recordResponseTime(elapsed time.Duration, now time.Time, probe bool) bool {
	old := time.Duration(s.meanTime.Load())
	mean := elapsed
	if !probe {
		if old > 0 {
			mean = old + time.Duration(smoothing*float64(elapsed-old))
		}
		s.meanTime.Store(int64(max(mean, 1)))
	}
	if mean < minSlowTime {
		return false
	}
	medianTime := s.table.medianResponseTime(now)
	return medianTime > 0 && mean > slowFactor*medianTime
}

// recordProbe records the result of a probe, and restores the server after
// probesToRestore consecutive successes. The caller must hold s.mu.
func (s *server) recordProbe(ok bool, now time.Time) {
	s.probeInProgress = false
	if !ok {
		s.probesSucceeded = 0
		s.probeInterval = min(2*s.probeInterval, maxProbeInterval)
		s.nextProbe = now.Add(withJitter(s.probeInterval))
		return
	}
	s.probesSucceeded++
	s.nextProbe = now.Add(busyBackoff)
	if s.probesSucceeded < probesToRestore {
		return
	}
	s.ejected.Store(false)
	s.consecutiveFailures, s.samples = 0, 0
	s.failureRate.reset()
	s.meanTime.Store(0)
	s.rampStart = now
	s.table.ejected.Add(-1)
}

// remove marks the server as removed, so that a concurrent Pick with the
// previous list does not reserve a slot on it.
func (s *server) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = true
	if s.ejected.Load() {
		s.ejected.Store(false)
		s.table.ejected.Add(-1)
	}
}

// hasAlternatives reports whether the service has more than one server.
func (t *Table) hasAlternatives() bool {
	current := t.snapshot.Load()
	return len(current.sameZone)+len(current.otherZones) > 1
}

// movingAverage is an exponential moving average of boolean samples. It is
// updated without a lock.
type movingAverage struct{ bits atomic.Uint64 }

func (a *movingAverage) add(value bool, weight float64) {
	sample := 0.0
	if value {
		sample = 1
	}
	for {
		old := a.bits.Load()
		v := math.Float64frombits(old)
		if a.bits.CompareAndSwap(old, math.Float64bits(v+weight*(sample-v))) {
			return
		}
	}
}

func (a *movingAverage) get() float64 { return math.Float64frombits(a.bits.Load()) }

func (a *movingAverage) reset() { a.bits.Store(0) }

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// withJitter returns a random duration between d/2 and 3d/2, so that probes of
// several nodes do not coincide.
func withJitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
