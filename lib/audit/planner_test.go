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

// bound is one configuration with the binding of its guarantees.
type bound struct {
	set     *record.Set
	binding *guarantee.Binding
}

func (b bound) At(id.Revision) (*record.Set, bool) { return b.set, true }
func (b bound) Discarded(id.Revision) bool         { return false }
func (b bound) CopyCounts(_ id.Revision, z id.Zone) map[record.GuaranteeKey]int {
	return b.binding.CopyCounts(z)
}

// Binding is for the replay.
func (b bound) Binding(id.Revision) (*guarantee.Binding, bool) { return b.binding, true }

// world runs the real planner on a random workload and records what it does
// the way an owner does.
type world struct {
	bound
	rng     *rand.Rand
	now     time.Time
	zone    *fleet.Zone
	planner *placement.Planner
	waiting []placement.WaitingJob
	running map[id.Job]job.Job
	out     map[id.Worker]bool
	log     []decision.Record
}

func gangShape(rng *rand.Rand, most int) job.Shape {
	s := job.Shape{Workers: unit.Workers(1 + rng.IntN(most)), Locality: []job.Locality{job.SameRack, job.SameZone}[rng.IntN(2)],
		PerWorker: unit.Resources{Accelerators: unit.Accelerators(1 + rng.IntN(8)), Cores: 2 * unit.Core, Memory: 4 * unit.GiB}}
	if s.Workers == 1 && rng.IntN(2) == 0 {
		s.Locality = job.SameWorker
	}
	return s
}

// newWorld returns nil when the guarantees drawn can't all be held.
func newWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), now: epochStart, running: make(map[id.Job]job.Job), out: make(map[id.Worker]bool)}
	w.set = record.NewSet()
	w.set.Policy.MaxBypass = 3
	zone := record.Zone{Name: "bole"}
	for i := range 12 {
		zone.Workers = append(zone.Workers, record.Worker{Name: id.Worker(fmt.Sprintf("w%02d", i)), Rack: id.Rack(fmt.Sprint("r", i/4)),
			Resources: unit.Resources{Accelerators: 8, Cores: 16 * unit.Core, Memory: 64 * unit.GiB}})
	}
	w.set.Zones["bole"] = zone
	for i, name := range []id.Account{"a", "b", "c"} {
		w.set.Accounts[name] = record.Account{Name: name, Weight: 1 + i, Quota: []unit.Accelerators{40, 0, 60}[i]}
		g := record.Guarantee{Account: name, Name: "g", Shape: gangShape(w.rng, 3), Count: 1 + w.rng.IntN(2)}
		w.set.Guarantees[record.GuaranteeKey{Account: name, Name: "g"}] = g
	}
	var err error
	if w.binding, err = guarantee.BindSet(w.set); err != nil {
		return nil
	}
	if w.zone, err = fleet.New(fleet.Config{Zone: zone}); err != nil {
		t.Fatal(err)
	}
	w.planner = placement.New(placement.Config{Zone: zone, Accounts: w.set.Accounts, Binding: w.binding, Policy: w.set.Policy})
	return w
}

func (w *world) record(r decision.Record) {
	r.Zone, r.Epoch, r.Version, r.At = "bole", 1, w.zone.Version(), w.now
	w.log = append(w.log, r)
}

func (w *world) arrive(n int) {
	account := id.Account([]string{"a", "b", "c"}[w.rng.IntN(3)])
	spec := job.Spec{Account: account, Shape: gangShape(w.rng, 4), DeclaredRun: time.Hour, Program: "p"}
	if w.rng.IntN(4) == 0 {
		spec.Claim, spec.Urgent = "g", true
		spec.Shape = w.set.Guarantees[record.GuaranteeKey{Account: account, Name: "g"}].Shape
	}
	w.waiting = append(w.waiting, placement.WaitingJob{Job: job.Job{ID: id.Job(fmt.Sprint("j", n)), Spec: spec, Submitted: w.now}})
}

// names returns the running jobs in order, so that a seed gives one run.
func (w *world) names() []id.Job {
	var names []id.Job
	for j := range w.running {
		names = append(names, j)
	}
	slices.Sort(names)
	return names
}

func (w *world) end(j id.Job) {
	w.zone.Release(j)
	delete(w.running, j)
	w.record(decision.Record{Job: j, Rule: decision.RuleStop, Reason: "ended"})
}

func (w *world) toggle() {
	name := w.set.Zones["bole"].Workers[w.rng.IntN(12)].Name
	rule, out := decision.RuleWorkerExcluded, fleet.Lost
	if w.out[name] {
		rule, out = decision.RuleWorkerRecovered, fleet.NotExcluded
	}
	w.out[name] = !w.out[name]
	if err := w.zone.SetExclusion(name, out); err != nil {
		panic(err)
	}
	w.record(decision.Record{Rule: rule, Members: []job.Member{{Worker: name}}})
}

func (w *world) pass(t *testing.T) {
	t.Helper()
	res := w.planner.Pass(placement.State{View: w.zone.View(), Now: w.now, Epoch: 1}, w.waiting)
	jobs := make(map[id.Job]job.Job)
	for _, one := range w.waiting {
		jobs[one.Job.ID] = one.Job
	}
	var stopped []id.Job
	placed := make(map[id.Job]bool)
	for _, r := range res.Records {
		w.log = append(w.log, r)
		placed[r.Job] = len(r.Members) > 0 || r.Rule == decision.RuleNeverFits
		if len(r.Members) == 0 {
			continue
		}
		for _, v := range r.Victims {
			w.zone.MarkStopping(v.Job)
			stopped = append(stopped, v.Job)
		}
		if err := w.zone.Reserve(fleet.NewGang(r.Job, r.Spec, r.Members, w.now)); err != nil {
			t.Fatal(err)
		}
		w.running[r.Job] = jobs[r.Job]
	}
	var left []placement.WaitingJob
	for _, one := range w.waiting {
		if !placed[one.Job.ID] {
			one.Reservation = res.Reservations[one.Job.ID]
			left = append(left, one)
		}
	}
	w.waiting = left
	for _, j := range stopped {
		if again, ok := w.running[j]; ok {
			w.end(j)
			again.Attempt++
			w.waiting = append(w.waiting, placement.WaitingJob{Job: again})
		}
	}
}

// run makes the records of one seed. Outages is how many of six steps begin
// with a worker that leaves or returns.
func run(t *testing.T, seed uint64, steps, outages int) *world {
	t.Helper()
	w := newWorld(t, seed)
	if w == nil {
		return nil
	}
	n := 0
	for range steps {
		w.now = w.now.Add(time.Duration(1+w.rng.IntN(3600)) * time.Second)
		for _, j := range w.names() {
			if w.rng.IntN(5) == 0 {
				w.end(j)
			}
		}
		if w.rng.IntN(6) < outages {
			w.toggle()
		}
		for range w.rng.IntN(4) {
			w.arrive(n)
			n++
		}
		w.now = w.now.Add(time.Second)
		w.pass(t)
	}
	return w
}

// TestRealPlannerHasNoFinding guards against a checker that reports a sound
// planner, and against a planner that breaks a promise.
func TestRealPlannerHasNoFinding(t *testing.T) {
	for _, outages := range []int{0, 1} {
		t.Run(fmt.Sprint("outages ", outages), func(t *testing.T) { checkWorlds(t, outages) })
	}
}

// TestPlannerFindsCellsInOutages guards against a guaranteed shape that the
// planner gives up during an outage although some cells can hold it. In these
// worlds, no greedy order finds them.
func TestPlannerFindsCellsInOutages(t *testing.T) {
	for _, seed := range []uint64{16, 67, 176} {
		noFinding(t, seed, run(t, seed, 60, 1), make(map[audit.Invariant]int))
	}
}

func checkWorlds(t *testing.T, outages int) {
	is := is.New(t)
	checked := make(map[audit.Invariant]int)
	rules := make(map[decision.Rule]int)
	worlds := 0
	for seed := range uint64(120) {
		w := run(t, seed, 60, outages)
		if w == nil {
			continue
		}
		worlds++
		for _, r := range w.log {
			rules[r.Rule]++
		}
		noFinding(t, seed, w, checked)
	}
	t.Log(worlds, "worlds", rules, checked)
	is.True(worlds > 50)
	for _, rule := range []decision.Rule{decision.RuleFree, decision.RuleClaim, decision.RulePreempt, decision.RuleBackfill, decision.RuleWait,
		decision.RuleReserved, decision.RuleQuota, decision.RuleStop} {
		is.True(rules[rule] > 20)
	}
	is.True(outages == 0 || rules[decision.RuleWorkerExcluded] > 20)
}

func noFinding(t *testing.T, seed uint64, w *world, checked map[audit.Invariant]int) {
	t.Helper()
	report := audit.Check("bole", w, w.log)
	for _, f := range report.Findings {
		t.Fatalf("seed %d: record %d, job %s: %s: %s\n%+v", seed, f.Index, f.Job, f.Invariant, f.Detail, w.log[f.Index])
	}
	for p, n := range report.Checked {
		checked[p] += n
	}
	for _, u := range report.Unchecked {
		checked["not "+u.Invariant] += u.Records
	}
	checked["undecided"] += report.Undecided
	player := replay.New("bole", w)
	for _, r := range w.log {
		player.Add(r)
	}
	again := player.Report()
	for _, d := range again.Differences {
		t.Fatalf("seed %d: record %d, job %s is decided otherwise: %s\n%v\n%v", seed, d.Index, d.Job, d.Reason, d.Recorded, d.Replayed)
	}
	checked["replayed"] += again.Replayed
	for reason, n := range again.Skipped {
		checked[audit.Invariant("not replayed: "+reason)] += n
	}
}

// breakage changes one record of a sound log, where that breaks a promise. It
// reports whether it could.
type breakage struct {
	name string
	want audit.Invariant
	edit func(w *world, log []decision.Record, i int) bool
}

func opportunistic(r decision.Record) bool {
	return len(r.Members) > 0 && r.Spec.Claim == "" && r.Rule != decision.RuleWorkerExcluded && r.Rule != decision.RuleWorkerRecovered
}

var breakages = []breakage{
	{"a member is left out", audit.WholeGang, func(_ *world, log []decision.Record, i int) bool {
		r := &log[i]
		if r.Spec.Shape.Workers < 2 || len(r.Members) < 2 {
			return false
		}
		r.Members = r.Members[1:]
		return true
	}},
	{"a member gets less", audit.WholeGang, func(_ *world, log []decision.Record, i int) bool {
		r := &log[i]
		if !opportunistic(*r) {
			return false
		}
		r.Members = slices.Clone(r.Members)
		r.Members[0].Resources.Accelerators--
		return true
	}},
	{"a gang leaves its rack", audit.WholeGang, func(w *world, log []decision.Record, i int) bool {
		r := &log[i]
		if r.Spec.Shape.Locality != job.SameRack || len(r.Members) < 2 {
			return false
		}
		r.Members = slices.Clone(r.Members)
		at := slices.IndexFunc(w.set.Zones["bole"].Workers, func(d record.Worker) bool { return d.Name == r.Members[0].Worker })
		r.Members[0].Worker = w.set.Zones["bole"].Workers[(at+4)%12].Name
		return true
	}},
	{"a worker is used twice", audit.WholeGang, func(_ *world, log []decision.Record, i int) bool {
		r := &log[i]
		if len(r.Members) < 2 {
			return false
		}
		r.Members = slices.Clone(r.Members)
		r.Members[0] = r.Members[1]
		return true
	}},
	{"accelerators are counted as free", audit.Capacity, func(w *world, log []decision.Record, i int) bool {
		r := &log[i]
		if !opportunistic(*r) || r.Spec.Shape.Workers != 1 {
			return false
		}
		used := heldBefore(log[:i])
		for _, d := range w.set.Zones["bole"].Workers {
			if !r.Members[0].Resources.Fits(d.Resources.Minus(used[d.Name])) {
				r.Members = []job.Member{{Worker: d.Name, Resources: r.Members[0].Resources}}
				return true
			}
		}
		return false
	}},
	{"a lost worker is used", audit.InPlacement, func(_ *world, log []decision.Record, i int) bool {
		r := &log[i]
		if !opportunistic(*r) {
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
	{"a claim waits", audit.ClaimStarts, func(_ *world, log []decision.Record, i int) bool {
		r := &log[i]
		if r.Spec.Claim == "" || len(r.Members) == 0 || slices.ContainsFunc(log[:i], func(b decision.Record) bool { return b.Rule == decision.RuleWorkerExcluded }) {
			return false
		}
		r.Rule, r.Members, r.Victims = decision.RuleWait, nil, nil
		return true
	}},
	{"a claim is refused for good", audit.NeverFits, func(_ *world, log []decision.Record, i int) bool {
		r := &log[i]
		if r.Spec.Claim == "" || len(r.Members) == 0 {
			return false
		}
		r.Rule, r.Members, r.Victims = decision.RuleNeverFits, nil, nil
		return true
	}},
	{"a job that fits is refused for good", audit.NeverFits, func(_ *world, log []decision.Record, i int) bool {
		r := &log[i]
		if !opportunistic(*r) {
			return false
		}
		r.Rule, r.Members = decision.RuleNeverFits, nil
		return true
	}},
	{"a job waits though there is room", audit.NoNeedlessWait, func(_ *world, log []decision.Record, i int) bool {
		r := &log[i]
		if !opportunistic(*r) {
			return false
		}
		r.Rule, r.Members = decision.RuleWait, nil
		return true
	}},
	{"a job waits for quota that it has", audit.NoNeedlessWait, func(_ *world, log []decision.Record, i int) bool {
		r := &log[i]
		if !opportunistic(*r) {
			return false
		}
		r.Rule, r.Members = decision.RuleQuota, nil
		return true
	}},
	{"a quota is passed", audit.Quota, func(_ *world, log []decision.Record, i int) bool {
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
	{"a claim is stopped", audit.Victims, func(_ *world, log []decision.Record, i int) bool {
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
	{"part of a gang is stopped", audit.Victims, func(_ *world, log []decision.Record, i int) bool {
		r := &log[i]
		if len(r.Victims) == 0 || len(r.Victims[0].Members) < 2 {
			return false
		}
		r.Victims = slices.Clone(r.Victims)
		r.Victims[0].Members = r.Victims[0].Members[1:]
		return true
	}},
	{"a victim is not named", audit.Capacity, func(_ *world, log []decision.Record, i int) bool {
		r := &log[i]
		r.Victims = nil
		used := heldBefore(log[:i])
		return slices.ContainsFunc(r.Members, func(m job.Member) bool {
			return r.Spec.Claim != "" && used[m.Worker].Accelerators+m.Resources.Accelerators > 8
		})
	}},
	{"a gang is stopped for an opportunistic job", audit.Victims, func(_ *world, log []decision.Record, i int) bool {
		r := &log[i]
		if len(r.Victims) == 0 {
			return false
		}
		r.Spec.Claim = ""
		return true
	}},
	{"an urgent claim waits too long", audit.Urgent, func(_ *world, log []decision.Record, i int) bool {
		r := &log[i]
		waited := slices.ContainsFunc(log[:i], func(b decision.Record) bool { return b.Job == r.Job })
		if !r.Spec.Urgent || len(r.Members) == 0 || waited {
			return false
		}
		r.Submitted = r.At.Add(-4 * time.Second)
		return true
	}},
	{"a claim of a shape that is used up", audit.ClaimCovered, func(_ *world, log []decision.Record, i int) bool {
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
	{"a reservation is passed once too often", audit.Bypass, func(_ *world, log []decision.Record, i int) bool {
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
	{"the count of bypasses is set back", audit.Bypass, func(_ *world, log []decision.Record, i int) bool {
		r := &log[i]
		if r.Bypassed == 0 || len(r.Target) == 0 {
			return false
		}
		r.Bypassed--
		return true
	}},
	{"an old owner decides", audit.Order, func(_ *world, log []decision.Record, i int) bool {
		log[i].Epoch = 0
		return i > 0
	}},
}

// heldBefore returns what gangs hold on each worker after some records.
func heldBefore(log []decision.Record) map[id.Worker]unit.Resources {
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

// TestBrokenPlannerIsFound guards against a checker that misses a broken
// promise: each break of each record that allows it must be found there.
func TestBrokenPlannerIsFound(t *testing.T) {
	var worlds []*world
	for seed := range uint64(10) {
		if w := run(t, seed, 30, 1); w != nil {
			worlds = append(worlds, w)
		}
	}
	for _, b := range breakages {
		t.Run(b.name, func(t *testing.T) {
			broken, found := 0, 0
			for _, w := range worlds {
				tried := 0
				for i := range w.log {
					log := slices.Clone(w.log)
					if tried > 2 || !b.edit(w, log, i) {
						continue
					}
					tried++
					broken++
					report := audit.Check("bole", w, log[:i+1])
					if slices.ContainsFunc(report.Findings, func(f audit.Finding) bool { return f.Invariant == b.want && f.Index == i }) {
						found++
						continue
					}
					t.Errorf("not found at record %d: %+v\n%+v", i, log[i], report.Findings)
					return
				}
			}
			if broken < 3 {
				t.Errorf("only %d records could be broken", broken)
			}
		})
	}
}
