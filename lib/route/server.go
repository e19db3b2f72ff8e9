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
	// failuresInRow ejects a server that can't be reached or loses answers.
	failuresInRow = 3
	// minSamples is how many attempts a rate or a time needs before it counts.
	minSamples = 16
	// excessFailing is how far the failing part of a server may be above that
	// of all servers together.
	excessFailing = 0.4
	// slowFactor and slowFloor: a server is slow when its mean answer time is
	// this many times the median of the others and above the floor.
	slowFactor = 4
	slowFloor  = 10 * time.Millisecond
	// overdueFirst is used instead while too few answer times are known.
	overdueFirst = time.Second
	// probeFirst and probeMax are the first and the longest time between
	// probes of an ejected server.
	probeFirst = 500 * time.Millisecond
	probeMax   = 15 * time.Second
	// probesToReturn is how many probes in a row must succeed.
	probesToReturn = 3
	// slowStart is the time in which a returning server gets its full share.
	slowStart = time.Second
	// busyPause is how long a server gets nothing after a busy refusal.
	busyPause = 2 * time.Millisecond
	// busyHoldDivisor: after a busy refusal within this node's share, the slot
	// counts as taken for this part of the usual answer time. Something else
	// runs in it, such as a request whose answer was lost. With the pause
	// alone, the server looks less loaded than the others and is asked again
	// every 2 ms, which uses up the retry budget.
	busyHoldDivisor = 4
	// failPause is how long a server gets nothing after a failed attempt. A
	// failing server has free slots and would be chosen first.
	failPause = 100 * time.Millisecond
	// loadFresh is how long a reported load counts.
	loadFresh = 100 * time.Millisecond
	// lostHold keeps a slot taken after a lost answer: the server may still
	// run the request. It is under the 1 s in which a share must be refilled.
	lostHold = 500 * time.Millisecond
	// borrowReserve is the number of slots of a server that a node leaves free
	// when it goes beyond its share, so that a node that was idle finds a slot.
	borrowReserve = 1
	// borrowStep is the time in which the load of the other nodes must stay
	// under its peak before the peak is lowered by one slot. Gaps of the other
	// nodes that are shorter are not used: with 50 ms, 8 evenly loaded nodes
	// were refused 2 to 7 of 4,000 requests.
	borrowStep = 250 * time.Millisecond
	// borrowPause is how long a node stays within its share after a busy
	// refusal.
	borrowPause = 250 * time.Millisecond
	// borrowFresh is how long a report allows slots beyond the share.
	borrowFresh = time.Second
	// typicalAge bounds the cost of the median over all servers.
	typicalAge = 50 * time.Millisecond
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
	ejected atomic.Bool
	phase   float64 // staggers the slow start of nodes with small shares

	mu          sync.Mutex
	slots       int
	connections unit.Connections
	running     int
	held        []time.Time // when slots of lost attempts become free, in order
	others      int         // load that other nodes cause, by the last report
	reported    time.Time
	// peak is the recent greatest load of other nodes, and peakAt the time
	// when it was seen or lowered.
	peak        int
	peakAt      time.Time
	borrowAfter time.Time
	busyUntil   time.Time
	rampStart   time.Time // zero when the share is not being raised

	inRow   int // failures
	samples int
	failing average

	left      bool
	probing   bool
	probeAt   time.Time
	probeWait time.Duration
	probesOK  int
}

func newServer(b Backend, t *Table, now time.Time, slow bool) *server {
	s := &server{backend: b, table: t, phase: rand.Float64()}
	if slow {
		s.rampStart = now
	}
	return s
}

func (s *server) share(slots int, connections unit.Connections) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots != slots {
		s.peak = int(s.table.slots) // the load of the others is not known yet
	}
	s.slots, s.connections = slots, connections
}

// load estimates how full the server is: the node's own running attempts, and
// what the last answer reported beyond them while that is fresh.
func (s *server) load(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejected.Load() || now.Before(s.busyUntil) {
		return math.MaxInt
	}
	n := s.running + len(s.held)
	if now.Sub(s.reported) < loadFresh {
		n += s.others
	}
	return n
}

// usable returns the slots that may be used now. An ejected server has none.
func (s *server) usable(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejected.Load() {
		return 0
	}
	return max(s.ramped(now), s.borrowed(now))
}

// borrowed returns how many slots this node may use when it goes beyond its
// share: all but the recent peak of the other nodes and a reserve, as the
// server reports them. The server's busy refusal, a certain notRun, remains
// the bound when several nodes take the same slot. The lock is held.
func (s *server) borrowed(now time.Time) int {
	if !s.rampStart.IsZero() || now.Before(s.borrowAfter) || now.Sub(s.reported) >= borrowFresh {
		return 0
	}
	return min(int(s.table.slots)-s.peak-borrowReserve, int(s.connections))
}

// observe notes the load that an answer reports. The lock is held.
func (s *server) observe(load int, now time.Time) {
	s.others, s.reported = max(0, load-s.running), now
	switch {
	case s.others >= s.peak:
		s.peak, s.peakAt = s.others, now
	case now.Sub(s.peakAt) >= borrowStep:
		s.peak, s.peakAt = s.peak-1, now
	}
}

// ramped returns the share during slow start. With many nodes a share is one
// slot; the phase makes these nodes begin at different times. The lock is
// held.
func (s *server) ramped(now time.Time) int {
	if s.rampStart.IsZero() {
		return s.slots
	}
	part := float64(now.Sub(s.rampStart)) / float64(slowStart)
	if part >= 1 {
		s.rampStart = time.Time{}
		return s.slots
	}
	return min(s.slots, int(part*float64(s.slots)+s.phase))
}

// take takes a slot.
func (s *server) take(q Query) (Reservation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freeHeld(q.Now)
	limit := s.ramped(q.Now)
	if q.borrow {
		limit = max(limit, s.borrowed(q.Now))
	}
	if s.left || q.Now.Before(s.busyUntil) || s.running+len(s.held) >= limit {
		return Reservation{}, false
	}
	if s.ejected.Load() && (!q.AllowProbe || s.probing || q.Now.Before(s.probeAt)) {
		return Reservation{}, false
	}
	if q.Avoid == s.backend.Name && s.table.alternatives() {
		return Reservation{}, false
	}
	borrowed := s.running+len(s.held) >= s.ramped(q.Now)
	s.running++
	ejected := s.ejected.Load()
	s.probing = s.probing || ejected
	return Reservation{Backend: s.backend, Connections: s.connections, Probe: ejected, borrowed: borrowed,
		server: s, started: q.Now}, true
}

// freeHeld gives back the slots whose hold has passed. The lock is held.
func (s *server) freeHeld(now time.Time) {
	n := 0
	for n < len(s.held) && !now.Before(s.held[n]) {
		n++
	}
	if n > 0 {
		s.held = append(s.held[:0], s.held[n:]...)
	}
}

// done gives the slot back.
func (s *server) done(l Reservation, r Report) {
	early := r.Result == TimedOut && !s.overdue(r.Now.Sub(l.started), r.Now)
	hold := s.holdAfter(l, r)
	s.mu.Lock()
	s.running--
	if hold > 0 {
		s.held = append(s.held, r.Now.Add(hold))
		slices.SortFunc(s.held, time.Time.Compare)
	}
	if r.Load >= 0 {
		s.observe(r.Load, r.Now)
	}
	switch r.Result {
	case Busy:
		s.busyUntil = r.Now.Add(busyPause)
		s.borrowAfter = r.Now.Add(borrowPause)
	case Lost, Unreachable, TimedOut:
		if !early {
			s.busyUntil = r.Now.Add(failPause)
		}
	}
	s.mu.Unlock()
	if early {
		r.Result = Unused
	}
	s.learn(l, r)
}

// holdAfter returns how long the slot stays taken after an attempt.
func (s *server) holdAfter(l Reservation, r Report) time.Duration {
	switch {
	case r.Result == Lost, r.Result == TimedOut:
		return lostHold
	case r.Result == Busy && !l.borrowed:
		return s.table.typicalTime(r.Now) / busyHoldDivisor
	}
	return 0
}

// overdue reports whether an attempt took so much longer than usual that a
// fault of the server is likely. Callers with short deadlines must not make
// good servers look bad.
func (s *server) overdue(took time.Duration, now time.Time) bool {
	typical := s.table.typicalTime(now)
	if typical == 0 {
		return took > overdueFirst
	}
	return took > max(slowFactor*typical, slowFloor)
}

// learn judges the server. The comparisons with other servers are made without
// the lock.
func (s *server) learn(l Reservation, r Report) {
	if r.Result == Unused || r.Result == Busy {
		s.mu.Lock()
		s.probing = s.probing && !l.Probe
		s.mu.Unlock()
		return
	}
	failed := r.Result != Succeeded
	s.table.failing.add(failed, tableSmoothing)
	slow := false
	if !failed {
		slow = s.tooSlow(r.Now.Sub(l.started), r.Now, l.Probe)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejected.Load() {
		if l.Probe {
			s.probed(!failed && !slow, r.Now)
		}
		return
	}
	s.samples++
	s.failing.add(failed, smoothing)
	s.inRow = rowAfter(s.inRow, r.Result)
	if s.left || !s.bad(slow) || !s.table.mayEject() {
		return
	}
	s.ejected.Store(true)
	s.probesOK, s.probeWait = 0, probeFirst
	s.probeAt = r.Now.Add(jittered(s.probeWait))
}

// rowAfter counts failures in a row. A server error is an answer, so it does
// not show that the server can't be reached.
func rowAfter(row int, e Result) int {
	switch e {
	case Lost, Unreachable, TimedOut:
		return row + 1
	}
	return 0
}

// bad decides whether the evidence is enough to eject. The lock is held.
func (s *server) bad(slow bool) bool {
	if s.inRow >= failuresInRow {
		return true
	}
	if s.samples < minSamples {
		return false
	}
	return slow || s.failing.get() > s.table.failing.get()+excessFailing
}

// tooSlow adds an answer time and compares the average with the other servers.
// A probe is judged by its own time, because the average would stay high long
// after the server recovered.
func (s *server) tooSlow(took time.Duration, now time.Time, probe bool) bool {
	old := time.Duration(s.meanTime.Load())
	mean := took
	if !probe {
		if old > 0 {
			mean = old + time.Duration(smoothing*float64(took-old))
		}
		s.meanTime.Store(int64(max(mean, 1)))
	}
	if mean < slowFloor {
		return false
	}
	typical := s.table.typicalTime(now)
	return typical > 0 && mean > slowFactor*typical
}

// probed notes the result of a probe. The lock is held.
func (s *server) probed(ok bool, now time.Time) {
	s.probing = false
	if !ok {
		s.probesOK = 0
		s.probeWait = min(2*s.probeWait, probeMax)
		s.probeAt = now.Add(jittered(s.probeWait))
		return
	}
	s.probesOK++
	s.probeAt = now.Add(busyPause)
	if s.probesOK < probesToReturn {
		return
	}
	s.ejected.Store(false)
	s.inRow, s.samples = 0, 0
	s.failing.reset()
	s.meanTime.Store(0)
	s.rampStart = now
	s.table.ejected.Add(-1)
}

// leave marks the server as gone: a Pick that still holds the previous list
// gets no slot either.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = true
	if s.ejected.Load() {
		s.ejected.Store(false)
		s.table.ejected.Add(-1)
	}
}

// alternatives reports whether there is another server to try.
func (t *Table) alternatives() bool {
	v := t.view.Load()
	return len(v.near)+len(v.far) > 1
}

// average is a moving average of a yes-or-no sample, updated without a lock.
type average struct{ bits atomic.Uint64 }

func (a *average) add(yes bool, weight float64) {
	sample := 0.0
	if yes {
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

func (a *average) get() float64 { return math.Float64frombits(a.bits.Load()) }

func (a *average) reset() { a.bits.Store(0) }

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// jittered spreads probes of several nodes over time.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }
