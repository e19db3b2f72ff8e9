package burnstore

import (
	"context"
	"slices"
	"time"

	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"

	"k8s.io/klog/v2"
)

// reportRequest asks for a report.
type reportRequest struct {
	// maxAge is how old the counts that were read before may be.
	maxAge time.Duration
	// allowStale accepts them at any age while the key-value service is down.
	allowStale bool
}

// newStages returns the path read, merge, evaluate, publish, and the same
// with explain at its end.
func (s *Service) newStages() (evaluation, reporting pipe.Filter[reportRequest, burn.Report]) {
	evaluation = pipe.Then(pipe.Then(pipe.Then(
		pipe.Instrument(s.Metrics, "burn/read", pipe.Func[reportRequest, []burn.Snapshot](s.readAll)),
		pipe.Instrument(s.Metrics, "burn/merge", pipe.Func[[]burn.Snapshot, burn.View](s.merge))),
		pipe.Instrument(s.Metrics, "burn/evaluate", pipe.Func[burn.View, burn.Report](s.evaluate))),
		pipe.Instrument(s.Metrics, "burn/publish", pipe.Func[burn.Report, burn.Report](s.publish)))
	return evaluation, pipe.Then(evaluation, pipe.Instrument(s.Metrics, "burn/explain", pipe.Func[burn.Report, burn.Report](s.explain)))
}

// readAll returns the stored counts of all nodes.
func (s *Service) readAll(ctx context.Context, req reportRequest) ([]burn.Snapshot, error) {
	s.mu.Lock()
	list, fresh := s.cached, !s.cachedAt.IsZero() && s.Clock.Now().Sub(s.cachedAt) < req.maxAge
	s.mu.Unlock()
	if fresh {
		return list, nil
	}
	err := s.refresh(ctx)
	if req.allowStale && (problem.Is(err, problem.Unavailable) || problem.Is(err, problem.Unknown)) {
		s.failures.Inc()
		return list, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cached, err
}

// refresh reads the counts of all nodes and deletes those that no window
// reaches any more, of nodes that are gone.
func (s *Service) refresh(ctx context.Context) error {
	var list []burn.Snapshot
	now, after := s.Clock.Now(), ""
	for {
		items, err := s.Store.List(ctx, Prefix, after, pageSize)
		if err != nil {
			return err
		}
		if len(items) == 0 {
			break
		}
		for _, item := range items {
			after = item.Key
			snapshot, err := Decode(item.Value)
			switch {
			case err != nil:
				klog.V(1).Infof("burn: leave out key %s: %v", item.Key, err)
			case snapshot.Expired(now):
				if err := s.Store.Delete(ctx, item.Key, item.Version); err != nil {
					klog.V(1).Infof("burn: delete key %s: %v", item.Key, err)
				}
			default:
				list = append(list, snapshot)
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cached, s.cachedAt = list, now
	return nil
}

// merge adds up the stored counts of the other nodes and this node's present
// ones. Until the counts of an earlier process are loaded, both are parts.
// When they are stored under this process but the answer to that write was
// lost, only the stored value has all of them.
func (s *Service) merge(_ context.Context, stored []burn.Snapshot) (burn.View, error) {
	previousAdded := s.writer.previousAdded.Load()
	written := slices.ContainsFunc(stored, func(x burn.Snapshot) bool { return x.Node == s.Node && x.Process == s.writer.process })
	if s.writer.superseded.Load() || !previousAdded && written {
		return burn.Merge(stored), nil
	}
	list := slices.DeleteFunc(slices.Clone(stored), func(x burn.Snapshot) bool { return previousAdded && x.Node == s.Node })
	return burn.Merge(append(list, s.writer.snapshot())), nil
}

func (s *Service) evaluate(_ context.Context, v burn.View) (burn.Report, error) {
	return burn.Evaluate(v, s.ConfigSource.Current(), s.Clock.Now()), nil
}

func (s *Service) publish(_ context.Context, r burn.Report) (burn.Report, error) {
	s.gauges.set(r, r.At)
	return r, nil
}

// explain adds the last decision to the examples that name a job.
func (s *Service) explain(ctx context.Context, r burn.Report) (burn.Report, error) {
	if s.Decisions == nil {
		return r, nil
	}
	found := make(map[id.Job]*burn.Decision)
	for _, o := range r.Objectives {
		for _, w := range slices.Backward(o.Windows) {
			for i := range w.Examples {
				e := &w.Examples[i]
				d, ok := found[e.Job]
				if !ok && e.Job != "" && len(found) < maxDecisions {
					d = s.lastDecision(ctx, e.Job)
					found[e.Job] = d
				}
				e.Decision = d
			}
		}
	}
	return r, nil
}

func (s *Service) lastDecision(ctx context.Context, job id.Job) *burn.Decision {
	list, err := s.Decisions(ctx, job)
	if err != nil || len(list) == 0 {
		return nil // the job was forgotten, or its zone can't be asked now
	}
	d := list[len(list)-1]
	return &burn.Decision{Zone: d.Zone, Epoch: d.Epoch, Version: d.Version, Rule: d.Rule, Reason: d.Reason}
}
