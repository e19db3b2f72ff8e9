package soakbench

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"bronzewinch.dev/standin/cooperative"
)

const (
	// clientCount is the number of callers at once.
	clientCount = 4
	// submitAttempts is how often a caller hands a job in.
	submitAttempts = 4
)

// job is one job as its submitter knows it.
type job struct {
	id        string
	queue     int
	steps     []cooperative.Step
	accepted  bool
	cancelled bool // a cancel was sent
}

// runClient submits jobs and asks about them until the end of the run.
func (s *soak) runClient(number int, r *rand.Rand) {
	c := cooperative.NewClient()
	if number == 0 {
		defer s.submitServiceJob(c, r)()
	}
	for n := 0; time.Now().Before(s.end); n++ {
		time.Sleep(time.Duration(100+r.IntN(600)) * time.Millisecond)
		j := &job{id: fmt.Sprintf("%04x%012x", number, n), queue: r.IntN(cooperative.NumQueues), steps: randomSteps(r)}
		s.world.Fleet.RegisterJob(j.id, j.steps)
		s.submit(c, r, j)
		s.mu.Lock()
		s.jobs = append(s.jobs, j)
		s.mu.Unlock()
		if j.accepted && r.IntN(10) == 0 {
			j.cancelled = true
			_, _ = c.Call(http.MethodDelete, s.randomFront(r), j.queue, j.id, nil)
		}
		s.checkRandomJob(c, r)
	}
}

// submitServiceJob submits a job whose tasks serve during the whole run. The function that
// it returns cancels the job.
func (s *soak) submitServiceJob(c *cooperative.Client, r *rand.Rand) func() {
	j := &job{id: "5e00000000000000", queue: 1, cancelled: true,
		steps: []cooperative.Step{{Count: 3, GPU: 1, LatencyTarget: 200 * time.Millisecond, MaxUnavailable: 1}}}
	s.world.Fleet.RegisterJob(j.id, j.steps)
	s.submit(c, r, j)
	return func() {
		for range 10 * submitAttempts {
			if status, _ := c.Call(http.MethodDelete, s.randomFront(r), j.queue, j.id, nil); status == http.StatusOK || !j.accepted {
				return
			}
			time.Sleep(time.Second)
		}
		s.addViolation("the cancel of job %s is not acknowledged", j.id)
	}
}

func (s *soak) randomFront(r *rand.Rand) string {
	return s.world.Nodes[r.IntN(len(s.world.Nodes))].FrontAddress
}

func randomSteps(r *rand.Rand) []cooperative.Step {
	var steps []cooperative.Step
	for range 1 + r.IntN(2) {
		s := cooperative.Step{Count: 1 + r.IntN(4), GPU: 1 << r.IntN(3), Gang: r.IntN(2) == 0,
			RunTime: time.Duration(200+r.IntN(2500)) * time.Millisecond}
		if r.IntN(10) == 0 {
			s.Failures = 1
		}
		if !s.Gang && r.IntN(4) == 0 {
			s.BestEffort = true
		}
		steps = append(steps, s)
	}
	return steps
}

// submit hands a job in, again after refusals and lost answers.
func (s *soak) submit(c *cooperative.Client, r *rand.Rand, j *job) {
	rejected := 0
	for attempt := range submitAttempts {
		status, _ := c.Call(http.MethodPost, s.randomFront(r), j.queue, j.id, cooperative.JobBody(j.steps))
		s.mu.Lock()
		switch status {
		case http.StatusOK:
			s.result.Accepted++
			j.accepted = true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			s.result.Refused++
			rejected++
		case 0, http.StatusGatewayTimeout, http.StatusBadGateway:
			s.result.Unknown++
		default:
			s.result.Violations = append(s.result.Violations, fmt.Sprintf("job %s: status %d to its submission", j.id, status))
		}
		s.mu.Unlock()
		if j.accepted {
			break
		}
		if rejected == attempt+1 && attempt == submitAttempts-1 {
			s.world.Fleet.MarkRejected(j.id)
		}
		time.Sleep(time.Second)
	}
	s.mu.Lock()
	s.result.Jobs++
	s.mu.Unlock()
}

// checkRandomJob checks what is shown of a random job.
func (s *soak) checkRandomJob(c *cooperative.Client, r *rand.Rand) {
	s.mu.Lock()
	j := s.jobs[r.IntN(len(s.jobs))]
	s.mu.Unlock()
	status, body := c.Call(http.MethodGet, s.randomFront(r), j.queue, j.id, nil)
	s.checkState(j, status, body)
}

// checkState checks an answer about a job. It returns whether the job is
// over. Knowing of a job takes no time here: the owner reads all that is stored
// before it answers.
func (s *soak) checkState(j *job, status int, body map[string]any) bool {
	if status == http.StatusGone && j.accepted {
		s.addViolation("job %s was accepted and is not known", j.id)
	}
	if status != http.StatusOK {
		return false
	}
	switch body["state"] {
	case "completed":
		if !s.world.Fleet.AllDone(j.id) {
			s.addViolation("job %s is shown as completed before its tasks are done", j.id)
		}
		return true
	case "cancelled":
		if !j.cancelled {
			s.addViolation("job %s is shown as cancelled by nobody", j.id)
		}
		return true
	case "failed":
		s.addViolation("job %s is shown as failed though no task fails three times", j.id)
		return true
	}
	return false
}

// awaitJobs waits until all accepted jobs are over.
func (s *soak) awaitJobs() {
	c := cooperative.NewClient()
	r := rand.New(rand.NewPCG(s.config.Seed, 99))
	deadline := time.Now().Add(settleTimeout)
	for _, j := range s.jobs {
		for j.accepted {
			status, body := c.Call(http.MethodGet, s.randomFront(r), j.queue, j.id, nil)
			if s.checkState(j, status, body) {
				if body["state"] == "completed" {
					s.result.Completed++
				} else {
					s.result.Cancelled++
				}
				break
			}
			if time.Now().After(deadline) {
				s.addViolation("job %s is not over after the faults have ended: status %d %v", j.id, status, body)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
