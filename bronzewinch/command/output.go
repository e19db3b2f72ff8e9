package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/tomlfile"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// The output formats that every command has.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputTOML  = "toml"
)

// The exit statuses. They are part of the program's interface.
const (
	StatusDone        = 0
	StatusFailed      = 1
	StatusUsage       = 2
	StatusInvalid     = 3
	StatusNotFound    = 4
	StatusConflict    = 5
	StatusDenied      = 6
	StatusUnavailable = 7
	StatusUnknown     = 8
	StatusNotInForce  = 9
	StatusJobFailed   = 10
	StatusFindings    = 11
	StatusInterrupted = 130
	statusHelp        = `Exit statuses: 0 done, 1 failed, 2 wrong use of the command, 3 invalid or never fits, 4 not found, 5 conflict,
6 denied or no valid token, 7 unavailable (nothing was done; try again), 8 unknown (it may have been done),
9 accepted but not in force everywhere in time, 10 the watched job did not succeed,
11 the audit found a violation, 130 interrupted.
`
)

var statusByKind = map[problem.Kind]int{
	"":                      StatusDone,
	problem.Invalid:         StatusInvalid,
	problem.NeverFits:       StatusInvalid,
	problem.NotFound:        StatusNotFound,
	problem.Conflict:        StatusConflict,
	problem.Denied:          StatusDenied,
	problem.Unauthenticated: StatusDenied,
	problem.Unavailable:     StatusUnavailable,
	problem.Overloaded:      StatusUnavailable,
	problem.Fenced:          StatusUnavailable,
	problem.NotOwner:        StatusUnavailable,
	problem.Unknown:         StatusUnknown,
	problem.Expired:         StatusUnknown,
	problem.Internal:        StatusFailed,
}

// statusError is an error with an exit status of its own.
type statusError struct {
	status int
	text   string
}

// Error returns the text.
func (e *statusError) Error() string { return e.text }

func statusOf(err error) int {
	var usageErr *usageError
	var statusErr *statusError
	switch {
	case errors.As(err, &usageErr):
		return StatusUsage
	case errors.As(err, &statusErr):
		return statusErr.status
	}
	return statusByKind[problem.KindOf(err)]
}

// printError writes an error. It lists all mistakes in files, and shows both
// versions of a record that is in conflict.
func printError(w io.Writer, err error) {
	var conflict *record.ConflictError
	var mistakes tomlfile.Mistakes
	switch {
	case errors.As(err, &conflict):
		fmt.Fprintf(w, "bronzewinch: %v\n\nin force at revision %d:\n%s\nyours, based on revision %d:\n%s\n", conflict,
			conflict.Current, indent(conflict.CurrentText), conflict.Base, indent(conflict.Text))
	case errors.As(err, &mistakes):
		count := fmt.Sprint(len(mistakes), " mistakes")
		if len(mistakes) == 1 {
			count = "1 mistake"
		}
		fmt.Fprintf(w, "bronzewinch: %s\n%v\n", count, mistakes)
	default:
		fmt.Fprintf(w, "bronzewinch: %v\n", err)
	}
}

func indent(text string) string {
	if text == "" {
		return "    (absent)\n"
	}
	return "    " + strings.ReplaceAll(strings.TrimRight(text, "\n"), "\n", "\n    ") + "\n"
}

// table writes aligned columns.
type table struct{ w *tabwriter.Writer }

func (t *table) row(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		fmt.Fprint(t.w, c)
	}
	fmt.Fprintln(t.w)
}

// show writes a value in the format of the -output flag. Tables are written by
// writeTable.
func show[T any](e *Env, v T, writeTable func(*table)) error {
	switch e.global.output {
	case outputJSON:
		data, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(e.Out, "%s\n", data)
		return err
	case outputTOML:
		return writeTOML(e.Out, v)
	}
	var buffer bytes.Buffer
	t := &table{tabwriter.NewWriter(&buffer, 0, 8, 2, ' ', 0)}
	writeTable(t)
	if err := t.w.Flush(); err != nil {
		return err
	}
	// An empty last cell leaves padding at the end of its line, which is trimmed.
	for line := range strings.Lines(buffer.String()) {
		if _, err := fmt.Fprintln(e.Out, strings.TrimRight(line, " \n")); err != nil {
			return err
		}
	}
	return nil
}

// writeTOML encodes a value by way of JSON, so that both formats have the same
// field names.
func writeTOML(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return err
	}
	text, err := toml.Marshal(convertNumbers(tree))
	if err != nil {
		return err
	}
	_, err = w.Write(text)
	return err
}

// convertNumbers converts the JSON numbers of a tree to integers where possible,
// otherwise to floats. It removes null values, which TOML does not have.
func convertNumbers(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for name, item := range v {
			if item == nil {
				delete(v, name)
				continue
			}
			v[name] = convertNumbers(item)
		}
	case []any:
		for i, item := range v {
			v[i] = convertNumbers(item)
		}
	case json.Number:
		if n, err := v.Int64(); err == nil {
			return n
		}
		f, err := v.Float64()
		if err == nil {
			return f
		}
		return v.String()
	}
	return v
}
