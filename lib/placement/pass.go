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

// AgedAfter is the wait after which a job comes before all younger ones and
// its resources are kept for it, whatever its size. In the bench, closing
// workers after 48 h or 72 h gave longer mean completion times
// (docs/placement.md has the figures).
const AgedAfter = 96 * time.Hour

// currentTargetFactor weighs the time to room of workers that are in the target
// already, so that a reservation moves only where it starts much earlier.
const currentTargetFactor = 0.5

// WaitingJob is a waiting job with what earlier passes found about it.
type WaitingJob struct {
	Job job.Job
	Reservation
}

// Reservation is the part of a waiting job's history that later passes need.
type Reservation struct {
	// Bypassed counts the later jobs that started on resources that the job
	// has a reservation for.
	Bypassed int
	// Target names the workers of the reservation. It is empty without one.
	Target []id.Worker
}

// Result is the outcome of a pass.
type Result struct {
	// Records holds a decision for each waiting job, in the order decided.
	Records []decision.Record
	// Reservations holds the reservation of the job that has one. All others
	// have none.
	Reservations map[id.Job]Reservation
}

// Pass decides about all waiting jobs: claims first, then opportunistic jobs
// in order of fair share, age and size. The oldest job that can't start gets
// a reservation, which at most Policy.MaxBypass later jobs may use first.
func (p *Planner) Pass(st State, waiting []WaitingJob) Result {
	s := newSession(p, st)
	for _, r := range st.View.Racks() {
		for account, n := range r.Usage {
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

// decideClaims decides about claims in order. When one starts after others
// found no cells, these are tried again: a claim that uses a lost copy leaves
// fewer copies to hold, so that the cells may be enough for the rest.
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

// decideReservedFirst tries the job of a closed reservation before all others and
// returns the jobs that are left.
func (s *session) decideReservedFirst(res *Result, others []WaitingJob, r *passReservation) []WaitingJob {
	i := slices.IndexFunc(others, func(w WaitingJob) bool { return w.Job.ID == r.job })
	rec := s.decideReserved(others[i], r)
	if !r.started {
		return others
	}
	res.Records = append(res.Records, rec)
	return slices.Delete(others, i, i+1)
}

// splitClaims returns the claims, urgent ones first and then by age, and the other
// jobs by age.
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

// quotaItems returns what the order of others depends on.
func (s *session) quotaItems(others []WaitingJob) []quota.Item {
	items := make([]quota.Item, len(others))
	for i, w := range others {
		age := s.state.Now.Sub(w.Job.Submitted)
		items[i] = quota.Item{Account: w.Job.Spec.Account, Score: s.planner.jobScore(w.Job.Spec, age), Aged: age >= AgedAfter}
	}
	return items
}

// declaredRunExponent is the exponent on the declared run time. Declarations are off
// by up to 10 times either way, so that the order follows them only in part.
const declaredRunExponent = 0.6

// jobScore rises with the wait, and falls with the expected work of the job, so
// that short and small jobs come first but no job is passed for ever.
func (p *Planner) jobScore(spec job.Spec, age time.Duration) float64 {
	expectedRun := math.Pow(spec.DeclaredRun.Seconds(), declaredRunExponent)
	accelerators := float64(max(1, spec.Shape.Accelerators()))
	return (age.Seconds() + spec.DeclaredRun.Seconds()) / (expectedRun * accelerators)
}

// decideWithReservation decides about one opportunistic job under the reservation.
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

// decideReserved decides about the job with the reservation, which may use its
// target.
func (s *session) decideReserved(w WaitingJob, r *passReservation) decision.Record {
	waits := s.waitCache
	s.reservedWorkers, s.waitCache = nil, make(map[job.Shape]waitReason)
	s.reservationPending = false // it waits for no other job
	rec := s.decide(w.Job)
	if r.started = len(rec.Members) > 0; !r.started {
		s.reservationPending = true
		s.waitCache = waits
		s.closeTarget(r)
		rec.Target, rec.Bypassed = r.Target, r.Bypassed
	}
	return rec
}

// markBackfill sets the rule of jobs that start ahead of an older one that
// waits for room.
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

// passReservation keeps workers for the oldest job that can't start.
type passReservation struct {
	Reservation
	job     id.Job
	started bool
	// aged closes the target whatever passed the job.
	aged bool
}

// isClosed reports whether later jobs may not use the target any more.
func (r *passReservation) isClosed(maxBypass int) bool { return r.aged || r.Bypassed >= maxBypass }

func (r *passReservation) uses(members []job.Member) bool {
	for _, m := range members {
		if slices.Contains(r.Target, m.Worker) {
			return true
		}
	}
	return false
}

// reserve returns the reservation for the oldest job that finds no room, or
// nil when there is none.
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

// closeTarget closes the target of a reservation that may not be passed any more to
// other opportunistic jobs.
func (s *session) closeTarget(r *passReservation) {
	if s.reservedWorkers != nil || !r.isClosed(s.planner.cfg.Policy.MaxBypass) {
		return
	}
	s.reservedWorkers = make([][]bool, len(s.view.Racks()))
	for i, rack := range s.view.Racks() {
		s.reservedWorkers[i] = make([]bool, len(rack.Workers))
	}
	for _, name := range r.Target {
		if at, ok := s.view.Place(name); ok {
			s.reservedWorkers[at.Rack][at.Worker] = true
		}
	}
}

// chooseTarget returns the workers on which a shape is expected to find room first.
func (s *session) chooseTarget(shape job.Shape, previous []id.Worker) []id.Worker {
	var all, best []scoredWorker
	bestCost := math.Inf(1)
	n := int(shape.Workers)
	for i, r := range s.view.Racks() {
		if shape.Locality != job.SameZone {
			all = all[:0]
		}
		for j := range r.Workers {
			if w := &r.Workers[j]; w.Out == fleet.In && shape.PerWorker.Fits(w.Total) {
				cost := s.timeToFit(w, shape)
				if slices.Contains(previous, w.Name) {
					cost *= currentTargetFactor
				}
				all = append(all, scoredWorker{at: fleet.Place{Rack: i, Worker: j}, cost: cost})
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

// timeToFit estimates in seconds when a worker has room for a member.
func (s *session) timeToFit(w *fleet.Worker, shape job.Shape) float64 {
	free := w.Free
	if shape.PerWorker.Fits(free) {
		return 0
	}
	type end struct {
		after float64
		hold  fleet.Hold
	}
	ends := make([]end, len(w.Holds))
	for i, h := range w.Holds {
		ends[i] = end{remainingRun(h.Gang, s.state.Now), h}
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.after, b.after) })
	for _, e := range ends {
		free = free.Plus(e.hold.Resources)
		if shape.PerWorker.Fits(free) {
			return e.after
		}
	}
	return math.MaxFloat64
}

// remainingRun estimates the rest of a gang's run in seconds. A gang that ran
// past its declared time is expected to run half as long again.
func remainingRun(g *fleet.Gang, now time.Time) float64 {
	ran := now.Sub(g.Started).Seconds()
	return max(g.DeclaredRun.Seconds()-ran, ran/2)
}
