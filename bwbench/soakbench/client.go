package soakbench

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"bronzewinch.dev/standin/cooperative"
)

const (
	// clientCount is the number of clients that submit jobs concurrently.
	clientCount = 4
	// submitAttempts bounds the attempts to submit a job.
	submitAttempts = 4
)

// job is a submitted job as seen by its client.
type job struct {
	id        string
	queue     int
	steps     []cooperative.Step
	accepted  bool
	cancelled bool // a cancel request was sent
}

// runClient submits jobs and queries their states until the faults end.
func (s *soak) runClient(number int, r *rand.Rand) {
	c := cooperative.NewClient()
	if number == 0 {
		defer s.submitServiceJob(c, r)()
	}
	for n := 0; time.Now().Before(s.end); n++ {
		time.Sleep(time.Duration(100+r.IntN(600)) * time.Millisecond)
		j := &job{id: fmt.Sprintf("%04x%012x", number, n), queue: r.IntN(cooperative.NumQueues), steps: randomSteps(r)}
		s.deployment.Fleet.RegisterJob(j.id, j.steps)
		s.submit(c, r, j)
		s.mu.Lock()
		s.jobs = append(s.jobs, j)
		s.mu.Unlock()
		if j.accepted && r.IntN(10) == 0 {
			j.cancelled = true
			_, _ = c.Call(http.MethodDelete, s.randomFrontAddress(r), j.queue, j.id, nil)
		}
		s.checkRandomJob(c, r)
	}
}

// submitServiceJob submits a job of service tasks that runs during the whole
// soak. It returns a function that cancels the job.
func (s *soak) submitServiceJob(c *cooperative.Client, r *rand.Rand) func() {
	j := &job{id: "5e00000000000000", queue: 1, cancelled: true,
		steps: []cooperative.Step{{Count: 3, GPU: 1, LatencyTarget: 200 * time.Millisecond, MaxUnavailable: 1}}}
	s.deployment.Fleet.RegisterJob(j.id, j.steps)
	s.submit(c, r, j)
	return func() {
		for range 10 * submitAttempts {
			if status, _ := c.Call(http.MethodDelete, s.randomFrontAddress(r), j.queue, j.id, nil); status == http.StatusOK || !j.accepted {
				return
			}
			time.Sleep(time.Second)
		}
		s.addViolation("no node acknowledged the cancellation of job %s in %d attempts", j.id, 10*submitAttempts)
	}
}

func (s *soak) randomFrontAddress(r *rand.Rand) string {
	return s.deployment.Nodes[r.IntN(len(s.deployment.Nodes))].FrontAddress
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

// submit submits a job. It tries again after a rejection or a lost response.
func (s *soak) submit(c *cooperative.Client, r *rand.Rand, j *job) {
	rejected := 0
	for attempt := range submitAttempts {
		status, _ := c.Call(http.MethodPost, s.randomFrontAddress(r), j.queue, j.id, cooperative.JobBody(j.steps))
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
			s.result.Violations = append(s.result.Violations, fmt.Sprintf("submission of job %s returned unexpected status %d", j.id, status))
		}
		s.mu.Unlock()
		if j.accepted {
			break
		}
		if rejected == attempt+1 && attempt == submitAttempts-1 {
			s.deployment.Fleet.MarkRejected(j.id)
		}
		time.Sleep(time.Second)
	}
	s.mu.Lock()
	s.result.Jobs++
	s.mu.Unlock()
}

// checkRandomJob queries a random job and checks the state that is returned.
func (s *soak) checkRandomJob(c *cooperative.Client, r *rand.Rand) {
	s.mu.Lock()
	j := s.jobs[r.IntN(len(s.jobs))]
	s.mu.Unlock()
	status, body := c.Call(http.MethodGet, s.randomFrontAddress(r), j.queue, j.id, nil)
	s.checkState(j, status, body)
}

// checkState checks the response to a query of a job and reports whether the
// job has ended. An accepted job must be found by every query after that: a new
// owner loads all stored jobs before it serves queries.
func (s *soak) checkState(j *job, status int, body map[string]any) bool {
	if status == http.StatusGone && j.accepted {
		s.addViolation("job %s was accepted, but its query returned status %d", j.id, status)
	}
	if status != http.StatusOK {
		return false
	}
	switch body["state"] {
	case "completed":
		if !s.deployment.Fleet.AllDone(j.id) {
			s.addViolation("job %s is reported as completed before its tasks are done", j.id)
		}
		return true
	case "cancelled":
		if !j.cancelled {
			s.addViolation("job %s is reported as cancelled, but no client sent a cancel request", j.id)
		}
		return true
	case "failed":
		s.addViolation("job %s is reported as failed, but no task fails three times", j.id)
		return true
	}
	return false
}

// awaitJobs waits until all accepted jobs have ended.
func (s *soak) awaitJobs() {
	c := cooperative.NewClient()
	r := rand.New(rand.NewPCG(s.config.Seed, 99))
	deadline := time.Now().Add(settleTimeout)
	for _, j := range s.jobs {
		for waited := false; j.accepted; waited = true {
			status, body := c.Call(http.MethodGet, s.randomFrontAddress(r), j.queue, j.id, nil)
			if s.checkState(j, status, body) {
				if body["state"] == "completed" {
					s.result.Completed++
				} else {
					s.result.Cancelled++
				}
				if waited { // the workers are busy with the jobs before those that still wait
					deadline = time.Now().Add(settleTimeout)
				}
				break
			}
			if time.Now().After(deadline) {
				s.addViolation("job %s has not ended within %v of the end of the faults and of the job before: status %d %v", j.id,
					settleTimeout, status, body)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
