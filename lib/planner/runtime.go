package planner

import (
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/predict"
	"bronzewinch.dev/lib/task"
)

const (
	// refreshInterval is the least time between two refreshes of the expected run times.
	// A pass needs those of all jobs, and they change with each run that ends.
	refreshInterval = time.Second
	// snapshotInterval is the least time between two snapshots of the expected run times.
	snapshotInterval = 10 * time.Second
	// maxKnown bounds the predictions that are kept. Each step of a job may have an
	// estimate of its own.
	maxKnown = 4096
)

// expectations holds the expected run times of tasks.
type expectations struct {
	RunTimes
	known       map[predict.Subject]predict.Prediction // since the last refresh
	version     uint64                                 // rises with each refresh
	refreshedAt time.Time
	refreshed   uint64 // runs that had been learned then
	snapshotAt  time.Time
	snapshot    uint64 // runs that the last snapshot contains
}

func newExpectations(r RunTimes) expectations {
	if r == nil {
		r = predict.New()
	}
	return expectations{RunTimes: r, known: make(map[predict.Subject]predict.Prediction)}
}

// refresh lets later predictions use what was learned since the last refresh.
func (e *expectations) refresh(now time.Time) {
	if now.Sub(e.refreshedAt) < refreshInterval || e.Learned() == e.refreshed {
		return
	}
	e.refreshedAt, e.refreshed = now, e.Learned()
	clear(e.known)
	e.version++
}

func (e *expectations) predict(s predict.Subject) predict.Prediction {
	known, ok := e.known[s]
	if !ok {
		known = e.Predict(s)
		if len(e.known) >= maxKnown {
			clear(e.known)
		}
		e.known[s] = known
	}
	return known
}

func (j *job) subject(s task.Step) predict.Subject {
	return predict.Subject{Queue: j.Queue, Account: j.Account, Shape: predict.ShapeOf(s), Estimate: s.Estimate}
}

// expectedRunTime is the median of the run times that are expected of a step's tasks on
// workers near their data. It is zero if nothing is known.
func (p *Planner) expectedRunTime(j *job, s task.Step) time.Duration {
	return p.runTimes.predict(j.subject(s)).Median
}

// learnRunTime learns from a completed run. It leaves out runs of which the duration says
// little: those of best-effort tasks, those from a checkpoint, and those that were found
// running.
func (p *Planner) learnRunTime(now time.Time, g *group, m *member) {
	s := g.step()
	if s.BestEffort || g.checkpoint != "" || g.restored {
		return
	}
	took, tasks := now.Sub(m.orderedAt), s.Tasks
	if g.remote {
		took = time.Duration(float64(took) / max(1, p.config.RemoteFactor))
	}
	if s.Gang {
		tasks = 1 // a gang ends once
	}
	p.runTimes.Add(predict.Run{Subject: g.job.subject(*s), Took: took, Tasks: tasks})
}

// runsRemote reports whether a group runs more slowly on its targets than within one rack
// or near its data.
func (g *group) runsRemote(targets []*candidate) bool {
	s := g.step()
	if !g.needsRack() {
		return false
	}
	var rack id.Rack
	if len(targets) > 0 {
		rack = targets[0].Rack
	}
	for _, c := range targets {
		if c.Rack != rack || s.DataRack != "" && c.Rack != s.DataRack {
			return true
		}
	}
	return false
}

// RunTimesSnapshot returns what was learned about run times, to be stored with other
// changes. It returns false if that is not due.
func (p *Planner) RunTimesSnapshot(now time.Time) ([]byte, bool) {
	e := &p.runTimes
	if now.Sub(e.snapshotAt) < snapshotInterval || e.Learned() == e.snapshot {
		return nil, false
	}
	b, err := e.Snapshot()
	e.snapshotAt, e.snapshot = now, e.Learned()
	if err != nil {
		p.logDecision(Decision{Event: "runTimes", Reason: "not stored: " + err.Error()})
		return nil, false
	}
	return b, true
}

// RestoreRunTimes restores what an earlier owner has learned about run times. A snapshot
// that can't be used is ignored.
func (p *Planner) RestoreRunTimes(snapshot []byte) {
	reason := "restored"
	if err := p.runTimes.Restore(snapshot); err != nil {
		reason = "not restored; what earlier owners have learned is lost: " + err.Error()
	}
	p.runTimes.snapshot = p.runTimes.Learned()
	p.runTimes.version++
	p.logDecision(Decision{Event: "runTimes", Reason: reason, Fields: []any{"runs", p.runTimes.Learned()}})
}
