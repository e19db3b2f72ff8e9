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

// reportRequest is the input of the pipeline that computes a report.
type reportRequest struct {
	// maxAge is the maximum age of cached counts.
	maxAge time.Duration
	// allowStale permits cached counts of any age during an outage of the
	// key-value service.
	allowStale bool
}

// newStages returns the pipeline read, merge, evaluate, publish, and the same
// pipeline with the additional last stage explain.
func (s *Service) newStages() (evaluation, reporting pipe.Filter[reportRequest, burn.Report]) {
	evaluation = pipe.Then(pipe.Then(pipe.Then(
		pipe.Instrument(s.Metrics, "burn/read", pipe.Func[reportRequest, []burn.Snapshot](s.readAll)),
		pipe.Instrument(s.Metrics, "burn/merge", pipe.Func[[]burn.Snapshot, burn.View](s.merge))),
		pipe.Instrument(s.Metrics, "burn/evaluate", pipe.Func[burn.View, burn.Report](s.evaluate))),
		pipe.Instrument(s.Metrics, "burn/publish", pipe.Func[burn.Report, burn.Report](s.publish)))
	return evaluation, pipe.Then(evaluation, pipe.Instrument(s.Metrics, "burn/explain", pipe.Func[burn.Report, burn.Report](s.explain)))
}

// readAll returns the stored counts of all nodes. It reads them from the store
// if the cached ones are older than the request allows.
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

// refresh reads and caches the counts of all nodes. It deletes expired counts,
// which are those of nodes that no longer run.
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
				klog.V(1).Infof("burn: skip key %s: %v", item.Key, err)
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

// merge combines the stored counts of the other nodes with the current ones of
// this node. Until the counts of an earlier process of this node are added to
// those, it also uses the stored counts of this node. If this process has
// written the sum of both but the reply to that write was lost, it uses only
// the stored sum, because the two parts would count twice.
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

// explain adds the last decision about the job to each example with a job.
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

// lastDecision returns the last decision about a job, or nil if there is none.
func (s *Service) lastDecision(ctx context.Context, job id.Job) *burn.Decision {
	list, err := s.Decisions(ctx, job)
	if err != nil || len(list) == 0 {
		return nil // the job is no longer stored, or its zone is unavailable
	}
	d := list[len(list)-1]
	return &burn.Decision{Zone: d.Zone, Epoch: d.Epoch, Version: d.Version, Rule: d.Rule, Reason: d.Reason}
}
