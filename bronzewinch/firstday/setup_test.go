// Package firstday_test runs the commands of an operator's first day against a
// whole deployment on loopback.
package firstday_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/bronzewinch/command"
	"bronzewinch.dev/examples"
	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/token"
	"bronzewinch.dev/standin/deployment"
)

const example = "cooperative"

// rig is a deployment, and a directory with the files of an operator.
type rig struct {
	d     *deployment.Deployment
	clock timer.Service
	dir   string
	zones int
}

// newRig starts three entry nodes without any record in force.
func newRig(t *testing.T, ctx context.Context) *rig {
	t.Helper()
	r := &rig{clock: timer.NewSystem(), dir: t.TempDir()}
	bootstrap := token.Random()
	d, err := deployment.Start(deployment.Config{
		Records: exampleRecords(t), BootstrapHash: bootstrap.Hash(), Timer: r.clock,
		ServiceTime: func() time.Duration { return time.Millisecond },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	r.d, r.zones = d, len(d.Set.Zones)
	for i, zone := range []id.Zone{"entoto", "bole", "akaki"} {
		if _, err := d.StartNode(id.Node(fmt.Sprintf("node-%d", i+1)), zone); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.AwaitReady(ctx, 0, caller.Shards); err != nil {
		t.Fatal(err)
	}
	for _, f := range d.Records {
		r.write(t, "records/"+f.Name, f.Text)
	}
	r.writeContexts(t, bootstrap)
	return r
}

func exampleRecords(t *testing.T) []operator.File {
	t.Helper()
	entries, err := examples.Files.ReadDir(example + "/records")
	if err != nil {
		t.Fatal(err)
	}
	var files []operator.File
	for _, e := range entries {
		data, err := examples.Files.ReadFile(example + "/records/" + e.Name())
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, operator.File{Name: e.Name(), Text: string(data)})
	}
	return files
}

// writeContexts writes a context for the bootstrap token, for a token that no
// record has, and for each example token.
func (r *rig) writeContexts(t *testing.T, bootstrap token.Token) {
	t.Helper()
	tokens := map[string]string{"bootstrap": bootstrap.Reveal(), "wrong": token.Random().Reveal(), "telescope": telescopeToken}
	data, err := examples.Files.ReadFile(example + "/tokens.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if owner, text, ok := strings.Cut(strings.TrimSpace(line), " "); ok && owner != "#" {
			_, name, _ := strings.Cut(owner, "/")
			tokens[name] = text
		}
	}
	var addresses []string
	for _, n := range r.d.Nodes() {
		addresses = append(addresses, fmt.Sprintf("%q", n.OperatorURL()))
	}
	text := "current = \"bootstrap\"\n"
	for name, value := range tokens {
		r.write(t, name+".token", value)
		text += fmt.Sprintf("[context.%s]\naddresses = [%s]\ntokenFile = %q\n",
			name, strings.Join(addresses, ", "), filepath.Join(r.dir, name+".token"))
	}
	r.write(t, "contexts.toml", text)
}

func (r *rig) write(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join(r.dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// run runs the command line with the token of a context. DIR in the line is
// replaced by the directory of the operator's files.
func (r *rig) run(ctx context.Context, contextName, line string) (status int, output string) {
	var out, errs bytes.Buffer
	args := strings.Fields(strings.ReplaceAll(line, "DIR", r.dir))
	args = append(args, "-contexts", filepath.Join(r.dir, "contexts.toml"), "-context", contextName)
	status = command.Run(ctx, args, command.Config{Out: &out, Err: &errs, Clock: r.clock, Commands: command.All()})
	return status, out.String() + errs.String()
}

// await runs a command until it succeeds and its output contains a text.
func (r *rig) await(t *testing.T, ctx context.Context, contextName, line, want string) {
	t.Helper()
	for {
		status, out := r.run(ctx, contextName, line)
		if status == 0 && strings.Contains(out, want) {
			return
		}
		if timer.Sleep(ctx, r.clock, 50*time.Millisecond) != nil {
			t.Fatalf("%s: status %d, want %q in time:\n%s", line, status, want, out)
		}
	}
}
