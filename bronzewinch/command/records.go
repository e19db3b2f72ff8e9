package command

import (
	"context"
	"fmt"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"bronzewinch.dev/bronzewinch/client"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/token"
	"bronzewinch.dev/lib/tomlfile"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// readFiles reads the given files, and all *.toml files of given directories.
func readFiles(paths []string) ([]operator.File, error) {
	var files []operator.File
	for _, path := range paths {
		names := []string{path}
		if info, err := os.Stat(path); err == nil && info.IsDir() {
			if names, err = filepath.Glob(filepath.Join(path, "*.toml")); err != nil {
				return nil, err
			}
		}
		for _, name := range names {
			data, err := os.ReadFile(name)
			if errors.Is(err, fs.ErrNotExist) {
				return nil, problem.New(problem.NotFound, problem.Detail{Field: "file", Value: name, Remedy: "correct the name"})
			}
			if err != nil {
				return nil, err
			}
			files = append(files, operator.File{Name: name, Text: string(data)})
		}
	}
	return files, nil
}

// changeFlags holds the flags that apply, check and diff share.
type changeFlags struct {
	overwrite bool
	remove    []string
}

func (c *changeFlags) register(sub *flaggy.Subcommand) {
	sub.Bool(&c.overwrite, "", "overwrite", "replace records regardless of their base revision")
	sub.StringSlice(&c.remove, "", "remove", "record to remove, as KIND/NAME@REVISION; may be given several times")
}

func (c *changeFlags) request(args []string) (operator.ChangeRequest, error) {
	req := operator.ChangeRequest{ChangeID: newChangeID(), Overwrite: c.overwrite}
	var err error
	if req.Files, err = readFiles(args); err != nil {
		return req, err
	}
	for _, text := range c.remove {
		name, revision, _ := strings.Cut(text, "@")
		var base uint64
		if _, err := fmt.Sscan(revision, &base); err != nil && !c.overwrite {
			return req, newUsageError("remove", text, "KIND/NAME@REVISION", "take the revision from `bronzewinch get`, or use -overwrite")
		}
		req.Remove = append(req.Remove, operator.Removal{Record: name, Base: id.Revision(base)})
	}
	if len(req.Files)+len(req.Remove) == 0 {
		return req, newUsageError("arguments", "", "a file, a directory with *.toml files, or -remove", "say what to change")
	}
	return req, nil
}

func newChangeID() record.ChangeID { return record.ChangeID(token.Random().Hash()[:24]) }

// clientAndRequest returns the client and the change request of a command.
func (c *changeFlags) clientAndRequest(e *Env) (*client.Client, operator.ChangeRequest, error) {
	cl, err := e.Client()
	if err != nil {
		return nil, operator.ChangeRequest{}, err
	}
	req, err := c.request(e.Args)
	return cl, req, err
}

type applyCommand struct {
	changeFlags
	wait    bool
	timeout time.Duration
}

func (*applyCommand) Info() Info {
	return Info{Name: "apply", Args: "FILE...", Summary: "Apply records as one change set.", MaxArgs: -1,
		Example: "bronzewinch apply -wait examples/cooperative/records\nbronzewinch apply -remove account/old@17"}
}

func (c *applyCommand) Flags(sub *flaggy.Subcommand) {
	c.register(sub)
	sub.Bool(&c.wait, "", "wait", "wait until the change is in force on all live nodes, and show the nodes")
	sub.Duration(&c.timeout, "", "timeout", "longest time to wait (1m)")
}

func (c *applyCommand) Run(ctx context.Context, e *Env) error {
	cl, req, err := c.clientAndRequest(e)
	if err != nil {
		return err
	}
	result, err := client.Post[operator.ChangeResult](ctx, cl, "/v1/changes", req)
	if err != nil {
		if ctx.Err() != nil {
			return errors.Wrapf(err, "look for change %s with `bronzewinch history`", req.ChangeID)
		}
		return err
	}
	if !c.wait {
		return show(e, result, func(t *table) { changeTable(t, result) })
	}
	state, err := c.waitInForce(ctx, e, cl, result.Revision)
	if showErr := show(e, state, func(t *table) { changeTable(t, result); inForceTable(t, state) }); showErr != nil {
		return showErr
	}
	return err
}

// inForcePollInterval is the time between two requests for the revisions that
// the nodes have in force.
const inForcePollInterval = 500 * time.Millisecond

func (c *applyCommand) waitInForce(ctx context.Context, e *Env, cl *client.Client, revision id.Revision) (operator.InForce, error) {
	ctx, stop := context.WithTimeout(ctx, c.timeout)
	defer stop()
	timeoutErr := &statusError{StatusNotInForce, fmt.Sprintf("revision %d is accepted, but not in force on all live nodes after %v; it comes into force on the others once the nodes can reach each other", revision, c.timeout)}
	var state operator.InForce
	for {
		next, err := client.Get[operator.InForce](ctx, cl, fmt.Sprintf("/v1/inForce?revision=%d", revision))
		switch {
		case err == nil:
			state = next
		case problem.Is(err, problem.Unauthenticated) || problem.Is(err, problem.Denied):
			// The first operator record invalidates the bootstrap token, and a
			// change can remove the token that it was sent with.
			return state, &statusError{StatusNotInForce, fmt.Sprintf("revision %d is accepted, but it invalidates your token, so the state of the nodes can't be shown; put the token of an operator record in force into the context, then run `bronzewinch nodes`", revision)}
		case ctx.Err() == nil && !problem.Is(err, problem.Unavailable):
			return state, err
		}
		if state.Everywhere {
			return state, nil
		}
		if timer.Sleep(ctx, e.Clock, inForcePollInterval) != nil {
			return state, timeoutErr
		}
	}
}

func changeTable(t *table, r operator.ChangeResult) {
	t.row("revision", r.Revision)
	for _, name := range r.Changed {
		t.row("changed", name)
	}
	if len(r.Changed) == 0 {
		t.row("changed", "nothing")
	}
}

func inForceTable(t *table, s operator.InForce) {
	for _, n := range s.Nodes {
		state := "in force"
		if n.Revision < s.Revision {
			state = "not yet in force"
		}
		t.row("node", n.Node, n.Zone, fmt.Sprint("revision ", n.Revision), state)
	}
}

type checkCommand struct {
	changeFlags
	offline bool
	// platform, against and workers are files of the cooperative platform.
	platform, against, workers string
}

func (*checkCommand) Info() Info {
	return Info{Name: "check", Args: "FILE...", Summary: "Check records as apply does, without applying them.", MaxArgs: -1,
		Example: "bronzewinch check examples/cooperative/records\nbronzewinch check -offline examples/cooperative/records\nbronzewinch check -platform next.json -against now.json"}
}

func (c *checkCommand) Flags(sub *flaggy.Subcommand) {
	c.register(sub)
	sub.Bool(&c.offline, "", "offline", "check the files as one complete configuration, without a node; capacity is not checked")
	sub.String(&c.platform, "", "platform", "check this configuration of the cooperative platform (JSON) in place of records, without a node")
	sub.String(&c.against, "", "against", "with -platform: the configuration in force; shows what differs")
	sub.String(&c.workers, "", "workers", "with -platform: the workers (JSON, list entries by id); checks the capacity")
}

func (c *checkCommand) Run(ctx context.Context, e *Env) error {
	if c.platform != "" {
		return c.checkConfig(e)
	}
	if c.against != "" || c.workers != "" {
		return newUsageError("against", c.against+c.workers, "given with -platform", "use `bronzewinch diff` for records")
	}
	req, err := c.request(e.Args)
	if err != nil {
		return err
	}
	if c.offline {
		return e.checkOffline(req)
	}
	cl, err := e.Client()
	if err != nil {
		return err
	}
	result, err := client.Post[operator.ChangeResult](ctx, cl, "/v1/changes/check", req)
	if err != nil {
		return err
	}
	return show(e, result, func(t *table) { changeTable(t, result) })
}

func (e *Env) checkOffline(req operator.ChangeRequest) error {
	change := record.Change{ID: req.ChangeID, Author: "offline"}
	var mistakes tomlfile.Mistakes
	for _, f := range req.Files {
		records, err := record.ParseFile(f.Name, []byte(f.Text))
		var fileMistakes tomlfile.Mistakes
		if errors.As(err, &fileMistakes) {
			mistakes = append(mistakes, fileMistakes...)
		}
		for _, r := range records {
			change.Put(r.WithBaseRevision(0))
		}
	}
	if err := mistakes.Err(); err != nil {
		return err
	}
	if _, err := record.NewSet().With(change, 1); err != nil {
		return err
	}
	result := operator.ChangeResult{Changed: []string{}}
	for _, item := range change.Items {
		result.Changed = append(result.Changed, item.Key.String())
	}
	return show(e, result, func(t *table) { t.row("records", len(change.Items), "no mistakes") })
}

type diffCommand struct{ changeFlags }

func (*diffCommand) Info() Info {
	return Info{Name: "diff", Args: "FILE...", Summary: "Show what applying records would change.", MaxArgs: -1,
		Example: "bronzewinch diff examples/cooperative/records"}
}

func (c *diffCommand) Flags(sub *flaggy.Subcommand) { c.register(sub) }

func (c *diffCommand) Run(ctx context.Context, e *Env) error {
	cl, req, err := c.clientAndRequest(e)
	if err != nil {
		return err
	}
	result, err := client.Post[operator.DiffResult](ctx, cl, "/v1/changes/diff", req)
	if err != nil {
		return err
	}
	return show(e, result, func(t *table) {
		for _, d := range result.Diffs {
			t.row("record " + d.Key.String() + " (schema " + string(d.Schema) + ")")
			for _, l := range d.Lines {
				t.row(l.Mark + " " + l.Text)
			}
		}
	})
}

type getCommand struct{ kind, schema string }

func (*getCommand) Info() Info {
	return Info{Name: "get", Args: "[RECORD]", Summary: "Show records in force. With -o toml they can be edited and applied.", MaxArgs: 1,
		Example: "bronzewinch get\nbronzewinch get guarantee/skymap/nightly -schema v2 -o toml > nightly.toml"}
}

func (c *getCommand) Flags(sub *flaggy.Subcommand) {
	sub.String(&c.kind, "", "kind", "records of this kind only")
	sub.String(&c.schema, "", "schema", "schema version to show: v1, v2, or written for the version that each record was applied in (written)")
}

func (c *getCommand) Run(ctx context.Context, e *Env) error {
	cl, err := e.Client()
	if err != nil {
		return err
	}
	query := url.Values{}
	setNonEmpty(query, "kind", c.kind)
	if c.schema != "written" {
		setNonEmpty(query, "schema", c.schema)
	}
	if len(e.Args) > 0 {
		setNonEmpty(query, "record", e.Args[0])
	}
	result, err := client.Get[operator.Records](ctx, cl, "/v1/records?"+query.Encode())
	if err != nil {
		return err
	}
	if e.global.output == outputTOML {
		_, err := fmt.Fprint(e.Out, result.Document)
		return err
	}
	return show(e, result, func(t *table) {
		t.row("RECORD", "SCHEMA", "REVISION", "AUTHOR", "AT")
		for _, r := range result.Records {
			t.row(r.Record, r.Schema, r.Revision, r.Author, r.At.Format(time.RFC3339))
		}
	})
}

func setNonEmpty(query url.Values, name, value string) {
	if value != "" {
		query.Set(name, value)
	}
}

type historyCommand struct{ limit int }

func (*historyCommand) Info() Info {
	return Info{Name: "history", Args: "[RECORD]", Summary: "Show accepted change sets, the newest first.", MaxArgs: 1,
		Example: "bronzewinch history account/skymap -limit 5"}
}

func (c *historyCommand) Flags(sub *flaggy.Subcommand) {
	sub.Int(&c.limit, "", "limit", "maximum number of changes to show (20)")
}

func (c *historyCommand) Run(ctx context.Context, e *Env) error {
	cl, err := e.Client()
	if err != nil {
		return err
	}
	query := url.Values{"limit": {fmt.Sprint(c.limit)}}
	if len(e.Args) > 0 {
		setNonEmpty(query, "record", e.Args[0])
	}
	result, err := client.Get[operator.History](ctx, cl, "/v1/changes?"+query.Encode())
	if err != nil {
		return err
	}
	return show(e, result, func(t *table) {
		t.row("REVISION", "AT", "AUTHOR", "CHANGE", "IN FORCE", "RECORD", "")
		for _, h := range result.Changes {
			if len(h.Records) == 0 {
				t.row(h.Revision, h.At.Format(time.RFC3339), h.Author, h.ChangeID, inForceText(h), "(no longer kept)")
			}
			for _, r := range h.Records {
				origin := fmt.Sprint("from revision ", r.Base)
				if r.Base == 0 {
					origin = "new"
				}
				if r.Text == "" {
					origin = "removed"
				}
				t.row(h.Revision, h.At.Format(time.RFC3339), h.Author, h.ChangeID, inForceText(h), r.Record, origin)
			}
		}
	})
}

// inForceText returns the number of live nodes on which a change came into force
// since they started, and the time from the change until the last of them had it
// in force.
func inForceText(h operator.HistoryItem) string {
	if len(h.InForce) == 0 {
		return "before the nodes started"
	}
	last := h.At
	for _, n := range h.InForce {
		if n.At.After(last) {
			last = n.At
		}
	}
	return fmt.Sprintf("%d nodes, after %v", len(h.InForce), last.Sub(h.At).Round(time.Millisecond))
}

type convertCommand struct{ schema string }

func (*convertCommand) Info() Info {
	return Info{Name: "convert", Args: "FILE...", Summary: "Write files of records in another schema version, without a node.", MinArgs: 1, MaxArgs: -1,
		Example: "bronzewinch convert -schema v2 old.toml > new.toml"}
}

func (c *convertCommand) Flags(sub *flaggy.Subcommand) {
	sub.String(&c.schema, "", "schema", "v1 or v2")
}

func (c *convertCommand) Run(_ context.Context, e *Env) error {
	if !record.Schema(c.schema).Valid() {
		return newUsageError("schema", c.schema, "v1 or v2", "give -schema")
	}
	files, err := readFiles(e.Args)
	if err != nil {
		return err
	}
	var all []record.Record
	for _, f := range files {
		records, err := record.ParseFile(f.Name, []byte(f.Text))
		if err != nil {
			return err
		}
		for _, r := range records {
			converted, err := r.Convert(record.Schema(c.schema))
			if err != nil {
				return err
			}
			all = append(all, converted)
		}
	}
	_, err = fmt.Fprint(e.Out, record.FormatFile(all))
	return err
}
