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
	// maxEjectedDivisor: at most a third of the servers are ejected, so that a
	// wave of bad requests can't remove a service.
	maxEjectedDivisor = 3
	// failuresToEject ejects a server that can't be reached or loses answers.
	failuresToEject = 3
	// minSamples is how many attempts a rate or a time needs before it counts.
	minSamples = 16
	// maxExcessFailureRate is how far the failing part of a server may be above that
	// of all servers together.
	maxExcessFailureRate = 0.4
	// slowFactor and minSlowTime: a server is slow when its mean answer time is
	// this many times the median of the others and above the floor.
	slowFactor  = 4
	minSlowTime = 10 * time.Millisecond
	// defaultOverdue is used instead while too few answer times are known.
	defaultOverdue = time.Second
	// initialProbeInterval and maxProbeInterval are the first and the longest time between
	// probes of an ejected server.
	initialProbeInterval = 500 * time.Millisecond
	maxProbeInterval     = 15 * time.Second
	// probesToRestore is how many probes in a row must succeed.
	probesToRestore = 3
	// slowStartDuration is the time in which a returning server gets its full share.
	slowStartDuration = time.Second
	// busyBackoff is how long a server gets nothing after a busy refusal.
	busyBackoff = 2 * time.Millisecond
	// busyHoldDivisor: after a busy refusal within this node's share, the slot
	// counts as taken for this part of the usual answer time. Something else
	// runs in it, such as a request whose answer was lost. With the pause
	// alone, the server looks less loaded than the others and is asked again
	// every 2 ms, which uses up the retry budget.
	busyHoldDivisor = 4
	// failureBackoff is how long a server gets nothing after a failed attempt. A
	// failing server has free slots and would be chosen first.
	failureBackoff = 100 * time.Millisecond
	// maxLoadAge is how long a reported load counts.
	maxLoadAge = 100 * time.Millisecond
	// lostHoldTime keeps a slot taken after a lost answer: the server may still
	// run the request. It is under the 1 s in which a share must be refilled.
	lostHoldTime = 500 * time.Millisecond
	// borrowReserve is the number of slots of a server that a node leaves free
	// when it goes beyond its share, so that a node that was idle finds a slot.
	borrowReserve = 1
	// peakDecayInterval is the time in which the load of the other nodes must stay
	// under its peak before the peak is lowered by one slot. Gaps of the other
	// nodes that are shorter are not used: with 50 ms, 8 evenly loaded nodes
	// were refused 2 to 7 of 4,000 requests.
	peakDecayInterval = 250 * time.Millisecond
	// borrowBackoff is how long a node stays within its share after a busy
	// refusal.
	borrowBackoff = 250 * time.Millisecond
	// maxBorrowLoadAge is how long a report allows slots beyond the share.
	maxBorrowLoadAge = time.Second
	// medianMaxAge bounds the cost of the median over all servers.
	medianMaxAge = 50 * time.Millisecond
	// smoothing and tableSmoothing are the weights of the newest sample in the
	// moving average of one server and of all servers.
	smoothing      = 0.1
	tableSmoothing = 0.01
)

// Result says how an attempt ended, as far as routing is concerned.
type Result uint8

// The endings of attempts.
const (
	// Succeeded is a whole answer that is no server error.
	Succeeded Result = iota + 1
	// ServerError is a whole answer with a status of 500 or more.
	ServerError
	// Busy is a refusal before running.
	Busy
	// Unreachable is an attempt of which nothing was sent.
	Unreachable
	// Lost is an attempt that may have run and has no whole answer.
	Lost
	// TimedOut is a lost attempt whose deadline passed. It shows a fault of the
	// server only when the attempt was given much more time than usual.
	TimedOut
	// Unused is a reservation that was not used. It says nothing about the server.
	Unused
)

// Report is what an attempt told about its server.
type Report struct {
	Now    time.Time
	Result Result
	// Load is the number of requests the server reported as running, or -1.
	Load int
}

// server is the state of one backend server as this node sees it.
type server struct {
	backend Backend
	table   *Table
	// meanTime is the moving average of answer times in nanoseconds. It is
	// atomic because other servers compare themselves with it.
	meanTime atomic.Int64
	// ejected is written under the lock and read without it by probe.
	ejected    atomic.Bool
	rampOffset float64 // staggers the slow start of nodes with small shares

	mu             sync.Mutex
	slots          int
	connections    unit.Connections
	running        int
	heldUntil      []time.Time // when slots of lost attempts become free, in order
	otherLoad      int         // load that other nodes cause, by the last report
	loadReportedAt time.Time
	// otherPeak is the recent greatest load of other nodes, and otherPeakAt the time
	// when it was seen or lowered.
	otherPeak   int
	otherPeakAt time.Time
	borrowAfter time.Time
	pausedUntil time.Time
	rampStart   time.Time // zero when the share is not being raised

	consecutiveFailures int // failures
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
		s.otherPeak = int(s.table.slots) // the load of the others is not known yet
	}
	s.slots, s.connections = slots, connections
}

// load estimates how full the server is: the node's own running attempts, and
// what the last answer reported beyond them while that is fresh.
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

// capacity returns the slots that may be used now. An ejected server has none.
func (s *server) capacity(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejected.Load() {
		return 0
	}
	return max(s.rampedShare(now), s.borrowLimit(now))
}

// borrowLimit returns how many slots this node may use when it goes beyond its
// share: all but the recent peak of the other nodes and a reserve, as the
// server reports them. The server's busy refusal, a certain notRun, remains
// the bound when several nodes take the same slot. The lock is held.
func (s *server) borrowLimit(now time.Time) int {
	if !s.rampStart.IsZero() || now.Before(s.borrowAfter) || now.Sub(s.loadReportedAt) >= maxBorrowLoadAge {
		return 0
	}
	return min(int(s.table.slots)-s.otherPeak-borrowReserve, int(s.connections))
}

// recordLoad notes the load that an answer reports. The lock is held.
func (s *server) recordLoad(load int, now time.Time) {
	s.otherLoad, s.loadReportedAt = max(0, load-s.running), now
	switch {
	case s.otherLoad >= s.otherPeak:
		s.otherPeak, s.otherPeakAt = s.otherLoad, now
	case now.Sub(s.otherPeakAt) >= peakDecayInterval:
		s.otherPeak, s.otherPeakAt = s.otherPeak-1, now
	}
}

// rampedShare returns the share during slow start. With many nodes a share is one
// slot; the phase makes these nodes begin at different times. The lock is
// held.
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

// tryReserve takes a slot.
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

// releaseExpired gives back the slots whose hold has passed. The lock is held.
func (s *server) releaseExpired(now time.Time) {
	n := 0
	for n < len(s.heldUntil) && !now.Before(s.heldUntil[n]) {
		n++
	}
	if n > 0 {
		s.heldUntil = append(s.heldUntil[:0], s.heldUntil[n:]...)
	}
}

// done gives the slot back.
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

// holdTime returns how long the slot stays taken after an attempt.
func (s *server) holdTime(res Reservation, report Report) time.Duration {
	switch {
	case report.Result == Lost, report.Result == TimedOut:
		return lostHoldTime
	case report.Result == Busy && !res.borrowed:
		return s.table.medianResponseTime(report.Now) / busyHoldDivisor
	}
	return 0
}

// overdue reports whether an attempt took so much longer than usual that a
// fault of the server is likely. Callers with short deadlines must not make
// good servers look bad.
func (s *server) overdue(elapsed time.Duration, now time.Time) bool {
	medianTime := s.table.medianResponseTime(now)
	if medianTime == 0 {
		return elapsed > defaultOverdue
	}
	return elapsed > max(slowFactor*medianTime, minSlowTime)
}

// recordResult judges the server. The comparisons with other servers are made without
// the lock.
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

// failuresAfter counts failures in a row. A server error is an answer, so it does
// not show that the server can't be reached.
func failuresAfter(failures int, result Result) int {
	switch result {
	case Lost, Unreachable, TimedOut:
		return failures + 1
	}
	return 0
}

// shouldEject decides whether the evidence is enough to eject. The lock is held.
func (s *server) shouldEject(slow bool) bool {
	if s.consecutiveFailures >= failuresToEject {
		return true
	}
	if s.samples < minSamples {
		return false
	}
	return slow || s.failureRate.get() > s.table.failureRate.get()+maxExcessFailureRate
}

// recordResponseTime adds an answer time and compares the average with the other servers.
// A probe is judged by its own time, because the average would stay high long
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

// recordProbe notes the result of a probe. The lock is held.
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

// remove marks the server as gone: a Pick that still holds the previous list
// gets no slot either.
func (s *server) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = true
	if s.ejected.Load() {
		s.ejected.Store(false)
		s.table.ejected.Add(-1)
	}
}

// hasAlternatives reports whether there is another server to try.
func (t *Table) hasAlternatives() bool {
	current := t.snapshot.Load()
	return len(current.sameZone)+len(current.otherZones) > 1
}

// movingAverage is a moving average of a yes-or-no sample, updated without a lock.
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

// withJitter spreads probes of several nodes over time.
func withJitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
