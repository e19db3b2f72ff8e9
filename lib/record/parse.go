package record

import (
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/tomlfile"
)

// MaxNoteBytes is the maximum length in bytes of a note, and of the name and
// value of a label.
const MaxNoteBytes = 1024

// MaxLabels is the maximum number of labels of a record.
const MaxLabels = 32

// ParseFile parses the records of a file. Each is a table [[record]]. The error
// is of type tomlfile.Mistakes and contains all mistakes in the file.
func ParseFile(name string, data []byte) ([]Record, error) {
	tree, err := tomlfile.Parse(data)
	if err != nil {
		return nil, err.(tomlfile.Mistakes).WithFile(name)
	}
	var mistakes tomlfile.Mistakes
	for _, field := range tree.Root().Names() {
		if field != "record" {
			n, _ := tree.Root().Get(field)
			mistakes.Add(n.Line(""), problem.Detail{Field: field, Limit: "only tables [[record]]",
				Remedy: "put the field below a line [[record]]"})
		}
	}
	list, _ := tree.Root().Get("record")
	items, ok := list.Items()
	if !ok || len(items) == 0 {
		mistakes.Add(0, problem.Detail{Field: "record", Limit: "at least one table [[record]]", Remedy: "start each record with [[record]]"})
	}
	records := make([]Record, 0, len(items))
	lines := make(map[Key]bool)
	for _, n := range items {
		r, m := parseNode(n)
		mistakes = append(mistakes, m...)
		if len(m) > 0 {
			continue
		}
		if lines[r.key] {
			mistakes.Add(n.Line(""), problem.Detail{Field: "record", Value: r.key.String(), Limit: "at most one record for each key in a file", Remedy: "remove one of the two records"})
		}
		lines[r.key] = true
		records = append(records, r)
	}
	if len(mistakes) > 0 {
		return nil, mistakes.WithFile(name)
	}
	return records, nil
}

// Parse parses one record without a line [[record]], as Record.Text returns it.
func Parse(text string) (Record, error) {
	tree, err := tomlfile.Parse([]byte(text))
	if err != nil {
		return Record{}, err
	}
	r, m := parseNode(tree.Root())
	return r, m.Err()
}

func parseNode(n tomlfile.Node) (Record, tomlfile.Mistakes) {
	b, mistakes := emptyBody(n)
	if b == nil {
		return Record{}, mistakes
	}
	r := &report{node: n}
	n.Fill(b, &r.mistakes)
	r.record = keyOf(b)
	r.unparsed = make(map[string]bool)
	for i, m := range r.mistakes {
		r.unparsed[m.Field] = true
		r.mistakes[i].Field = r.qualifiedField(m.Field)
	}
	r.checkID("name", r.record.Name)
	if v2, ok := b.(bodyV2); ok {
		checkHeaderV2(r, v2.headerV2())
	}
	b.check(r)
	if len(r.mistakes) > 0 {
		return Record{}, r.mistakes
	}
	return newRecord(b), nil
}

// emptyBody returns an empty body of the type for the node's schema version and
// kind.
func emptyBody(n tomlfile.Node) (body, tomlfile.Mistakes) {
	var mistakes tomlfile.Mistakes
	schema, _ := n.Get("schema")
	kind, _ := n.Get("kind")
	if !Schema(schema.Text()).Valid() {
		d := problem.As(unknownSchema("schema", Schema(schema.Text()))).Detail
		mistakes.Add(n.Line("schema"), d)
	}
	f, ok := constructorsByKind[Kind(kind.Text())]
	if !ok {
		mistakes.Add(n.Line("kind"), problem.Detail{Field: "kind", Value: kind.Text(),
			Limit: "operator, account, guarantee, service, zone, policy, objective or job", Remedy: "choose one of these kinds"})
	}
	switch {
	case len(mistakes) > 0:
		return nil, mistakes
	case Schema(schema.Text()) == V1:
		return f.v1(), nil
	}
	return f.v2(), nil
}

func checkHeaderV2(r *report, h *HeaderV2) {
	if len(h.Note) > MaxNoteBytes {
		r.add("note", "", "at most 1024 bytes", "shorten the note")
	}
	if len(h.Labels) > MaxLabels {
		r.add("labels", "", "at most 32 labels", "remove labels")
	}
	for name, value := range h.Labels {
		if name == "" || len(name) > MaxNoteBytes || len(value) > MaxNoteBytes {
			r.add("labels", name, "1 to 1024 bytes a name, at most 1024 bytes a value", "shorten the label")
		}
	}
}
