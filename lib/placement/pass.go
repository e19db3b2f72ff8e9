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

// keepTarget weighs the time to room of workers that are in the target
// already, so that a reservation moves only where it starts much earlier.
const keepTarget = 0.5

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
	claims, others := split(waiting)
	s.decideClaims(&res, claims)
	first := len(res.Records)
	r := s.reserve(others)
	s.gangWaits = r != nil
	if r != nil && r.isClosed(p.cfg.Policy.MaxBypass) {
		others = s.decideFirst(&res, others, r)
	}
	for _, i := range quota.Order(s.quota, s.items(others)) {
		res.Records = append(res.Records, s.next(others[i], r))
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

// decideFirst tries the job of a closed reservation before all others and
// returns the jobs that are left.
func (s *session) decideFirst(res *Result, others []WaitingJob, r *passReservation) []WaitingJob {
	i := slices.IndexFunc(others, func(w WaitingJob) bool { return w.Job.ID == r.job })
	rec := s.reserved(others[i], r)
	if !r.started {
		return others
	}
	res.Records = append(res.Records, rec)
	return slices.Delete(others, i, i+1)
}

// split returns the claims, urgent ones first and then by age, and the other
// jobs by age.
func split(waiting []WaitingJob) (claims, others []WaitingJob) {
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
		return byAge(a, b)
	})
	slices.SortStableFunc(others, byAge)
	return claims, others
}

func byAge(a, b WaitingJob) int {
	return cmp.Or(a.Job.Submitted.Compare(b.Job.Submitted), strings.Compare(string(a.Job.ID), string(b.Job.ID)))
}

// items returns what the order of others depends on.
func (s *session) items(others []WaitingJob) []quota.Item {
	items := make([]quota.Item, len(others))
	for i, w := range others {
		age := s.st.Now.Sub(w.Job.Submitted)
		items[i] = quota.Item{Account: w.Job.Spec.Account, Score: s.p.score(w.Job.Spec, age), Aged: age >= AgedAfter}
	}
	return items
}

// declaredTrust is the exponent on the declared run time. Declarations are off
// by up to 10 times either way, so that the order follows them only in part.
const declaredTrust = 0.6

// score rises with the wait, and falls with the expected work of the job, so
// that short and small jobs come first but no job is passed for ever.
func (p *Planner) score(spec job.Spec, age time.Duration) float64 {
	expected := math.Pow(spec.DeclaredRun.Seconds(), declaredTrust)
	width := float64(max(1, spec.Shape.Accelerators()))
	return (age.Seconds() + spec.DeclaredRun.Seconds()) / (expected * width)
}

// next decides about one opportunistic job under the reservation.
func (s *session) next(w WaitingJob, r *passReservation) decision.Record {
	if r != nil && w.Job.ID == r.job {
		return s.reserved(w, r)
	}
	rec := s.decide(w.Job)
	if r != nil && !r.started && len(rec.Members) > 0 && r.uses(rec.Members) {
		r.Bypassed++
		s.keep(r)
	}
	return rec
}

// reserved decides about the job with the reservation, which may use its
// target.
func (s *session) reserved(w WaitingJob, r *passReservation) decision.Record {
	waits := s.waits
	s.kept, s.waits = nil, make(map[job.Shape]wait)
	s.gangWaits = false // it waits for no other job
	rec := s.decide(w.Job)
	if r.started = len(rec.Members) > 0; !r.started {
		s.gangWaits = true
		s.waits = waits
		s.keep(r)
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
		if !s.p.near(spec.Shape).fits || !s.quota.Allows(spec.Account, spec.Shape.Accelerators()) {
			continue
		}
		if len(w.Target) == 0 {
			if found, _ := s.find(spec.Shape, capacity{of: s.freeOf, onlyFree: true}); found != nil {
				continue
			}
		}
		r := &passReservation{Reservation: w.Reservation, job: w.Job.ID}
		r.Target = s.target(spec.Shape, r.Target)
		if r.Target == nil {
			continue
		}
		r.aged = s.st.Now.Sub(w.Job.Submitted) >= AgedAfter
		s.keep(r)
		return r
	}
	return nil
}

// keep closes the target of a reservation that may not be passed any more to
// other opportunistic jobs.
func (s *session) keep(r *passReservation) {
	if s.kept != nil || !r.isClosed(s.p.cfg.Policy.MaxBypass) {
		return
	}
	s.kept = make([][]bool, len(s.view.Racks()))
	for i, rack := range s.view.Racks() {
		s.kept[i] = make([]bool, len(rack.Workers))
	}
	for _, name := range r.Target {
		if at, ok := s.view.Place(name); ok {
			s.kept[at.Rack][at.Worker] = true
		}
	}
}

// target returns the workers on which a shape is expected to find room first.
func (s *session) target(shape job.Shape, previous []id.Worker) []id.Worker {
	var all, best []scored
	bestCost := math.Inf(1)
	n := int(shape.Workers)
	for i, r := range s.view.Racks() {
		if shape.Locality != job.SameZone {
			all = all[:0]
		}
		for j := range r.Workers {
			if w := &r.Workers[j]; w.Out == fleet.In && shape.PerWorker.Fits(w.Total) {
				cost := s.timeToRoom(w, shape)
				if slices.Contains(previous, w.Name) {
					cost *= keepTarget
				}
				all = append(all, scored{at: fleet.Place{Rack: i, Worker: j}, cost: cost})
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

// timeToRoom estimates in seconds when a worker has room for a member.
func (s *session) timeToRoom(w *fleet.Worker, shape job.Shape) float64 {
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
		ends[i] = end{remaining(h.Gang, s.st.Now), h}
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

// remaining estimates the rest of a gang's run in seconds. A gang that ran
// past its declared time is expected to run half as long again.
func remaining(g *fleet.Gang, now time.Time) float64 {
	ran := now.Sub(g.Started).Seconds()
	return max(g.DeclaredRun.Seconds()-ran, ran/2)
}
