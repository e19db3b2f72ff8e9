package audit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/lib/audit"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/placement"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/replay"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// boundConfig is one configuration with the binding of its guarantees.
type boundConfig struct {
	set     *record.Set
	binding *guarantee.Binding
}

func (b boundConfig) At(id.Revision) (*record.Set, bool) { return b.set, true }
func (b boundConfig) Discarded(id.Revision) bool         { return false }
func (b boundConfig) CopyCounts(_ id.Revision, z id.Zone) map[record.GuaranteeKey]int {
	return b.binding.CopyCounts(z)
}

// Binding is for the replay.
func (b boundConfig) Binding(id.Revision) (*guarantee.Binding, bool) { return b.binding, true }

// simulation runs the real planner on a random workload and records what it does
// the way an owner does.
type simulation struct {
	boundConfig
	rng      *rand.Rand
	now      time.Time
	zone     *fleet.Zone
	planner  *placement.Planner
	waiting  []placement.WaitingJob
	running  map[id.Job]job.Job
	excluded map[id.Worker]bool
	log      []decision.Record
}

func gangShape(rng *rand.Rand, most int) job.Shape {
	s := job.Shape{Workers: unit.Workers(1 + rng.IntN(most)), Locality: []job.Locality{job.SameRack, job.SameZone}[rng.IntN(2)],
		PerWorker: unit.Resources{Accelerators: unit.Accelerators(1 + rng.IntN(8)), Cores: 2 * unit.Core, Memory: 4 * unit.GiB}}
	if s.Workers == 1 && rng.IntN(2) == 0 {
		s.Locality = job.SameWorker
	}
	return s
}

// newSimulation returns nil when the guarantees drawn can't all be held.
func newSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), now: epochStart, running: make(map[id.Job]job.Job), excluded: make(map[id.Worker]bool)}
	s.set = record.NewSet()
	s.set.Policy.MaxBypass = 3
	zone := record.Zone{Name: "bole"}
	for i := range 12 {
		zone.Workers = append(zone.Workers, record.Worker{Name: id.Worker(fmt.Sprintf("w%02d", i)), Rack: id.Rack(fmt.Sprint("r", i/4)),
			Resources: unit.Resources{Accelerators: 8, Cores: 16 * unit.Core, Memory: 64 * unit.GiB}})
	}
	s.set.Zones["bole"] = zone
	for i, name := range []id.Account{"a", "b", "c"} {
		s.set.Accounts[name] = record.Account{Name: name, Weight: 1 + i, Quota: []unit.Accelerators{40, 0, 60}[i]}
		g := record.Guarantee{Account: name, Name: "g", Shape: gangShape(s.rng, 3), Count: 1 + s.rng.IntN(2)}
		s.set.Guarantees[record.GuaranteeKey{Account: name, Name: "g"}] = g
	}
	var err error
	if s.binding, err = guarantee.BindSet(s.set); err != nil {
		return nil
	}
	if s.zone, err = fleet.New(fleet.Config{Zone: zone}); err != nil {
		t.Fatal(err)
	}
	s.planner = placement.New(placement.Config{Zone: zone, Accounts: s.set.Accounts, Binding: s.binding, Policy: s.set.Policy})
	return s
}

func (s *simulation) appendRecord(r decision.Record) {
	r.Zone, r.Epoch, r.Version, r.At = "bole", 1, s.zone.Version(), s.now
	s.log = append(s.log, r)
}

func (s *simulation) submitJob(n int) {
	account := id.Account([]string{"a", "b", "c"}[s.rng.IntN(3)])
	spec := job.Spec{Account: account, Shape: gangShape(s.rng, 4), DeclaredRun: time.Hour, Program: "p"}
	if s.rng.IntN(4) == 0 {
		spec.Claim, spec.Urgent = "g", true
		spec.Shape = s.set.Guarantees[record.GuaranteeKey{Account: account, Name: "g"}].Shape
	}
	s.waiting = append(s.waiting, placement.WaitingJob{Job: job.Job{ID: id.Job(fmt.Sprint("j", n)), Spec: spec, Submitted: s.now}})
}

// runningJobs returns the running jobs in order, so that a seed gives one run.
func (s *simulation) runningJobs() []id.Job {
	var names []id.Job
	for j := range s.running {
		names = append(names, j)
	}
	slices.Sort(names)
	return names
}

func (s *simulation) endGang(j id.Job) {
	s.zone.Release(j)
	delete(s.running, j)
	s.appendRecord(decision.Record{Job: j, Rule: decision.RuleStop, Reason: "ended"})
}

func (s *simulation) toggleWorker() {
	name := s.set.Zones["bole"].Workers[s.rng.IntN(12)].Name
	rule, out := decision.RuleWorkerExcluded, fleet.Lost
	if s.excluded[name] {
		rule, out = decision.RuleWorkerRecovered, fleet.NotExcluded
	}
	s.excluded[name] = !s.excluded[name]
	if err := s.zone.SetExclusion(name, out); err != nil {
		panic(err)
	}
	s.appendRecord(decision.Record{Rule: rule, Members: []job.Member{{Worker: name}}})
}

func (s *simulation) runPass(t *testing.T) {
	t.Helper()
	res := s.planner.Pass(placement.State{View: s.zone.View(), Now: s.now, Epoch: 1}, s.waiting)
	jobs := make(map[id.Job]job.Job)
	for _, queued := range s.waiting {
		jobs[queued.Job.ID] = queued.Job
	}
	var stopped []id.Job
	placed := make(map[id.Job]bool)
	for _, r := range res.Records {
		s.log = append(s.log, r)
		placed[r.Job] = len(r.Members) > 0 || r.Rule == decision.RuleNeverFits
		if len(r.Members) == 0 {
			continue
		}
		for _, v := range r.Victims {
			s.zone.MarkStopping(v.Job)
			stopped = append(stopped, v.Job)
		}
		if err := s.zone.Reserve(fleet.NewGang(r.Job, r.Spec, r.Members, s.now)); err != nil {
			t.Fatal(err)
		}
		s.running[r.Job] = jobs[r.Job]
	}
	var unplaced []placement.WaitingJob
	for _, queued := range s.waiting {
		if !placed[queued.Job.ID] {
			queued.Reservation = res.Reservations[queued.Job.ID]
			unplaced = append(unplaced, queued)
		}
	}
	s.waiting = unplaced
	for _, j := range stopped {
		if restarted, ok := s.running[j]; ok {
			s.endGang(j)
			restarted.Attempt++
			s.waiting = append(s.waiting, placement.WaitingJob{Job: restarted})
		}
	}
}

// simulate makes the records of one seed. Outages is how many of six steps begin
// with a worker that leaves or returns.
func simulate(t *testing.T, seed uint64, steps, outages int) *simulation {
	t.Helper()
	s := newSimulation(t, seed)
	if s == nil {
		return nil
	}
	n := 0
	for range steps {
		s.now = s.now.Add(time.Duration(1+s.rng.IntN(3600)) * time.Second)
		for _, j := range s.runningJobs() {
			if s.rng.IntN(5) == 0 {
				s.endGang(j)
			}
		}
		if s.rng.IntN(6) < outages {
			s.toggleWorker()
		}
		for range s.rng.IntN(4) {
			s.submitJob(n)
			n++
		}
		s.now = s.now.Add(time.Second)
		s.runPass(t)
	}
	return s
}

// TestPlannerHasNoFindings guards against a checker that reports a sound
// planner, and against a planner that breaks a promise.
func TestPlannerHasNoFindings(t *testing.T) {
	for _, outages := range []int{0, 1} {
		t.Run(fmt.Sprint("outages ", outages), func(t *testing.T) { checkSimulations(t, outages) })
	}
}

// TestPlannerFindsCellsInOutages guards against a guaranteed shape that the
// planner gives up during an outage although some cells can hold it. In these
// worlds, no greedy order finds them.
func TestPlannerFindsCellsInOutages(t *testing.T) {
	for _, seed := range []uint64{16, 67, 176} {
		checkNoFindings(t, seed, simulate(t, seed, 60, 1), make(map[audit.Invariant]int))
	}
}

func checkSimulations(t *testing.T, outages int) {
	is := is.New(t)
	checked := make(map[audit.Invariant]int)
	rules := make(map[decision.Rule]int)
	simulations := 0
	for seed := range uint64(120) {
		s := simulate(t, seed, 60, outages)
		if s == nil {
			continue
		}
		simulations++
		for _, r := range s.log {
			rules[r.Rule]++
		}
		checkNoFindings(t, seed, s, checked)
	}
	t.Log(simulations, "worlds", rules, checked)
	is.True(simulations > 50)
	for _, rule := range []decision.Rule{decision.RuleFree, decision.RuleClaim, decision.RulePreempt, decision.RuleBackfill, decision.RuleWait,
		decision.RuleReserved, decision.RuleQuota, decision.RuleStop} {
		is.True(rules[rule] > 20)
	}
	is.True(outages == 0 || rules[decision.RuleWorkerExcluded] > 20)
}

func checkNoFindings(t *testing.T, seed uint64, s *simulation, checked map[audit.Invariant]int) {
	t.Helper()
	report := audit.Check("bole", s, s.log)
	for _, f := range report.Findings {
		t.Fatalf("seed %d: record %d, job %s: %s: %s\n%+v", seed, f.Index, f.Job, f.Invariant, f.Detail, s.log[f.Index])
	}
	for p, n := range report.Checked {
		checked[p] += n
	}
	for _, u := range report.Unchecked {
		checked["not "+u.Invariant] += u.Records
	}
	checked["undecided"] += report.Undecided
	replayer := replay.New("bole", s)
	for _, r := range s.log {
		replayer.Add(r)
	}
	replayed := replayer.Report()
	for _, d := range replayed.Differences {
		t.Fatalf("seed %d: record %d, job %s is decided otherwise: %s\n%v\n%v", seed, d.Index, d.Job, d.Reason, d.Recorded, d.Replayed)
	}
	checked["replayed"] += replayed.Replayed
	for reason, n := range replayed.Skipped {
		checked[audit.Invariant("not replayed: "+reason)] += n
	}
}

// violation changes one record of a sound log, where that breaks a promise. It
// reports whether it could.
type violation struct {
	name string
	want audit.Invariant
	edit func(s *simulation, log []decision.Record, i int) bool
}

func isOpportunisticPlacement(r decision.Record) bool {
	return len(r.Members) > 0 && r.Spec.Claim == "" && r.Rule != decision.RuleWorkerExcluded && r.Rule != decision.RuleWorkerRecovered
}

var violations = []violation{
	{"a member is left out", audit.WholeGang, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if r.Spec.Shape.Workers < 2 || len(r.Members) < 2 {
			return false
		}
		r.Members = r.Members[1:]
		return true
	}},
	{"a member gets less", audit.WholeGang, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if !isOpportunisticPlacement(*r) {
			return false
		}
		r.Members = slices.Clone(r.Members)
		r.Members[0].Resources.Accelerators--
		return true
	}},
	{"a gang leaves its rack", audit.WholeGang, func(s *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if r.Spec.Shape.Locality != job.SameRack || len(r.Members) < 2 {
			return false
		}
		r.Members = slices.Clone(r.Members)
		at := slices.IndexFunc(s.set.Zones["bole"].Workers, func(d record.Worker) bool { return d.Name == r.Members[0].Worker })
		r.Members[0].Worker = s.set.Zones["bole"].Workers[(at+4)%12].Name
		return true
	}},
	{"a worker is used twice", audit.WholeGang, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if len(r.Members) < 2 {
			return false
		}
		r.Members = slices.Clone(r.Members)
		r.Members[0] = r.Members[1]
		return true
	}},
	{"accelerators are counted as free", audit.Capacity, func(s *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if !isOpportunisticPlacement(*r) || r.Spec.Shape.Workers != 1 {
			return false
		}
		used := allocatedResources(log[:i])
		for _, d := range s.set.Zones["bole"].Workers {
			if !r.Members[0].Resources.Fits(d.Resources.Minus(used[d.Name])) {
				r.Members = []job.Member{{Worker: d.Name, Resources: r.Members[0].Resources}}
				return true
			}
		}
		return false
	}},
	{"a lost worker is used", audit.InPlacement, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if !isOpportunisticPlacement(*r) {
			return false
		}
		out := make(map[id.Worker]bool)
		for _, before := range log[:i] {
			if before.Rule == decision.RuleWorkerExcluded || before.Rule == decision.RuleWorkerRecovered {
				out[before.Members[0].Worker] = before.Rule == decision.RuleWorkerExcluded
			}
		}
		for name, is := range out {
			if is {
				r.Members = slices.Clone(r.Members)
				r.Members[0].Worker = name
				return true
			}
		}
		return false
	}},
	{"a claim waits", audit.ClaimStarts, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if r.Spec.Claim == "" || len(r.Members) == 0 || slices.ContainsFunc(log[:i], func(b decision.Record) bool { return b.Rule == decision.RuleWorkerExcluded }) {
			return false
		}
		r.Rule, r.Members, r.Victims = decision.RuleWait, nil, nil
		return true
	}},
	{"a claim is refused for good", audit.NeverFits, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if r.Spec.Claim == "" || len(r.Members) == 0 {
			return false
		}
		r.Rule, r.Members, r.Victims = decision.RuleNeverFits, nil, nil
		return true
	}},
	{"a job that fits is refused for good", audit.NeverFits, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if !isOpportunisticPlacement(*r) {
			return false
		}
		r.Rule, r.Members = decision.RuleNeverFits, nil
		return true
	}},
	{"a job waits though there is room", audit.NoNeedlessWait, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if !isOpportunisticPlacement(*r) {
			return false
		}
		r.Rule, r.Members = decision.RuleWait, nil
		return true
	}},
	{"a job waits for quota that it has", audit.NoNeedlessWait, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if !isOpportunisticPlacement(*r) {
			return false
		}
		r.Rule, r.Members = decision.RuleQuota, nil
		return true
	}},
	{"a quota is passed", audit.Quota, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if r.Rule != decision.RuleQuota {
			return false
		}
		r.Rule = decision.RuleFree
		for n := range r.Spec.Shape.Workers {
			r.Members = append(r.Members, job.Member{Worker: id.Worker(fmt.Sprintf("w%02d", n)), Resources: r.Spec.Shape.PerWorker})
		}
		return true
	}},
	{"a claim is stopped", audit.Victims, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if r.Spec.Claim == "" || len(r.Members) == 0 {
			return false
		}
		for _, before := range slices.Backward(log[:i]) {
			if before.Rule == decision.RuleStop {
				return false
			}
			if before.Spec.Claim != "" && len(before.Members) > 0 {
				r.Victims = []decision.Victim{{Job: before.Job, Members: before.Members}}
				return true
			}
		}
		return false
	}},
	{"part of a gang is stopped", audit.Victims, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if len(r.Victims) == 0 || len(r.Victims[0].Members) < 2 {
			return false
		}
		r.Victims = slices.Clone(r.Victims)
		r.Victims[0].Members = r.Victims[0].Members[1:]
		return true
	}},
	{"a victim is not named", audit.Capacity, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		r.Victims = nil
		used := allocatedResources(log[:i])
		return slices.ContainsFunc(r.Members, func(m job.Member) bool {
			return r.Spec.Claim != "" && used[m.Worker].Accelerators+m.Resources.Accelerators > 8
		})
	}},
	{"a gang is stopped for an opportunistic job", audit.Victims, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if len(r.Victims) == 0 {
			return false
		}
		r.Spec.Claim = ""
		return true
	}},
	{"an urgent claim waits too long", audit.Urgent, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		waited := slices.ContainsFunc(log[:i], func(b decision.Record) bool { return b.Job == r.Job })
		if !r.Spec.Urgent || len(r.Members) == 0 || waited {
			return false
		}
		r.Submitted = r.At.Add(-4 * time.Second)
		return true
	}},
	{"a claim of a shape that is used up", audit.ClaimCovered, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if r.Rule != decision.RuleWait || r.Spec.Claim == "" || !strings.HasPrefix(r.Reason, "all ") {
			return false
		}
		r.Rule = decision.RuleClaim
		for n := range r.Spec.Shape.Workers {
			r.Members = append(r.Members, job.Member{Worker: id.Worker(fmt.Sprintf("w%02d", n)), Resources: r.Spec.Shape.PerWorker})
		}
		return true
	}},
	{"a reservation is passed once too often", audit.Bypass, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if r.Rule != decision.RuleReserved || i == 0 {
			return false
		}
		for _, before := range slices.Backward(log[:i]) {
			if len(before.Target) > 0 && before.Bypassed >= 3 && before.At.Equal(r.At) {
				r.Rule = decision.RuleBackfill
				r.Members = []job.Member{{Worker: before.Target[0], Resources: r.Spec.Shape.PerWorker}}
				return true
			}
		}
		return false
	}},
	{"the count of bypasses is set back", audit.Bypass, func(_ *simulation, log []decision.Record, i int) bool {
		r := &log[i]
		if r.Bypassed == 0 || len(r.Target) == 0 {
			return false
		}
		r.Bypassed--
		return true
	}},
	{"an old owner decides", audit.Order, func(_ *simulation, log []decision.Record, i int) bool {
		log[i].Epoch = 0
		return i > 0
	}},
}

// allocatedResources returns what gangs hold on each worker after some records.
func allocatedResources(log []decision.Record) map[id.Worker]unit.Resources {
	gangs := make(map[id.Job][]job.Member)
	for _, r := range log {
		switch {
		case r.Rule == decision.RuleStop:
			delete(gangs, r.Job)
		case r.Job != "" && len(r.Members) > 0:
			for _, v := range r.Victims {
				delete(gangs, v.Job)
			}
			gangs[r.Job] = r.Members
		}
	}
	used := make(map[id.Worker]unit.Resources)
	for _, members := range gangs {
		for _, m := range members {
			used[m.Worker] = used[m.Worker].Plus(m.Resources)
		}
	}
	return used
}

// TestCheckerFindsInjectedViolations guards against a checker that misses a broken
// promise: each break of each record that allows it must be found there.
func TestCheckerFindsInjectedViolations(t *testing.T) {
	var simulations []*simulation
	for seed := range uint64(10) {
		if s := simulate(t, seed, 30, 1); s != nil {
			simulations = append(simulations, s)
		}
	}
	for _, b := range violations {
		t.Run(b.name, func(t *testing.T) {
			injected, found := 0, 0
			for _, s := range simulations {
				injectedHere := 0
				for i := range s.log {
					log := slices.Clone(s.log)
					if injectedHere > 2 || !b.edit(s, log, i) {
						continue
					}
					injectedHere++
					injected++
					report := audit.Check("bole", s, log[:i+1])
					if slices.ContainsFunc(report.Findings, func(f audit.Finding) bool { return f.Invariant == b.want && f.Index == i }) {
						found++
						continue
					}
					t.Errorf("not found at record %d: %+v\n%+v", i, log[i], report.Findings)
					return
				}
			}
			if injected < 3 {
				t.Errorf("only %d records could be broken", injected)
			}
		})
	}
}
