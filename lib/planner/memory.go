package planner

import (
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

const (
	// taskMemory is what a task takes in the planner: its group, its run and its part of the
	// record that is written when one of them changes.
	taskMemory = 512 * unit.Bytes(1)
	// endedJobMemory is what is left of a job after its end: its state, for its submitter.
	endedJobMemory = unit.KiB
	// largeRecord is the size from which the stored record of a job is replaced once its
	// runs have ended. The next owner reads the records of all jobs.
	largeRecord = 4 * unit.KiB
)

// JobMemory returns what a job takes in the planner until it has ended. Occurrences count
// as far as they can be open at the same time.
func JobMemory(t *task.Job) unit.Bytes {
	tasks := t.TaskCount()
	if t.Occurrences > 1 {
		tasks = min(tasks*t.Occurrences, max(tasks, maxOpenTasks))
	}
	return endedJobMemory + t.Size() + unit.Bytes(tasks)*taskMemory
}

// Freed is memory that a job of an account no longer takes.
type Freed struct {
	Account id.Account
	Bytes   unit.Bytes
}

// resizeMemory changes what a job takes, and records what becomes free.
func (p *Planner) resizeMemory(j *job, size unit.Bytes) {
	if size < j.memory {
		p.freed = append(p.freed, Freed{j.Account, j.memory - size})
	}
	j.memory = size
}

// trimEndedJobs discards what ended jobs without runs no longer need.
func (p *Planner) trimEndedJobs() {
	p.untrimmedJobs = slices.DeleteFunc(p.untrimmedJobs, func(j *job) bool {
		if j.members > 0 {
			return false
		}
		if p.jobs[j.ID] == j { // otherwise it has been removed
			p.trim(j)
		}
		return true
	})
}

func (p *Planner) trim(j *job) {
	large := j.Size() > largeRecord || j.TaskCount()*int(taskMemory) > int(largeRecord)
	j.Job = task.Job{ID: j.ID, Queue: j.Queue, Account: j.Account, Accepted: j.Accepted, Admitted: j.Admitted}
	j.openOccurrences, j.nextOccurrence = nil, 0
	p.resizeMemory(j, endedJobMemory)
	if large {
		p.newJobs = append(p.newJobs, j.Job)
		p.markDirty(j)
	}
}

// removeOldJobs removes jobs that ended longer than Config.Retention ago.
func (p *Planner) removeOldJobs(now time.Time) {
	for name, j := range p.jobs {
		if j.state.Ended() && now.Sub(j.endedAt) > p.config.Retention {
			delete(p.jobs, name)
			p.resizeMemory(j, 0)
			p.removedJobs = append(p.removedJobs, name)
		}
	}
}
