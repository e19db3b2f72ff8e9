package command

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"
	"time"

	"bronzewinch.dev/bronzewinch/client"
	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/integrii/flaggy"
)

// The control sequences of the terminal. Frames are drawn on the alternate
// screen, so that the earlier content of the terminal is restored at the end.
const (
	enterAltScreen   = "\x1b[?1049h\x1b[?25l"
	leaveAltScreen   = "\x1b[?25h\x1b[?1049l"
	cursorHome       = "\x1b[H"
	clearToLineEnd   = "\x1b[K\n"
	clearToScreenEnd = "\x1b[J"
)

const (
	topPageSize = 1000 // jobs per request, the maximum that a node returns
	// maxTopPages bounds the requests for jobs of each phase in one frame. The
	// frame has a note when there are more jobs.
	maxTopPages = 5
	// maxTopAccounts bounds the accounts of a frame, so that it fits the height
	// of a terminal.
	maxTopAccounts = 10
)

type topCommand struct {
	interval time.Duration
	once     bool
}

func (*topCommand) Info() Info {
	return Info{Name: "top", Summary: "Show nodes, shards, jobs, free accelerators and burn rates, refreshed until Ctrl-C.",
		Example: "bronzewinch top\nbronzewinch top -once"}
}

func (c *topCommand) Flags(sub *flaggy.Subcommand) {
	sub.Duration(&c.interval, "", "every", "time between two frames (2s)")
	sub.Bool(&c.once, "", "once", "print one frame and exit")
}

func (c *topCommand) Run(ctx context.Context, e *Env) error {
	cl, err := e.Client()
	if err != nil {
		return err
	}
	if c.once || e.global.output != outputTable {
		o, err := fetchOverview(ctx, cl, e.Clock)
		if err != nil {
			return err
		}
		return show(e, o, o.table)
	}
	fmt.Fprint(e.Out, enterAltScreen)
	defer fmt.Fprint(e.Out, leaveAltScreen)
	for {
		o, err := fetchOverview(ctx, cl, e.Clock)
		if ctx.Err() != nil {
			return nil // Ctrl-C is the normal end of top
		}
		if err := drawFrame(e, o, err); err != nil {
			return err
		}
		if timer.Sleep(ctx, e.Clock, c.interval) != nil {
			return nil
		}
	}
}

// drawFrame writes one frame over the previous one. If fetchErr is set, the frame
// shows this error instead of figures that may be out of date.
func drawFrame(e *Env, o overview, fetchErr error) error {
	var text bytes.Buffer
	buffered := *e
	buffered.Out = &text
	if fetchErr != nil {
		fmt.Fprintf(&text, "bronzewinch top  %s\n\n%v\n", e.Clock.Now().Format(time.TimeOnly), fetchErr)
	} else if err := show(&buffered, o, o.table); err != nil {
		return err
	}
	_, err := fmt.Fprint(e.Out, cursorHome+strings.ReplaceAll(text.String(), "\n", clearToLineEnd)+clearToScreenEnd)
	return err
}

// overview is the content of one frame.
type overview struct {
	At    time.Time       `json:"at"`
	Nodes []operator.Node `json:"nodes"`
	Zones []zoneOverview  `json:"zones"`
	// Accounts is sorted by name.
	Accounts []accountOverview `json:"accounts"`
	// MoreJobs reports whether there are more jobs than one frame requests.
	MoreJobs bool         `json:"moreJobs"`
	Burn     *burn.Report `json:"burn,omitempty"`
}

type zoneOverview struct {
	Zone         id.Zone           `json:"zone"`
	Workers      int               `json:"workers"`
	Unused       int               `json:"unusedForNewWork"`
	Accelerators unit.Accelerators `json:"accelerators"`
	Free         unit.Accelerators `json:"freeAccelerators"`
	// WholeWorkers is the number of accelerators on workers whose accelerators
	// are all free.
	WholeWorkers unit.Accelerators `json:"wholeWorkerAccelerators"`
	Waiting      int               `json:"waiting"`
	Running      int               `json:"running"`
}

type accountOverview struct {
	Account   id.Account        `json:"account"`
	Waiting   int               `json:"waiting"`
	Running   int               `json:"running"`
	Allocated unit.Accelerators `json:"heldAccelerators"`
}

func fetchOverview(ctx context.Context, cl *client.Client, clock timer.Service) (overview, error) {
	o := overview{At: clock.Now()}
	nodes, err := client.Get[operator.Nodes](ctx, cl, "/v1/nodes")
	if err != nil {
		return o, err
	}
	workers, err := client.Get[operator.Workers](ctx, cl, "/v1/workers")
	if err != nil {
		return o, err
	}
	o.Nodes = nodes.Nodes
	zones, accounts := make(map[id.Zone]*zoneOverview), make(map[id.Account]*accountOverview)
	for _, w := range workers.Workers {
		getOrCreate(zones, w.Zone).addWorker(w)
	}
	for _, phase := range []job.Phase{job.Waiting, job.Running} {
		jobs, more, err := allJobs(ctx, cl, phase)
		if err != nil {
			return o, err
		}
		o.MoreJobs = o.MoreJobs || more
		for _, j := range jobs {
			z, a := getOrCreate(zones, j.Zone), getOrCreate(accounts, j.Spec.Account)
			if phase == job.Waiting {
				z.Waiting, a.Waiting = z.Waiting+1, a.Waiting+1
				continue
			}
			z.Running, a.Running = z.Running+1, a.Running+1
			a.Allocated += j.Spec.Shape.Accelerators()
		}
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		zones[name].Zone = name
		o.Zones = append(o.Zones, *zones[name])
	}
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		accounts[name].Account = name
		o.Accounts = append(o.Accounts, *accounts[name])
	}
	r, err := client.Get[burn.Report](ctx, cl, "/v1/reports/burn")
	if problem.Is(err, problem.NotFound) {
		return o, nil // the node provides no burn report
	}
	o.Burn = &r
	return o, err
}

func getOrCreate[K comparable, V any](m map[K]*V, key K) *V {
	if m[key] == nil {
		m[key] = new(V)
	}
	return m[key]
}

func (z *zoneOverview) addWorker(w operator.Worker) {
	z.Workers++
	z.Accelerators += w.Declared.Accelerators
	if w.State != operator.WorkerUp {
		z.Unused++
		return
	}
	z.Free += w.Free.Accelerators
	if w.Free.Accelerators == w.Declared.Accelerators {
		z.WholeWorkers += w.Free.Accelerators
	}
}

func allJobs(ctx context.Context, cl *client.Client, phase job.Phase) (jobs []job.Job, more bool, err error) {
	query := url.Values{"phase": {string(phase)}, "limit": {fmt.Sprint(topPageSize)}}
	for range maxTopPages {
		page, err := client.Get[operator.JobList](ctx, cl, "/v1/jobs?"+query.Encode())
		if err != nil {
			return nil, false, err
		}
		jobs = append(jobs, page.Jobs...)
		if page.After == "" {
			return jobs, false, nil
		}
		query.Set("after", string(page.After))
	}
	return jobs, true, nil
}

func (o overview) table(t *table) {
	t.row(fmt.Sprintf("bronzewinch top  %s", o.At.Format(time.TimeOnly)))
	t.row()
	t.row("NODE", "ZONE", "STATE", "REVISION", "OWNS")
	for _, n := range o.Nodes {
		t.row(n.ID, n.Zone, nodeState(n), n.Revision, owned(n))
	}
	t.row()
	t.row("ZONE", "WORKERS", "NOT USED", "ACCELERATORS", "FREE", "ON WHOLE WORKERS", "WAITING", "RUNNING")
	for _, z := range o.Zones {
		t.row(z.Zone, z.Workers, z.Unused, int(z.Accelerators), int(z.Free), int(z.WholeWorkers), z.Waiting, z.Running)
	}
	t.row()
	t.row("ACCOUNT", "WAITING", "RUNNING", "ACCELERATORS HELD")
	largest := slices.SortedStableFunc(slices.Values(o.Accounts), func(a, b accountOverview) int {
		return cmp.Or(cmp.Compare(b.Allocated, a.Allocated), cmp.Compare(b.Waiting, a.Waiting))
	})
	for _, a := range largest[:min(len(largest), maxTopAccounts)] {
		t.row(a.Account, a.Waiting, a.Running, int(a.Allocated))
	}
	if more := len(largest) - maxTopAccounts; more > 0 {
		t.row(fmt.Sprintf("and %d more accounts; -o json lists all", more))
	}
	if o.MoreJobs {
		t.row(fmt.Sprintf("only the first %d jobs of a phase are counted", topPageSize*maxTopPages))
	}
	t.row()
	if o.Burn == nil {
		t.row("the node provides no burn report")
		return
	}
	burnRows(t, *o.Burn)
}
