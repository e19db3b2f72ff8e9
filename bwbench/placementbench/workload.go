// Package placementbench simulates the placement policy and two baseline
// schedulers on seeded traces of job arrivals, completions, cancellations and
// worker failures, and measures completion time, fragmentation and the cost of
// guarantees. It simulates neither workers nor networks: a placed job runs for
// its run time.
package placementbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// start is the time at which a simulation starts. Its value is arbitrary.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// class is a class of jobs with similar shapes and run times.
type class struct {
	weight       float64 // share of the jobs
	workers      [2]int  // minimum and maximum
	accelerators [2]int  // minimum and maximum per worker
	locality     job.Locality
	meanRun      time.Duration // before run times are scaled to the load
	burst        int           // maximum number of jobs that arrive together
}

// deployment is a fleet with its accounts, guarantees and job classes.
type deployment struct {
	name       string
	zones      []record.Zone
	accounts   map[id.Account]record.Account
	guarantees []record.Guarantee
	policy     record.Policy
	classes    []class
	jobsPerDay int
	days       int
	claimShare float64
	// failuresPerDay is the number of workers that fail in a day.
	failuresPerDay float64
}

const (
	sameWorker = job.SameWorker
	sameRack   = job.SameRack
	sameZone   = job.SameZone
)

// deployments returns the deployments that the design page describes: the two
// current ones and the size that is expected in two years.
func deployments() []deployment {
	return []deployment{cooperative(), authority(), twoYears()}
}

func cooperative() deployment {
	d := small("cooperative", []string{"entoto", "bole", "sululta", "akaki"}, 32, 128)
	d.policy.FragmentationWeight, d.policy.CompletionWeight = 2, 1
	d.classes = []class{
		{0.55, [2]int{1, 1}, [2]int{1, 2}, sameWorker, 30 * time.Minute, 8},
		{0.25, [2]int{1, 1}, [2]int{4, 8}, sameWorker, 2 * time.Hour, 1},
		{0.14, [2]int{2, 3}, [2]int{4, 8}, sameRack, 3 * time.Hour, 1},
		{0.06, [2]int{4, 6}, [2]int{8, 8}, sameRack, 4 * time.Hour, 2},
	}
	return d
}

func authority() deployment {
	d := small("authority", []string{"mobile-yard", "baton-yard", "jackson-yard", "pensacola-yard"}, 128, 512)
	d.policy.FragmentationWeight, d.policy.CompletionWeight = 1, 2
	d.classes = []class{
		{0.70, [2]int{1, 1}, [2]int{1, 4}, sameWorker, 20 * time.Minute, 12},
		{0.20, [2]int{1, 1}, [2]int{4, 8}, sameWorker, 2 * time.Hour, 1},
		{0.07, [2]int{2, 4}, [2]int{4, 8}, sameRack, 3 * time.Hour, 1},
		{0.03, [2]int{4, 8}, [2]int{8, 8}, sameZone, 4 * time.Hour, 1},
	}
	return d
}

// small returns a deployment of 48 workers, in 4 zones of two racks of 6 workers,
// with 4 accounts.
func small(name string, zones []string, cores, memory int) deployment {
	d := deployment{name: name, accounts: make(map[id.Account]record.Account), policy: record.DefaultPolicy,
		jobsPerDay: 400, days: 7, claimShare: 0.12, failuresPerDay: 0.4}
	d.policy.GuardRackLoss = true
	r := unit.Resources{Accelerators: 8, Cores: unit.Core * unit.Millicores(cores), Memory: unit.GiB * unit.Bytes(memory)}
	for _, z := range zones {
		zone := record.Zone{Name: id.Zone(z)}
		for i := range 12 {
			zone.Workers = append(zone.Workers, worker(z, i/6, i%6, r))
		}
		d.zones = append(d.zones, zone)
	}
	for i := range 4 {
		a := id.Account(fmt.Sprintf("account-%d", i))
		d.accounts[a] = record.Account{Name: a, Weight: 1 + i%2}
		d.guarantees = append(d.guarantees,
			guaranteed(a, "wide", 2, 8, sameRack, 1), guaranteed(a, "narrow", 1, 4, sameWorker, 3))
	}
	return d
}

// twoYears returns a deployment of 960 workers with 1,800 accelerators in 6
// zones, 42 accounts with quotas, 1,500 jobs a day and gangs of up to 64 members.
func twoYears() deployment {
	d := deployment{name: "two-years", accounts: make(map[id.Account]record.Account), policy: record.DefaultPolicy,
		jobsPerDay: 1500, days: 5, claimShare: 0.10, failuresPerDay: 7}
	d.policy.GuardRackLoss = true
	for z := range 6 {
		name := fmt.Sprintf("zone-%d", z)
		zone := record.Zone{Name: id.Zone(name)}
		for i := range 160 { // 60 workers with 4 accelerators, 60 with 1 and 40 with none: 300 accelerators
			acc := [8]unit.Accelerators{4, 4, 4, 1, 1, 1, 0, 0}[i%8]
			zone.Workers = append(zone.Workers, worker(name, i/8, i%8,
				unit.Resources{Accelerators: acc, Cores: 64 * unit.Core, Memory: 256 * unit.GiB}))
		}
		d.zones = append(d.zones, zone)
	}
	for i := range 42 {
		a := id.Account(fmt.Sprintf("team-%02d", i))
		d.accounts[a] = record.Account{Name: a, Weight: 1 + i%3, Quota: 360}
		if i%2 == 0 {
			d.guarantees = append(d.guarantees, guaranteed(a, "wide", 2, 4, sameRack, 1))
		} else {
			d.guarantees = append(d.guarantees, guaranteed(a, "narrow", 1, 4, sameWorker, 1))
		}
	}
	d.classes = []class{
		{0.50, [2]int{1, 1}, [2]int{1, 2}, sameWorker, 2 * time.Hour, 10},
		{0.25, [2]int{1, 1}, [2]int{3, 4}, sameWorker, 4 * time.Hour, 1},
		{0.15, [2]int{2, 3}, [2]int{2, 4}, sameRack, 5 * time.Hour, 1},
		{0.08, [2]int{4, 24}, [2]int{1, 4}, sameZone, 6 * time.Hour, 1},
		{0.02, [2]int{32, 64}, [2]int{1, 1}, sameZone, 6 * time.Hour, 1},
	}
	return d
}

func worker(zone string, rack, n int, r unit.Resources) record.Worker {
	return record.Worker{Name: id.Worker(fmt.Sprintf("%s-%02d-%d", zone, rack, n)),
		Rack: id.Rack(fmt.Sprintf("%s-%02d", zone, rack)), Resources: r}
}

func guaranteed(a id.Account, name id.Shape, workers, acc int, l job.Locality, count int) record.Guarantee {
	return record.Guarantee{Account: a, Name: name, Shape: shapeOf(workers, acc, l), Count: count}
}

// shapeOf returns a shape with 3 cores and 12 GiB for each accelerator, so that
// accelerators are the first resource of a worker to be exhausted.
func shapeOf(workers, acc int, l job.Locality) job.Shape {
	n := max(acc, 1)
	return job.Shape{Workers: unit.Workers(workers), Locality: l, PerWorker: unit.Resources{Accelerators: unit.Accelerators(acc),
		Cores: 3 * unit.Core * unit.Millicores(n), Memory: 12 * unit.GiB * unit.Bytes(n)}}
}

// tracedJob is a job with its run time and its end, which the scheduler does not
// know.
type tracedJob struct {
	job.Job
	run      time.Duration
	fails    bool          // the job fails after run
	cancelAt time.Duration // after submission; zero if the job is not cancelled
}

// fault is a temporary failure of a worker.
type fault struct {
	zone     int
	worker   id.Worker
	at       time.Time
	duration time.Duration
}

// trace is the input of a run. All policies run on the same trace.
type trace struct {
	deployment deployment
	load       float64
	seed       uint64
	copyZones  map[record.GuaranteeKey][]id.Zone // zones of the bound copies
	jobs       []tracedJob
	faults     []fault
	longestRun time.Duration
}

// horizon returns the duration in which jobs arrive.
func (t *trace) horizon() time.Duration { return time.Duration(t.deployment.days) * 24 * time.Hour }

func (t *trace) generate() {
	random := rand.New(rand.NewPCG(t.seed, uint64(t.load*1000)))
	count := t.deployment.jobsPerDay * t.deployment.days
	for len(t.jobs) < count {
		c := t.pickClass(random)
		at := start.Add(time.Duration(random.Float64() * float64(t.horizon())))
		for range 1 + random.IntN(c.burst) {
			t.jobs = append(t.jobs, t.newJob(random, c, at))
		}
	}
	slices.SortStableFunc(t.jobs, func(a, b tracedJob) int { return a.Submitted.Compare(b.Submitted) })
	t.scaleRunTimes()
	for i := range t.jobs {
		t.completeJob(random, i)
		t.longestRun = max(t.longestRun, t.jobs[i].run)
	}
	for range int(t.deployment.failuresPerDay*float64(t.deployment.days) + random.Float64()) {
		z := random.IntN(len(t.deployment.zones))
		workers := t.deployment.zones[z].Workers
		t.faults = append(t.faults, fault{z, workers[random.IntN(len(workers))].Name,
			start.Add(time.Duration(random.Float64() * float64(t.horizon()))), time.Duration(1+random.IntN(120)) * time.Minute})
	}
}

func (t *trace) pickClass(random *rand.Rand) class {
	x := random.Float64()
	for _, c := range t.deployment.classes {
		if x -= c.weight; x < 0 {
			return c
		}
	}
	return t.deployment.classes[0]
}

func (t *trace) newJob(random *rand.Rand, c class, at time.Time) tracedJob {
	d := &t.deployment
	between := func(r [2]int) int { return r[0] + random.IntN(r[1]-r[0]+1) }
	spec := job.Spec{Account: account(d, random), Program: "bench", Shape: shapeOf(between(c.workers), between(c.accelerators), c.locality)}
	spec.Zone = d.zones[random.IntN(len(d.zones))].Name
	if g := d.guarantees[random.IntN(len(d.guarantees))]; random.Float64() < d.claimShare {
		zones := t.copyZones[record.GuaranteeKey{Account: g.Account, Name: g.Name}]
		spec.Account, spec.Claim, spec.Urgent, spec.Shape = g.Account, g.Name, true, g.Shape
		spec.Zone = zones[random.IntN(len(zones))]
	}
	// Run times are log-normal with sigma 1: the longest of a thousand runs takes
	// about 13 times the mean.
	run := float64(c.meanRun) * math.Exp(random.NormFloat64()-0.5)
	return tracedJob{Job: job.Job{Spec: spec, Submitted: at}, run: time.Duration(run)}
}

// account returns a random account. The first quarter of the accounts submits
// more than half of the jobs.
func account(d *deployment, random *rand.Rand) id.Account {
	names := make([]id.Account, 0, len(d.accounts))
	for a := range d.accounts {
		names = append(names, a)
	}
	slices.Sort(names)
	if random.IntN(2) == 0 {
		return names[random.IntN(max(1, len(names)/4))]
	}
	return names[random.IntN(len(names))]
}

// scaleRunTimes scales the run times so that the submitted work is load times the
// capacity of the fleet within the horizon.
func (t *trace) scaleRunTimes() {
	var capacity, work float64
	for _, z := range t.deployment.zones {
		for _, w := range z.Workers {
			capacity += float64(w.Resources.Accelerators) * t.horizon().Seconds()
		}
	}
	for _, j := range t.jobs {
		work += j.run.Seconds() * float64(j.Spec.Shape.Accelerators())
	}
	factor := t.load * capacity / work
	for i := range t.jobs {
		t.jobs[i].run = max(time.Second, time.Duration(float64(t.jobs[i].run)*factor))
	}
}

// completeJob sets the fields of a job that depend on its scaled run time. The
// declared run time is wrong by a factor of up to 10 in either direction.
func (t *trace) completeJob(random *rand.Rand, i int) {
	j := &t.jobs[i]
	j.ID = id.Job(fmt.Sprintf("job-%05d", i))
	declared := float64(j.run) * math.Pow(10, 2*random.Float64()-1)
	j.Spec.DeclaredRun = min(max(time.Second, time.Duration(declared)), job.MaxDeclaredRun)
	if random.IntN(2) == 0 {
		j.Spec.CheckpointEvery = time.Duration(5+random.IntN(25)) * time.Minute
	}
	switch x := random.Float64(); {
	case x < 0.01:
		j.fails = true
		j.run = time.Duration(float64(j.run) * random.Float64())
	case x < 0.03:
		j.cancelAt = time.Duration(random.Float64() * 2 * float64(j.run))
	case x < 0.035 && j.Spec.Claim == "":
		j.Spec.Shape.PerWorker.Accelerators = 64 // does not fit on any worker
	}
}
