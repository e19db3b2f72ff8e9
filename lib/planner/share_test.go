package planner_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// playCompetition plays two minutes of four accounts without guarantees, of which each submits
// a third of its share, and one a number of times as much. It returns the share of the
// others' jobs that meet their objective, and of the one account's jobs that are done.
func playCompetition(t *testing.T, seed uint64, times int) (others, done float64) {
	t.Helper()
	s := newSim(t, seed, 12)
	accounts := []id.Account{"c", "d", "e", "f"}
	submitted := make(map[id.Job]time.Time)
	n, begin := 0, s.now
	submit := func(a id.Account) {
		n++
		j := singleStepJob(n, task.Step{Tasks: 1 + s.random.IntN(4), Demand: unit.Resources{Accelerators: 4, Cores: unit.Core},
			Estimate: time.Duration(2000+s.random.IntN(4000)) * time.Millisecond})
		j.Account = a
		submitted[j.ID] = s.now
		s.submit(j, 1)
	}
	for s.now.Sub(begin) < 2*time.Minute {
		for i, a := range accounts {
			count := 1
			if i == 0 {
				count = times
			}
			for range count {
				submit(a)
			}
		}
		s.advance(5 * time.Second)
	}
	s.advance(2 * time.Minute)
	met, all, ended, burst := 0, 0, 0, 0
	for name, at := range submitted {
		j := s.jobs[name]
		end, ok := s.endedAt[name]
		if j.Account == accounts[0] {
			burst++
			if ok {
				ended++
			}
			continue
		}
		all++
		if ok && end.Sub(at) <= 3*j.Steps[0].Estimate+250*time.Millisecond {
			met++
		}
	}
	return float64(met) / float64(all), float64(ended) / float64(burst)
}

// TestBurstOfOneAccount guards against accounts that are served late because another one
// submits many times its share, and against the jobs of that account being lost.
func TestBurstOfOneAccount(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			calm, _ := playCompetition(t, seed, 1)
			others, done := playCompetition(t, seed, 15)
			t.Logf("objectives met by the other accounts: %.3f without the burst, %.3f beside it; %.3f of the burst done", calm, others, done)
			is.True(others > calm-0.05)
			is.Equal(done, 1.0)
		})
	}
}
