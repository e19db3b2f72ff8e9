package command

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"

	"bronzewinch.dev/bronzewinch/burnpage"
	"bronzewinch.dev/bronzewinch/client"
	"bronzewinch.dev/lib/burn"

	"github.com/integrii/flaggy"
)

// outputHTML is an output format that only the report command has.
const outputHTML = "html"

type reportCommand struct{ window, file string }

func (*reportCommand) Info() Info {
	return Info{Name: "report", Args: "burn", Summary: "Show how fast the objectives use up their error budgets, and the causes.", MinArgs: 1, MaxArgs: 1,
		Example: "bronzewinch report burn -window 1h\nbronzewinch report burn -o html -file burn.html", Outputs: []string{outputHTML}}
}

func (c *reportCommand) Flags(sub *flaggy.Subcommand) {
	sub.String(&c.window, "", "window", "window of the details: 5m, 1h, 6h, 3d or the objective's own (its own)")
	sub.String(&c.file, "F", "file", "file to write instead of standard output")
}

func (c *reportCommand) Run(ctx context.Context, e *Env) error {
	if e.Args[0] != "burn" {
		return newUsageError("report", e.Args[0], "burn", "see `bronzewinch report -help`")
	}
	var window burn.Window
	if c.window != "" {
		if err := window.UnmarshalText([]byte(c.window)); err != nil {
			return newUsageError("window", c.window, "5m, 1h, 6h, 3d or the objective's own", "choose one of these windows")
		}
	}
	cl, err := e.Client()
	if err != nil {
		return err
	}
	r, err := client.Get[burn.Report](ctx, cl, "/v1/reports/burn")
	if err != nil {
		return err
	}
	if err := checkWindow(r, window); err != nil {
		return err
	}
	var text bytes.Buffer
	buffered := *e
	buffered.Out = &text
	if e.global.output == outputHTML {
		err = burnpage.Write(&text, r, window)
	} else {
		err = show(&buffered, r, func(t *table) { burnTable(t, r, window) })
	}
	if err != nil {
		return err
	}
	if c.file != "" {
		return os.WriteFile(c.file, text.Bytes(), 0o644)
	}
	_, err = e.Out.Write(text.Bytes())
	return err
}

// checkWindow returns an error for a window that no objective has. Zero stands
// for each objective's own window.
func checkWindow(r burn.Report, w burn.Window) error {
	if w == 0 || len(r.Objectives) == 0 {
		return nil
	}
	for _, o := range r.Objectives {
		if burnpage.Select(o, w).Window == w {
			return nil
		}
	}
	return newUsageError("window", w.String(), "5m, 1h, 6h, 3d or the objective's own", "choose one of these windows")
}

func burnTable(t *table, r burn.Report, window burn.Window) {
	burnRows(t, r)
	for _, o := range r.Objectives {
		w := burnpage.Select(o, window)
		if w.Bad == 0 {
			continue
		}
		t.row()
		t.row(fmt.Sprintf("%s, last %v: %d bad of %d, burn rate %s", o.Name, w.Window, w.Bad, w.Good+w.Bad, burnpage.Rate(w.Rate)))
		for _, list := range []struct {
			name         string
			contributors []burn.Contributor
		}{{"causes", w.Causes}, {"accounts", w.Accounts}, {"zones", w.Zones}} {
			if len(list.contributors) > 0 {
				t.row("  " + list.name + ": " + contributorsLine(list.contributors))
			}
		}
		for _, x := range w.Examples {
			t.row("  " + exampleLine(x))
		}
	}
	if len(r.Objectives) == 0 {
		t.row("no objectives are in force; apply records of kind objective")
	}
}

// burnRows writes one line for each objective.
func burnRows(t *table, r burn.Report) {
	t.row("OBJECTIVE", "TARGET", "BOUND", "BUDGET LEFT", "BURN 5m", "1h", "6h", "3d", "ALERT")
	for _, o := range r.Objectives {
		cells := []any{o.Name, fmt.Sprintf("%.5g%% in %v", 100*float64(o.Target), o.Window), o.Bound, burnpage.Budget(o)}
		for _, w := range []burn.Window{burn.Window5m, burn.Window1h, burn.Window6h, burn.Window3d} {
			cells = append(cells, burnpage.Rate(burnpage.Select(o, w).Rate))
		}
		t.row(append(cells, strings.ToUpper(burnpage.Firing(o)))...)
	}
}

func contributorsLine(contributors []burn.Contributor) string {
	var texts []string
	for _, c := range contributors {
		texts = append(texts, fmt.Sprintf("%s %s", c.Name, burnpage.Percent(c.Share)))
	}
	return strings.Join(texts, ", ")
}

func exampleLine(x burn.ReportExample) string {
	text := fmt.Sprintf("%s  ", x.At.UTC().Format("2006-01-02 15:04:05"))
	switch {
	case x.Job != "":
		text += "job " + string(x.Job)
	case x.Request != "":
		text += "request " + string(x.Request)
	default:
		text += fmt.Sprint("revision ", x.Revision)
	}
	for _, part := range []string{string(x.Account), string(x.Zone), string(x.Cause)} {
		if part != "" {
			text += ", " + part
		}
	}
	if d := x.Decision; d != nil {
		text += fmt.Sprintf("; last decision: %s %s (%s, epoch %d, version %d)", d.Rule, d.Reason, d.Zone, d.Epoch, d.Version)
	}
	return text
}
