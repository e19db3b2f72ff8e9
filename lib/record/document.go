package record

import (
	"fmt"
	"slices"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"

	"github.com/pelletier/go-toml/v2"
)

// WithBaseRevision returns the record with another base revision.
func (r Record) WithBaseRevision(base id.Revision) Record {
	c, err := Parse(r.text)
	if err != nil {
		// The text comes from a record that passed its checks.
		panic(fmt.Sprintf("record: parse the text of %s again: %v", r.key, err))
	}
	c.body.header().BaseRevision = base
	return c
}

// WithEvacuated returns the record of a zone in schema v2, with the zone evacuated or not.
func (r Record) WithEvacuated(evacuated bool) (Record, error) {
	z, ok := r.asV2().(*ZoneV2)
	if !ok {
		return Record{}, problem.New(problem.Invalid, problem.Detail{Field: "record", Value: r.key.String(), Limit: "a zone",
			Remedy: "name a zone"})
	}
	changed := *z
	changed.Evacuated = evacuated
	return newRecord(&changed), nil
}

// FormatFile formats records, with their base revisions, as a file that
// ParseFile accepts.
func FormatFile(records []Record) string {
	var file struct {
		Records []any `toml:"record"`
	}
	for _, r := range records {
		file.Records = append(file.Records, r.body)
	}
	text, err := toml.Marshal(file)
	if err != nil {
		panic(fmt.Sprintf("record: format records as TOML: %v", err))
	}
	return string(text)
}

// Diff is the difference between two versions of one record.
type Diff struct {
	Key Key `json:"key"`
	// Schema is the schema version in which both sides are shown.
	Schema Schema     `json:"schema"`
	Lines  []DiffLine `json:"lines"`
}

// DiffLine is one line of a diff. Mark is "+" for an added line, "-" for a
// removed one and " " for one in both versions.
type DiffLine struct {
	Mark string `json:"mark"`
	Text string `json:"text"`
}

// Changed reports whether any line was added or removed.
func (d Diff) Changed() bool {
	return slices.ContainsFunc(d.Lines, func(l DiffLine) bool { return l.Mark != " " })
}

// Compare returns the diff of two records with the same key. Either may be nil
// for a record that does not exist. It shows both in the schema version of the
// changed record, or in v2 if the old one can't be converted to that version.
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
