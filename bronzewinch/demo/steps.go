package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"bronzewinch.dev/bronzewinch/client"
	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/dispatch"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/token"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/standin/deployment"
)

// maxUrgentStart is the bound on the time until urgent work starts.
const maxUrgentStart = 3600 * time.Millisecond

// pollInterval is the time between two queries of poll.
const pollInterval = 50 * time.Millisecond

// allSteps returns the steps in their order.
func (w *walkthrough) allSteps() []step {
	return []step{
		{"start three entry nodes", w.startNodes},
		{"apply the records", w.apply},
		{"in force on every node", w.inForce},
		{"run a gang whole", w.runGang},
		{"refuse what can never run", w.rejectNeverFits},
		{"occupy a zone", w.occupy},
		{"reclaim a guaranteed shape", w.reclaim},
		{"explain the decisions", w.explain},
		{"answer a request", w.request},
		{"run a request at most once", w.atMostOnce},
		{"lose a node, start urgent work", w.loseNode},
	}
}

func (w *walkthrough) startNodes(ctx context.Context) (string, error) {
	zones := w.zones()
	for i := range 3 {
		zone := zones[i%len(zones)]
		if _, err := w.deployment.StartNode(id.Node(fmt.Sprintf("node-%d", i+1)), zone); err != nil {
			return "", err
		}
	}
	if err := w.deployment.AwaitReady(ctx, 0, caller.Shards); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d request shards owned", caller.Shards), nil
}

func (w *walkthrough) zones() []id.Zone {
	var zones []id.Zone
	first := w.roles.claim.Zone
	for name := range w.deployment.Set.Zones {
		if name != first {
			zones = append(zones, name)
		}
	}
	return append([]id.Zone{first}, zones...)
}

func (w *walkthrough) apply(ctx context.Context) (string, error) {
	c, err := w.client(w.bootstrap)
	if err != nil {
		return "", err
	}
	result, err := client.Post[operator.ChangeResult](ctx, c, "/v1/changes",
		operator.ChangeRequest{ChangeID: "demo", Files: w.deployment.Records})
	if err != nil {
		return "", err
	}
	w.revision = result.Revision
	return fmt.Sprintf("%d records at revision %d", len(result.Changed), result.Revision), nil
}

func (w *walkthrough) inForce(ctx context.Context) (string, error) {
	for name, t := range w.tokens {
		if !strings.HasPrefix(name, "operator/") {
			continue
		}
		c, err := w.client(t)
		if err != nil {
			return "", err
		}
		w.operator = c
	}
	state, err := poll(ctx, w, func() (operator.InForce, bool, error) {
		a, err := client.Get[operator.InForce](ctx, w.operator, fmt.Sprintf("/v1/inForce?revision=%d", w.revision))
		return a, err == nil && a.Everywhere && len(a.Nodes) == 3, nil
	})
	if err != nil {
		return "", err
	}
	if err := w.deployment.AwaitReady(ctx, w.revision, caller.Shards+len(w.deployment.Set.Zones)); err != nil {
		return "", err
	}
	return fmt.Sprintf("revision %d on %d nodes; %d zones owned", state.Revision, len(state.Nodes), len(w.deployment.Set.Zones)), nil
}

func (w *walkthrough) runGang(ctx context.Context) (string, error) {
	spec := w.roles.filler
	spec.Zone, spec.Shape.Workers, spec.Shape.Locality = "", 4, job.SameRack
	name := id.Job(quickPrefix + "gang")
	if _, err := w.submit(ctx, name, spec); err != nil {
		return "", err
	}
	j, err := w.awaitPhase(ctx, name, job.Succeeded)
	if err != nil {
		return "", err
	}
	ran := 0
	for _, i := range w.deployment.Workers.Intervals() {
		if i.Job == name && i.End == "done" {
			ran++
		}
	}
	if ran != int(spec.Shape.Workers) {
		return "", fmt.Errorf("%d of %d members ran to their end", ran, spec.Shape.Workers)
	}
	return fmt.Sprintf("%d members in zone %s ran to their end", ran, j.Zone), nil
}

func (w *walkthrough) rejectNeverFits(ctx context.Context) (string, error) {
	spec := w.roles.filler
	spec.Zone, spec.Shape.Workers, spec.Shape.Locality = "", 64, job.SameRack
	_, err := w.submit(ctx, "never", spec)
	if !problem.Is(err, problem.NeverFits) {
		return "", fmt.Errorf("a gang of 64 workers in one rack was not rejected: %w", err)
	}
	return err.Error(), nil
}

func (w *walkthrough) occupy(ctx context.Context) (string, error) {
	if _, err := w.submit(ctx, "filler", w.roles.filler); err != nil {
		return "", err
	}
	j, err := w.awaitPhase(ctx, "filler", job.Running)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("account %s runs on all %d workers of %s", j.Spec.Account, len(j.Members), j.Zone), nil
}

func (w *walkthrough) reclaim(ctx context.Context) (string, error) {
	start := w.config.Timer.Now()
	if _, err := w.submit(ctx, "claim", w.roles.claim); err != nil {
		return "", err
	}
	j, err := w.awaitPhase(ctx, "claim", job.Running)
	if err != nil {
		return "", err
	}
	took := w.config.Timer.Now().Sub(start)
	if took > maxUrgentStart {
		return "", fmt.Errorf("the claim started after %v; the bound is %v", took, maxUrgentStart)
	}
	return fmt.Sprintf("account %s started its shape %s on %d workers after %.2f s",
		j.Spec.Account, j.Spec.Claim, len(j.Members), took.Seconds()), nil
}

func (w *walkthrough) explain(ctx context.Context) (string, error) {
	var lines []string
	for _, name := range []string{"claim", "filler"} {
		x, err := client.Get[operator.Explanation](ctx, w.operator, "/v1/jobs/"+name+"/explain")
		if err != nil {
			return "", err
		}
		if len(x.Lines) == 0 {
			return "", fmt.Errorf("job %s has no decision record", name)
		}
		lines = append(lines, name+": "+x.Lines[len(x.Lines)-1])
	}
	return strings.Join(lines, " | "), nil
}

// loseNode stops the node that owns the claim's zone without a handover and
// submits an urgent claim through another node.
func (w *walkthrough) loseNode(ctx context.Context) (string, error) {
	if _, err := client.Post[operator.CancelResult](ctx, w.operator, "/v1/jobs/cancel",
		operator.CancelRequest{Jobs: []id.Job{"claim"}}); err != nil {
		return "", err
	}
	shard := dispatch.ShardOf(w.roles.claim.Zone)
	owner, ok := w.owner(shard)
	if !ok {
		return "", fmt.Errorf("no node owns %s", shard)
	}
	start := w.config.Timer.Now()
	stopped := make(chan struct{})
	go func() {
		owner.Fail()
		close(stopped)
	}()
	defer func() { <-stopped }()
	c, err := w.client(w.operatorToken())
	if err != nil {
		return "", err
	}
	w.operator = c
	if _, err := w.submit(ctx, "claim-2", w.roles.claim); err != nil {
		return "", err
	}
	j, err := w.awaitPhase(ctx, "claim-2", job.Running)
	if err != nil {
		return "", err
	}
	took := w.config.Timer.Now().Sub(start)
	if took > maxUrgentStart {
		return "", fmt.Errorf("urgent work started %v after node %s failed; the bound is %v", took, owner.ID, maxUrgentStart)
	}
	return fmt.Sprintf("%s failed; %d workers started after %.2f s", owner.ID, len(j.Members), took.Seconds()), nil
}

func (w *walkthrough) owner(s id.Shard) (*deployment.Node, bool) {
	for _, n := range w.deployment.Nodes() {
		if _, ok := n.Owned()[s]; ok {
			return n, true
		}
	}
	return nil, false
}

func (w *walkthrough) operatorToken() token.Token {
	for name, t := range w.tokens {
		if strings.HasPrefix(name, "operator/") {
			return t
		}
	}
	return w.bootstrap
}

// client returns a client for all running nodes.
func (w *walkthrough) client(t token.Token) (*client.Client, error) {
	var addresses []string
	for _, n := range w.deployment.Nodes() {
		addresses = append(addresses, n.OperatorURL())
	}
	return client.New(client.Config{Addresses: addresses, Token: t, Timeout: stepTimeout, Clock: w.config.Timer})
}

func (w *walkthrough) submit(ctx context.Context, name id.Job, spec job.Spec) (job.Job, error) {
	return client.Post[job.Job](ctx, w.operator, "/v1/jobs",
		operator.SubmitRequest{Job: name, File: operator.File{Name: string(name) + ".toml", Text: recordText(string(name), spec)}})
}

func (w *walkthrough) awaitPhase(ctx context.Context, name id.Job, phase job.Phase) (job.Job, error) {
	return poll(ctx, w, func() (job.Job, bool, error) {
		j, err := client.Get[job.Job](ctx, w.operator, "/v1/jobs/"+string(name))
		if err == nil && j.Phase != phase && j.Phase.Final() {
			return j, false, fmt.Errorf("job %s is %s: %s", name, j.Phase, j.Reason)
		}
		return j, err == nil && j.Phase == phase, nil
	})
}

// poll calls query until it reports that the value is final, returns an error, or
// ctx ends.
func poll[T any](ctx context.Context, w *walkthrough, query func() (T, bool, error)) (T, error) {
	for {
		value, done, err := query()
		if done || err != nil {
			return value, err
		}
		if err := timer.Sleep(ctx, w.config.Timer, pollInterval); err != nil {
			return value, fmt.Errorf("last seen: %+v: %w", value, err)
		}
	}
}

// writeJob writes a job record in schema v2.
func writeJob(b *strings.Builder, name string, s job.Spec) {
	fmt.Fprintf(b, "[[record]]\nschema = %q\nkind = \"job\"\nname = %q\naccount = %q\n", record.V2, name, s.Account)
	if s.Zone != "" {
		fmt.Fprintf(b, "zone = %q\n", s.Zone)
	}
	if s.Claim != "" {
		fmt.Fprintf(b, "claim = %q\nurgent = %v\n", s.Claim, s.Urgent)
	}
	per := s.Shape.PerWorker
	fmt.Fprintf(b, "declaredRun = %q\ncheckpointEvery = %q\nprogram = %q\n", s.DeclaredRun, s.CheckpointEvery, s.Program)
	fmt.Fprintf(b, "shape = { workers = %d, locality = %q, perWorker = { accelerators = %d, cores = %g, memory = \"%dMiB\" } }\n",
		s.Shape.Workers, s.Shape.Locality, per.Accelerators, float64(per.Cores)/float64(unit.Core), per.Memory/unit.MiB)
}
