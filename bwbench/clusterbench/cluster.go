package clusterbench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/token"
	"bronzewinch.dev/lib/worker"
	"bronzewinch.dev/standin/deployment"
)

const (
	// startTimeout bounds the time to start a deployment and fill it with tasks.
	startTimeout = 2 * time.Minute
	// settleTime is the delay before a measurement. It allows the handovers of
	// shards to joining nodes to complete; a node hands over two shards at a time.
	settleTime = 3 * time.Second
	// callTimeout bounds one request to the operator frontend.
	callTimeout = 10 * time.Second
	// shardCount is the number of shards of the deployment.
	shardCount = caller.Shards + zoneCount
	// maxGangSize is the maximum number of members of a gang.
	maxGangSize = 64
	vmListLag   = time.Second
)

// cluster is a running deployment of one size.
type cluster struct {
	size
	deployment *deployment.Deployment
	token      token.Token
	clock      timer.Service
	http       *http.Client
}

// startCluster starts a deployment, applies its records and fills it with tasks.
func startCluster(ctx context.Context, s size) (*cluster, error) {
	c := &cluster{size: s, token: token.Random(), clock: timer.NewSystem(), http: &http.Client{Timeout: callTimeout}}
	var err error
	c.deployment, err = deployment.Start(deployment.Config{
		Records: records(s.Workers, c.token), BootstrapHash: c.token.Hash(), Timer: c.clock, VMListLag: vmListLag,
		RunTime:     func(worker.Ref) time.Duration { return time.Hour },
		ServiceTime: func() time.Duration { return 5 * time.Millisecond },
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := c.start(ctx); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context) error {
	for n := range c.Nodes {
		if _, err := c.deployment.StartNode(id.Node(fmt.Sprintf("node-%02d", n)), zoneName(n%zoneCount)); err != nil {
			return err
		}
	}
	if err := c.deployment.AwaitReady(ctx, 0, caller.Shards); err != nil {
		return err
	}
	var result operator.ChangeResult
	change := operator.ChangeRequest{ChangeID: "first", Files: c.deployment.Records}
	if err := c.post(ctx, c.deployment.Nodes()[0], "/v1/changes", change, &result); err != nil {
		return err
	}
	if err := c.deployment.AwaitReady(ctx, result.Revision, shardCount); err != nil {
		return err
	}
	if err := c.fill(ctx); err != nil {
		return err
	}
	return timer.Sleep(ctx, c.clock, settleTime)
}

func (c *cluster) close() {
	c.deployment.Close()
	c.http.CloseIdleConnections()
}

// fill submits gangs and waits until the configured number of tasks is running.
func (c *cluster) fill(ctx context.Context) error {
	perZone := c.Tasks / zoneCount
	for z := range zoneCount {
		declared := len(c.deployment.Set.Zones[zoneName(z)].Workers)
		for remaining, n := perZone, 0; remaining > 0; n++ {
			gang := min(maxGangSize, declared, remaining)
			if _, err := c.submit(ctx, c.deployment.Nodes()[n%c.Nodes], id.Job(fmt.Sprintf("fill-%d-%d", z, n)), zoneName(z), gang); err != nil {
				return err
			}
			remaining -= gang
		}
	}
	for wanted := perZone * zoneCount; ; {
		running := c.runningTasks()
		if running >= wanted {
			return nil
		}
		if timer.Sleep(ctx, c.clock, 100*time.Millisecond) != nil {
			return problem.New(problem.Expired, problem.Detail{Field: "running tasks", Value: fmt.Sprint(running),
				Limit: fmt.Sprint(wanted), Remedy: "run fewer tasks, or check why jobs are still pending"})
		}
	}
}

// runningTasks returns the number of running tasks on all workers.
func (c *cluster) runningTasks() int {
	n := 0
	for _, name := range c.deployment.Workers.Names() {
		for _, t := range c.deployment.Workers.Tasks(name) {
			if t.State == worker.Running {
				n++
			}
		}
	}
	return n
}

func (c *cluster) submit(ctx context.Context, n *deployment.Node, name id.Job, zone id.Zone, tasks int) (job.Job, error) {
	var j job.Job
	err := c.post(ctx, n, "/v1/jobs", operator.SubmitRequest{Job: name, File: jobFile(0, zone, tasks)}, &j)
	return j, err
}

// changeAccount submits a change of the record of one account and returns its
// revision.
func (c *cluster) changeAccount(ctx context.Context, n *deployment.Node, change int) (id.Revision, error) {
	var result operator.ChangeResult
	err := c.post(ctx, n, "/v1/changes", operator.ChangeRequest{
		ChangeID: record.ChangeID(fmt.Sprintf("change-%d", change)), Overwrite: true,
		Files: []operator.File{accountFile(change%accountCount, change+1)}}, &result)
	return result.Revision, err
}

func (c *cluster) post(ctx context.Context, n *deployment.Node, path string, body, response any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.send(ctx, http.MethodPost, n.OperatorURL()+path, data, response)
}

func (c *cluster) get(ctx context.Context, n *deployment.Node, path string, response any) error {
	return c.send(ctx, http.MethodGet, n.OperatorURL()+path, nil, response)
}

func (c *cluster) send(ctx context.Context, method, url string, body []byte, response any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.token.Reveal())
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	kind := problem.Unavailable
	if resp.StatusCode == http.StatusConflict {
		kind = problem.Conflict
	}
	if resp.StatusCode != http.StatusOK {
		return problem.New(kind, problem.Detail{Field: "request", Value: url,
			Limit: "status 200", Remedy: fmt.Sprintf("status %d: %.2000s", resp.StatusCode, data)})
	}
	return json.Unmarshal(data, response)
}
