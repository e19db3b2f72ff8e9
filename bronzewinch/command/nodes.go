package command

import (
	"context"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"

	"bronzewinch.dev/bronzewinch/client"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/record"

	"github.com/integrii/flaggy"
)

type nodesCommand struct{}

func (*nodesCommand) Info() Info {
	return Info{Name: "nodes", Summary: "List the entry nodes with their revision and the shards that they own.", Example: "bronzewinch nodes -o json"}
}

func (*nodesCommand) Flags(*flaggy.Subcommand) {}

func (*nodesCommand) Run(ctx context.Context, e *Env) error {
	cl, err := e.Client()
	if err != nil {
		return err
	}
	result, err := client.Get[operator.Nodes](ctx, cl, "/v1/nodes")
	if err != nil {
		return err
	}
	return show(e, result, func(t *table) {
		t.row("NODE", "ZONE", "ADDRESS", "STATE", "REVISION", "OWNS")
		for _, n := range result.Nodes {
			t.row(n.ID, n.Zone, n.Address, nodeState(n), n.Revision, owned(n))
		}
	})
}

func nodeState(n operator.Node) string {
	switch {
	case !n.Live:
		return "down"
	case n.Leaving:
		return "leaving"
	}
	return "live"
}

// owned lists the placement shards of a node with their epochs. It gives only
// the number of its request shards, since there are 64 of them.
func owned(n operator.Node) string {
	var names []string
	requests := 0
	for _, shard := range slices.Sorted(maps.Keys(n.Owned)) {
		if strings.HasPrefix(string(shard), "once/") {
			requests++
			continue
		}
		names = append(names, fmt.Sprintf("%s (epoch %d)", shard, n.Owned[shard]))
	}
	if requests > 0 {
		names = append(names, fmt.Sprintf("%d request shards", requests))
	}
	return strings.Join(names, ", ")
}

type workersCommand struct {
	zone   string
	filter workerFilter
}

func (*workersCommand) Info() Info {
	return Info{Name: "workers", Summary: "List the workers with their free resources and jobs.", Example: "bronzewinch workers -zone entoto -state draining\nbronzewinch workers -sort free -limit 50"}
}

func (c *workersCommand) Flags(sub *flaggy.Subcommand) {
	c.filter.order = "name"
	sub.String(&c.zone, "", "zone", "workers of this zone only")
	sub.String(&c.filter.rack, "", "rack", "workers of this rack only")
	sub.String(&c.filter.state, "", "state", "workers in this state only")
	sub.String(&c.filter.order, "", "sort", "order of the list: name, rack, state, jobs or free (name)")
	sub.Int(&c.filter.limit, "", "limit", "maximum number of workers to list (0: all)")
	sub.String(&c.filter.after, "", "after", "start after this worker, the last of the previous page")
}

func (c *workersCommand) Run(ctx context.Context, e *Env) error {
	if err := c.filter.check(); err != nil {
		return err
	}
	cl, err := e.Client()
	if err != nil {
		return err
	}
	query := url.Values{}
	setNonEmpty(query, "zone", c.zone)
	result, err := client.Get[operator.Workers](ctx, cl, "/v1/workers?"+query.Encode())
	if err != nil {
		return err
	}
	var further int
	if result.Workers, further, err = c.filter.apply(result.Workers); err != nil {
		return err
	}
	return show(e, result, func(t *table) {
		t.row("WORKER", "ZONE", "RACK", "STATE", "FREE", "OF", "JOBS", "REASON")
		for _, w := range result.Workers {
			t.row(w.Name, w.Zone, w.Rack, w.State, w.Free, w.Declared, len(w.Jobs), w.Reason)
		}
		if further > 0 {
			t.row(fmt.Sprintf("%d further workers; continue with -after %s", further, result.Workers[len(result.Workers)-1].Name))
		}
	})
}

type drainCommand struct{ undo bool }

func (*drainCommand) Info() Info {
	return Info{Name: "drain", Args: "WORKER", Summary: "Stop placing new work on a worker, or with -undo, resume it.", MinArgs: 1, MaxArgs: 1,
		Example: "bronzewinch drain entoto-r1-w3\nbronzewinch drain entoto-r1-w3 -undo"}
}

func (c *drainCommand) Flags(sub *flaggy.Subcommand) {
	sub.Bool(&c.undo, "", "undo", "place new work on the worker again")
}

func (c *drainCommand) Run(ctx context.Context, e *Env) error {
	cl, err := e.Client()
	if err != nil {
		return err
	}
	w, err := client.Put[operator.Worker](ctx, cl, "/v1/workers/"+url.PathEscape(e.Args[0])+"/drain", operator.DrainRequest{Drain: !c.undo})
	if err != nil {
		return err
	}
	return show(e, w, func(t *table) { t.row(w.Name, w.State, fmt.Sprint(len(w.Jobs), " jobs")) })
}

type evacuateCommand struct{ undo bool }

func (*evacuateCommand) Info() Info {
	return Info{Name: "evacuate", Args: "ZONE", Summary: "Stop placing new work in a zone, or with -undo, resume it.", MinArgs: 1, MaxArgs: 1,
		Example: "bronzewinch evacuate entoto\nbronzewinch evacuate entoto -undo"}
}

func (c *evacuateCommand) Flags(sub *flaggy.Subcommand) {
	sub.Bool(&c.undo, "", "undo", "place new work in the zone again")
}

// Run changes the record of the zone. The change is refused if the record has changed
// since it was read.
func (c *evacuateCommand) Run(ctx context.Context, e *Env) error {
	cl, err := e.Client()
	if err != nil {
		return err
	}
	key := record.Key{Kind: record.KindZone, Name: e.Args[0]}.String()
	found, err := client.Get[operator.Records](ctx, cl, "/v1/records?"+url.Values{"record": {key}}.Encode())
	if err != nil {
		return err
	}
	records, err := record.ParseFile(key, []byte(found.Document))
	if err != nil {
		return err
	}
	changed, err := records[0].WithEvacuated(!c.undo)
	if err != nil {
		return err
	}
	result, err := client.Post[operator.ChangeResult](ctx, cl, "/v1/changes", operator.ChangeRequest{
		ChangeID: newChangeID(), Files: []operator.File{{Name: key, Text: record.FormatFile([]record.Record{changed})}}})
	if err != nil {
		return err
	}
	return show(e, result, func(t *table) { changeTable(t, result) })
}
