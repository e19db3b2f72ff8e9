package record

import (
	"fmt"
	"slices"

	"bronzewinch.dev/lib/id"

	"github.com/pelletier/go-toml/v2"
)

// WithBaseRevision returns the record with another base revision.
func (r Record) WithBaseRevision(base id.Revision) Record {
	c, err := Parse(r.text)
	if err != nil {
		// The text was made from a record that passed its checks.
		panic(fmt.Sprintf("record: read %s again: %v", r.key, err))
	}
	c.body.header().BaseRevision = base
	return c
}

// FormatFile writes records as a file that ParseFile reads, with their base
// revisions.
func FormatFile(records []Record) string {
	var file struct {
		Records []any `toml:"record"`
	}
	for _, r := range records {
		file.Records = append(file.Records, r.body)
	}
	text, err := toml.Marshal(file)
	if err != nil {
		panic(fmt.Sprintf("record: write a document: %v", err))
	}
	return string(text)
}

// Diff is what a change does to one record.
type Diff struct {
	Key Key `json:"key"`
	// Schema is the version that both sides are shown in.
	Schema Schema     `json:"schema"`
	Lines  []DiffLine `json:"lines"`
}

// DiffLine is one line of a diff. Mark is "+", "-" or " ".
type DiffLine struct {
	Mark string `json:"mark"`
	Text string `json:"text"`
}

// Changed reports whether any line differs.
func (d Diff) Changed() bool {
	return slices.ContainsFunc(d.Lines, func(l DiffLine) bool { return l.Mark != " " })
}

// Compare returns the lines that differ between two records of one key,
// either of which may be absent (nil). It shows both in the schema version of
// the new one, or in v2 when the old one can't be written in that.
func Compare(old, changed *Record) (Diff, error) {
	var d Diff
	switch {
	case changed != nil:
		d.Key, d.Schema = changed.key, changed.Schema()
	case old != nil:
		d.Key, d.Schema = old.key, old.Schema()
	}
	if old != nil && changed != nil {
		if _, err := old.Convert(d.Schema); err != nil {
			d.Schema = V2
		}
	}
	a, err := linesInSchema(old, d.Schema)
	if err != nil {
		return d, err
	}
	b, err := linesInSchema(changed, d.Schema)
	if err != nil {
		return d, err
	}
	d.Lines = diffLines(a, b)
	return d, nil
}
