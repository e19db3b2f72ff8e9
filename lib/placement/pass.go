package placement

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/quota"
)

// AgedAfter is the waiting time after which a job comes before all younger ones
// and other jobs may no longer use the workers of its reservation, whatever its
// size. In the benchmark, 48 h and 72 h gave longer mean completion times
// (docs/placement.md has the figures).
const AgedAfter = 96 * time.Hour

// currentTargetFactor scales the estimated time to fit of workers that are in
// the target already, so that a reservation moves to other workers only when
// the job would start much earlier there.
const currentTargetFactor = 0.5

// WaitingJob is a waiting job with its reservation from earlier passes.
type WaitingJob struct {
	Job job.Job
	Reservation
}

// Reservation is the state of a job's reservation that passes hand on to later
// ones. The zero value means that the job has no reservation.
type Reservation struct {
	// Bypassed counts the other jobs that started on workers of the reservation.
	Bypassed int
	// Target names the workers of the reservation.
	Target []id.Worker
}

// Result is the outcome of a pass.
type Result struct {
	// Records holds a decision for each waiting job, in the order of the
	// decisions.
	Records []decision.Record
	// Reservations holds the reservation to hand on to the next pass. At most
	// one job has one.
	Reservations map[id.Job]Reservation
}

// Pass decides about all waiting jobs: claims first, then opportunistic jobs
// in order of fair share, age and size. The oldest job that can't start gets
// a reservation of workers. Once Policy.MaxBypass other jobs have started on
// these workers, or the job is older than AgedAfter, the reservation is closed
// to other opportunistic jobs.
func (p *Planner) Pass(st State, waiting []WaitingJob) Result {
	s := newSession(p, st)
	for _, r := range st.View.Racks() {
		for account, n := range r.OpportunisticUsage {
			s.quota.Add(account, n)
		}
	}
	res := Result{Records: make([]decision.Record, 0, len(waiting)), Reservations: make(map[id.Job]Reservation)}
	claims, others := splitClaims(waiting)
	s.decideClaims(&res, claims)
	first := len(res.Records)
	r := s.reserve(others)
	s.reservationPending = r != nil
	if r != nil && r.isClosed(p.cfg.Policy.MaxBypass) {
		others = s.decideReservedFirst(&res, others, r)
	}
	for _, i := range quota.Order(s.quota, s.quotaItems(others)) {
		res.Records = append(res.Records, s.decideWithReservation(others[i], r))
	}
	if r != nil && !r.started {
		res.Reservations[r.job] = r.Reservation
	}
	markBackfill(res.Records[first:], others)
	return res
}

// decideClaims decides about claims in order. When a claim is placed after
// others had to wait, these are tried again: a claim that uses a lost copy
// leaves fewer copies that need cells, so that others may now fit.
func (s *session) decideClaims(res *Result, claims []WaitingJob) {
	for again := true; again; {
		again = false
		var left []WaitingJob
		var waits []decision.Record
		for _, w := range claims {
			rec := s.decide(w.Job)
			if rec.Rule == decision.RuleWait {
				left, waits = append(left, w), append(waits, rec)
				continue
			}
			res.Records = append(res.Records, rec)
			again = again || len(rec.Members) > 0 && len(left) > 0
		}
		if claims = left; !again {
			res.Records = append(res.Records, waits...)
		}
	}
}

// decideReservedFirst tries to place the job of a closed reservation before all
// others. It returns the jobs that are still to be decided.
func (s *session) decideReservedFirst(res *Result, others []WaitingJob, r *passReservation) []WaitingJob {
	i := slices.IndexFunc(others, func(w WaitingJob) bool { return w.Job.ID == r.job })
	rec := s.decideReserved(others[i], r)
	if !r.started {
		return others
	}
	res.Records = append(res.Records, rec)
	return slices.Delete(others, i, i+1)
}

// splitClaims separates the claims, urgent ones first and then by age, from the
// other jobs, by age.
func splitClaims(waiting []WaitingJob) (claims, others []WaitingJob) {
	for _, w := range waiting {
		if w.Job.Spec.Claim != "" {
			claims = append(claims, w)
		} else {
			others = append(others, w)
		}
	}
	slices.SortStableFunc(claims, func(a, b WaitingJob) int {
		if a.Job.Spec.Urgent != b.Job.Spec.Urgent {
			if a.Job.Spec.Urgent {
				return -1
			}
			return 1
		}
		return compareAge(a, b)
	})
	slices.SortStableFunc(others, compareAge)
	return claims, others
}

func compareAge(a, b WaitingJob) int {
	return cmp.Or(a.Job.Submitted.Compare(b.Job.Submitted), strings.Compare(string(a.Job.ID), string(b.Job.ID)))
}

// quotaItems returns the account, score and age class of each job for quota.Order.
func (s *session) quotaItems(others []WaitingJob) []quota.WaitingJob {
	items := make([]quota.WaitingJob, len(others))
	for i, w := range others {
		age := s.state.Now.Sub(w.Job.Submitted)
		items[i] = quota.WaitingJob{Account: w.Job.Spec.Account, Score: s.planner.jobScore(w.Job.Spec, age), Aged: age >= AgedAfter}
	}
	return items
}

// declaredRunExponent is the exponent on the declared run time in a job's
// score. Declared run times are wrong by up to a factor of 10 either way, so
// they count less than linearly.
const declaredRunExponent = 0.6

// jobScore returns the score of a waiting job, higher first. It falls with the
// expected work, so that short and small jobs come first, and rises with the
// waiting time, which prevents starvation.
func (p *Planner) jobScore(spec job.Spec, age time.Duration) float64 {
	expectedRun := math.Pow(spec.DeclaredRun.Seconds(), declaredRunExponent)
	accelerators := float64(max(1, spec.Shape.Accelerators()))
	return (age.Seconds() + spec.DeclaredRun.Seconds()) / (expectedRun * accelerators)
}

// decideWithReservation decides about one opportunistic job, and counts it in
// r.Bypassed when it starts on workers of another job's reservation. r is nil
// when there is no reservation.
func (s *session) decideWithReservation(w WaitingJob, r *passReservation) decision.Record {
	if r != nil && w.Job.ID == r.job {
		return s.decideReserved(w, r)
	}
	rec := s.decide(w.Job)
	if r != nil && !r.started && len(rec.Members) > 0 && r.uses(rec.Members) {
		r.Bypassed++
		s.closeTarget(r)
	}
	return rec
}

// decideReserved decides about the job that has the reservation. Its target is
// open to it.
func (s *session) decideReserved(w WaitingJob, r *passReservation) decision.Record {
	waits := s.waitCache
	s.reservedWorkers, s.waitCache = nil, make(map[job.Shape]waitReason)
	s.reservationPending = false // no other job has a reservation
	rec := s.decide(w.Job)
	if r.started = len(rec.Members) > 0; !r.started {
		s.reservationPending = true
		s.waitCache = waits
		s.closeTarget(r)
		rec.Target, rec.Bypassed = r.Target, r.Bypassed
	}
	return rec
}

// markBackfill sets RuleBackfill for jobs that start ahead of an older job with
// RuleWait.
func markBackfill(records []decision.Record, others []WaitingJob) {
	submitted := make(map[id.Job]time.Time, len(others))
	for _, w := range others {
		submitted[w.Job.ID] = w.Job.Submitted
	}
	var oldest time.Time
	for _, r := range records {
		if at := submitted[r.Job]; r.Rule == decision.RuleWait && (oldest.IsZero() || at.Before(oldest)) {
			oldest = at
		}
	}
	for i := range records {
		if r := &records[i]; r.Rule == decision.RuleFree && !oldest.IsZero() && submitted[r.Job].After(oldest) {
			r.Rule = decision.RuleBackfill
		}
	}
}

// passReservation is the reservation of the oldest job that can't start, during
// one pass.
type passReservation struct {
	Reservation
	job     id.Job
	started bool
	// aged closes the target whatever Bypassed is: the job has waited for
	// AgedAfter.
	aged bool
}

// isClosed reports whether other opportunistic jobs are kept off the target.
func (r *passReservation) isClosed(maxBypass int) bool { return r.aged || r.Bypassed >= maxBypass }

func (r *passReservation) uses(members []job.Member) bool {
	for _, m := range members {
		if slices.Contains(r.Target, m.Worker) {
			return true
		}
	}
	return false
}

// reserve returns the reservation for the oldest job that doesn't fit now but
// can run later, or nil when there is no such job. Jobs over their quota get
// none.
func (s *session) reserve(others []WaitingJob) *passReservation {
	for _, w := range others {
		spec := w.Job.Spec
		if !s.planner.nearestFeasible(spec.Shape).fits || !s.quota.Allows(spec.Account, spec.Shape.Accelerators()) {
			continue
		}
		if len(w.Target) == 0 {
			if found, _ := s.find(spec.Shape, searchOptions{usable: s.freeForOpportunistic, onlyFree: true}); found != nil {
				continue
			}
		}
		r := &passReservation{Reservation: w.Reservation, job: w.Job.ID}
		r.Target = s.chooseTarget(spec.Shape, r.Target)
		if r.Target == nil {
			continue
		}
		r.aged = s.state.Now.Sub(w.Job.Submitted) >= AgedAfter
		s.closeTarget(r)
		return r
	}
	return nil
}

// closeTarget marks the target's workers as reserved once the reservation is
// closed. It does nothing while the reservation is open.
func (s *session) closeTarget(r *passReservation) {
	if s.reservedWorkers != nil || !r.isClosed(s.planner.cfg.Policy.MaxBypass) {
		return
	}
	s.reservedWorkers = make([][]bool, len(s.view.Racks()))
	for i, rack := range s.view.Racks() {
		s.reservedWorkers[i] = make([]bool, len(rack.Workers))
	}
	for _, name := range r.Target {
		if at, ok := s.view.Position(name); ok {
			s.reservedWorkers[at.Rack][at.Worker] = true
		}
	}
}

// chooseTarget returns the workers on which a shape is expected to fit first.
func (s *session) chooseTarget(shape job.Shape, previous []id.Worker) []id.Worker {
	var all, best []scoredWorker
	bestCost := math.Inf(1)
	n := int(shape.Workers)
	for i, r := range s.view.Racks() {
		if shape.Locality != job.SameZone {
			all = all[:0]
		}
		for j := range r.Workers {
			if w := &r.Workers[j]; w.Exclusion == fleet.NotExcluded && shape.PerWorker.Fits(w.Total) {
				cost := s.timeToFit(w, shape)
				if slices.Contains(previous, w.Name) {
					cost *= currentTargetFactor
				}
				all = append(all, scoredWorker{at: fleet.Position{Rack: i, Worker: j}, cost: cost})
			}
		}
		if shape.Locality == job.SameZone && i < len(s.view.Racks())-1 || len(all) < n {
			continue
		}
		sortScored(all)
		if last := all[n-1].cost; last < bestCost {
			bestCost, best = last, slices.Clone(all[:n])
		}
	}
	names := make([]id.Worker, len(best))
	for i, b := range best {
		names[i] = s.view.Worker(b.at).Name
	}
	if len(names) == 0 {
		return nil
	}
	return names
}

// timeToFit estimates the seconds until a member fits on a worker, when its
// gangs end at their expected times.
func (s *session) timeToFit(w *fleet.Worker, shape job.Shape) float64 {
	free := w.Free
	if shape.PerWorker.Fits(free) {
		return 0
	}
	type end struct {
		after      float64
		allocation fleet.Allocation
	}
	ends := make([]end, len(w.Allocations))
	for i, a := range w.Allocations {
		ends[i] = end{remainingRun(a.Gang, s.state.Now), a}
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.after, b.after) })
	for _, e := range ends {
		free = free.Plus(e.allocation.Resources)
		if shape.PerWorker.Fits(free) {
			return e.after
		}
	}
	return math.MaxFloat64
}

// remainingRun estimates the rest of a gang's run in seconds. It is at least
// half of the time that the gang has run already, which covers gangs that run
// past their declared time.
func remainingRun(g *fleet.Gang, now time.Time) float64 {
	ran := now.Sub(g.Started).Seconds()
	return max(g.DeclaredRun.Seconds()-ran, ran/2)
}
