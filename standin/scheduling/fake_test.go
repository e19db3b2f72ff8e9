package scheduling_test

import (
	"context"
	"sync"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/lib/worker"

	"github.com/fxamacker/cbor/v2"
)

var oneAccelerator = unit.Resources{Accelerators: 1, Cores: unit.Core, Memory: unit.GiB}

// firstFit is a planner that places jobs on the first workers with enough free
// resources, and preempts all other jobs for a claim that does not fit.
type firstFit struct {
	order  []id.Worker
	total  map[id.Worker]unit.Resources
	placed map[id.Job]job.Job
	lost   map[id.Worker]bool
}

func newFirstFit(set *record.Set) *firstFit {
	p := &firstFit{placed: map[id.Job]job.Job{}, lost: map[id.Worker]bool{}}
	p.SetConfig(set)
	return p
}

func (p *firstFit) free() map[id.Worker]unit.Resources {
	free := make(map[id.Worker]unit.Resources)
	for w, r := range p.total {
		if !p.lost[w] {
			free[w] = r
		}
	}
	for _, j := range p.placed {
		for _, m := range j.Members {
			free[m.Worker] = free[m.Worker].Minus(m.Resources)
		}
	}
	return free
}

func (p *firstFit) Plan(_ time.Time, waiting []job.Job) []decision.Record {
	var out []decision.Record
	free := p.free()
	for _, j := range waiting {
		r := decision.Record{Job: j.ID, Spec: j.Spec, Rule: decision.RuleFree, Members: p.fit(j, free)}
		if r.Members == nil && j.Spec.Claim != "" {
			r.Rule = decision.RulePreempt
			for _, v := range p.placed {
				if v.Spec.Claim == "" {
					r.Victims = append(r.Victims, decision.Victim{Job: v.ID})
				}
			}
			r.Members = p.fit(j, p.preemptible())
		}
		if r.Members == nil {
			r.Rule = decision.RuleWait
		}
		for _, m := range r.Members {
			free[m.Worker] = free[m.Worker].Minus(m.Resources)
		}
		out = append(out, r)
		if r.Rule == decision.RulePreempt {
			break
		}
	}
	return out
}

// preemptible returns the resources that are free if all jobs without a claim are
// preempted.
func (p *firstFit) preemptible() map[id.Worker]unit.Resources {
	free := make(map[id.Worker]unit.Resources)
	for w, r := range p.total {
		if !p.lost[w] {
			free[w] = r
		}
	}
	for _, j := range p.placed {
		for _, m := range j.Members {
			if j.Spec.Claim != "" {
				free[m.Worker] = free[m.Worker].Minus(m.Resources)
			}
		}
	}
	return free
}

func (p *firstFit) fit(j job.Job, free map[id.Worker]unit.Resources) []job.Member {
	var members []job.Member
	for _, w := range p.order {
		if len(members) < int(j.Spec.Shape.Workers) && j.Spec.Shape.PerWorker.Fits(free[w]) {
			members = append(members, job.Member{Worker: w, Resources: j.Spec.Shape.PerWorker})
		}
	}
	if len(members) < int(j.Spec.Shape.Workers) {
		return nil
	}
	return members
}

func (p *firstFit) Reserve(j job.Job, _ []job.Member)        { p.placed[j.ID] = j }
func (p *firstFit) Release(j id.Job)                         { delete(p.placed, j) }
func (p *firstFit) WorkerLost(w id.Worker)                   { p.lost[w] = true }
func (p *firstFit) WorkerRecovered(w id.Worker)              { delete(p.lost, w) }
func (p *firstFit) TaskEnded(w id.Worker, j id.Job, ok bool) {}
func (p *firstFit) RestoreRecords([]decision.Record)         {}
func (p *firstFit) Fragmentation() unit.Share                { return 0 }
func (p *firstFit) SetConfig(set *record.Set) {
	p.order, p.total = nil, map[id.Worker]unit.Resources{}
	for _, w := range set.Zones["a"].Workers {
		p.order = append(p.order, w.Name)
		p.total[w.Name] = w.Resources
	}
}

// store is a journal to which several owners write, one after the other. It rejects
// writes of an earlier epoch.
type store struct {
	mu            sync.Mutex
	items         [][]byte
	entries       id.Seq
	epoch         id.Epoch
	unavailable   bool
	answersToLose int // the next writes that take effect but return an Unknown error
	commits       map[worker.Ref][]job.Member
	onWrite       func(op string)
}

func newStore() *store { return &store{commits: map[worker.Ref][]job.Member{}} }

// beginEpoch begins a new epoch, and returns it with the items stored so far.
func (s *store) beginEpoch() (id.Epoch, [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	return s.epoch, s.items[:len(s.items):len(s.items)]
}

func (s *store) committed(ref worker.Ref) ([]job.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.commits[ref]
	return m, ok
}

func (s *store) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *store) append(epoch id.Epoch, items [][]byte) (id.Seq, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unavailable:
		return 0, problem.New(problem.Unavailable, problem.Detail{Field: "store", Remedy: "try again later"})
	case epoch < s.epoch:
		return 0, problem.New(problem.Fenced, problem.Detail{Field: "epoch", Remedy: "stop"})
	}
	for _, data := range items {
		var it struct {
			Op      string       `cbor:"op"`
			ID      id.Job       `cbor:"id"`
			Attempt int          `cbor:"attempt"`
			Members []job.Member `cbor:"members"`
		}
		if err := cbor.Unmarshal(data, &it); err != nil {
			return 0, err
		}
		if it.Op == "commit" {
			s.commits[worker.Ref{Job: it.ID, Attempt: it.Attempt}] = it.Members
		}
		if s.onWrite != nil {
			s.onWrite(it.Op)
		}
	}
	s.items = append(s.items, items...)
	s.entries++
	if s.answersToLose > 0 {
		s.answersToLose--
		return 0, problem.New(problem.Unknown, problem.Detail{Field: "store", Remedy: "read back"})
	}
	return s.entries, nil
}

// pauseGate blocks the calls of an owner while the owner is paused.
type pauseGate struct {
	mu     sync.Mutex
	closed chan struct{}
}

func (g *pauseGate) wait() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

func (g *pauseGate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *pauseGate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// term is the term of one owner, and its access to the journal and the workers. The
// gate blocks this access while the owner is paused.
type term struct {
	pauseGate
	store  *store
	epoch  id.Epoch
	client *worker.Client
}

func (t *term) Check() error         { return nil } // worst case: only the epoch fences the owner
func (t *term) CheckContinue() error { return nil }
func (t *term) Epoch() id.Epoch      { return t.epoch }

func (t *term) Append(_ context.Context, items ...[]byte) (id.Seq, error) {
	t.wait()
	return t.store.append(t.epoch, items)
}

func (t *term) Call(ctx context.Context, w id.Worker, c worker.Command) ([]worker.Report, error) {
	t.wait()
	return t.client.Call(ctx, w, c)
}
