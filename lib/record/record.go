package record

import (
	"fmt"
	"slices"
	"strings"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/tomlfile"

	"github.com/pelletier/go-toml/v2"
)

// Schema is the version of the TOML fields of a record.
type Schema string

// The schema versions. Records in either version can be read and written.
const (
	V1 Schema = "v1"
	V2 Schema = "v2"
)

// Valid reports whether s is one of the schema versions.
func (s Schema) Valid() bool { return s == V1 || s == V2 }

// Key identifies a record. Account is set for guarantees only, because their
// names are unique only within their account.
type Key struct {
	Kind    Kind       `json:"kind"`
	Account id.Account `json:"account,omitempty"`
	Name    string     `json:"name"`
}

// ParseKey parses "kind/name", or "guarantee/account/name".
func ParseKey(s string) (Key, error) {
	parts := strings.Split(s, "/")
	k := Key{Kind: Kind(parts[0])}
	switch {
	case k.Kind == KindGuarantee && len(parts) == 3:
		k.Account, k.Name = id.Account(parts[1]), parts[2]
	case k.Kind != KindGuarantee && len(parts) == 2:
		k.Name = parts[1]
	default:
		k.Kind = ""
	}
	if _, ok := constructorsByKind[k.Kind]; !ok {
		return Key{}, problem.New(problem.Invalid, problem.Detail{Field: "record", Value: s,
			Limit: "KIND/NAME or guarantee/ACCOUNT/NAME", Remedy: "use a name as `bronzewinch get` lists it"})
	}
	return k, nil
}

// String formats the key in the form that ParseKey accepts.
func (k Key) String() string {
	if k.Kind == KindGuarantee {
		return fmt.Sprintf("%s/%s/%s", k.Kind, k.Account, k.Name)
	}
	return fmt.Sprintf("%s/%s", k.Kind, k.Name)
}

// Header contains the fields of all kinds and schema versions.
type Header struct {
	Schema Schema `toml:"schema"`
	Kind   Kind   `toml:"kind"`
	Name   string `toml:"name"`
	// BaseRevision is the revision of the record that a change is based on, 0
	// for a new record. It belongs to the change and is not part of the
	// record's text.
	BaseRevision id.Revision `toml:"baseRevision,omitempty"`
}

func (h *Header) header() *Header { return h }

// HeaderV2 adds the fields that all kinds have in schema v2.
type HeaderV2 struct {
	Header
	Labels map[string]string `toml:"labels,omitempty"`
	Note   string            `toml:"note,omitempty"`
}

func (h *HeaderV2) headerV2() *HeaderV2 { return h }

// body is the content of a record of one kind in one schema version.
type body interface {
	header() *Header
	// check reports the fields with invalid values.
	check(r *report)
}

// bodyV1 is a body in schema v1.
type bodyV1 interface {
	body
	// toV2 can't fail, because schema v2 can express all that v1 can.
	toV2() bodyV2
}

// bodyV2 is a body in schema v2.
type bodyV2 interface {
	body
	headerV2() *HeaderV2
	// toV1 reports the fields that schema v1 can't express.
	toV1(r *report) bodyV1
	// addTo adds the record's configuration to the maps of a set, and
	// removeFrom removes it.
	addTo(s *Set)
	removeFrom(s *Set)
}

// bodyConstructors has the constructors of empty bodies of a kind.
type bodyConstructors struct {
	v1 func() bodyV1
	v2 func() bodyV2
}

var constructorsByKind = map[Kind]bodyConstructors{
	KindOperator:  {func() bodyV1 { return new(OperatorV1) }, func() bodyV2 { return new(OperatorV2) }},
	KindAccount:   {func() bodyV1 { return new(AccountV1) }, func() bodyV2 { return new(AccountV2) }},
	KindGuarantee: {func() bodyV1 { return new(GuaranteeV1) }, func() bodyV2 { return new(GuaranteeV2) }},
	KindService:   {func() bodyV1 { return new(ServiceV1) }, func() bodyV2 { return new(ServiceV2) }},
	KindZone:      {func() bodyV1 { return new(ZoneV1) }, func() bodyV2 { return new(ZoneV2) }},
	KindPolicy:    {func() bodyV1 { return new(PolicyV1) }, func() bodyV2 { return new(PolicyV2) }},
	KindObjective: {func() bodyV1 { return new(ObjectiveV1) }, func() bodyV2 { return new(ObjectiveV2) }},
	KindJob:       {func() bodyV1 { return new(JobV1) }, func() bodyV2 { return new(JobV2) }},
}

// Kinds returns the kinds of records, sorted by name.
func Kinds() []Kind {
	var kinds []Kind
	for k := range constructorsByKind {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}

// Record is one valid record, in the schema version in which it was written.
type Record struct {
	body body
	key  Key
	text string
}

func newRecord(b body) Record {
	h := *b.header()
	b.header().BaseRevision = 0
	text, err := toml.Marshal(b)
	*b.header() = h
	if err != nil {
		// The bodies contain only types that the TOML library can encode.
		panic(fmt.Sprintf("record: format %s %q as TOML: %v", h.Kind, h.Name, err))
	}
	return Record{body: b, key: keyOf(b), text: string(text)}
}

func keyOf(b body) Key {
	k := Key{Kind: b.header().Kind, Name: b.header().Name}
	switch g := b.(type) {
	case *GuaranteeV1:
		k.Account = g.Account
	case *GuaranteeV2:
		k.Account = g.Account
	}
	return k
}

// Key returns the key of the record.
func (r Record) Key() Key { return r.key }

// Schema returns the schema version of the record.
func (r Record) Schema() Schema { return r.body.header().Schema }

// BaseRevision returns the revision that the record is based on, 0 for a new record.
func (r Record) BaseRevision() id.Revision { return r.body.header().BaseRevision }

// Text returns the record as TOML without its base revision. Records with equal
// content in the same schema version have equal texts.
func (r Record) Text() string { return r.text }

// Convert returns the record in a schema version. If that version can't express
// some fields, the error names these fields and the record.
func (r Record) Convert(s Schema) (Record, error) {
	if !s.Valid() {
		return Record{}, unknownSchema("schema", s)
	}
	if s == r.Schema() {
		return r, nil
	}
	if b, ok := r.body.(bodyV1); ok {
		return newRecord(upgrade(b)), nil
	}
	b := r.body.(bodyV2)
	rep := &report{record: r.key}
	v1 := downgrade(b, rep)
	if err := rep.mistakes.Err(); err != nil {
		return Record{}, err
	}
	return newRecord(v1), nil
}

func upgrade(b bodyV1) bodyV2 {
	v2 := b.toV2()
	*v2.header() = *b.header()
	v2.header().Schema = V2
	return v2
}

func downgrade(b bodyV2, r *report) bodyV1 {
	x := b.headerV2()
	if len(x.Labels) > 0 {
		r.addUnsupported("labels", fmt.Sprintf("%d labels", len(x.Labels)), "no labels")
	}
	if x.Note != "" {
		r.addUnsupported("note", x.Note, "no note")
	}
	v1 := b.toV1(r)
	*v1.header() = *b.header()
	v1.header().Schema = V1
	return v1
}

// asV2 returns the body in schema v2, from which sets are built.
func (r Record) asV2() bodyV2 {
	if b, ok := r.body.(bodyV1); ok {
		return upgrade(b)
	}
	return r.body.(bodyV2)
}

func unknownSchema(field string, s Schema) error {
	return problem.New(problem.Invalid, problem.Detail{Field: field, Value: string(s), Limit: "v1 or v2",
		Remedy: "choose one of these schema versions"})
}

// report collects the mistakes in one record.
type report struct {
	record   Key
	node     tomlfile.Node
	mistakes tomlfile.Mistakes
	// unparsed has the fields whose values could not be parsed. Their Go values
	// are zero, so checks of their limits would report misleading mistakes.
	unparsed map[string]bool
}

// add reports a mistake in a field, unless the field or one that contains it
// could not be parsed.
func (r *report) add(field, value, limit, remedy string) {
	for end, at := range field + "." {
		if (at == '.' || at == '[') && r.unparsed[field[:end]] {
			return
		}
	}
	r.mistakes.Add(r.node.Line(field), problem.Detail{Field: r.qualifiedField(field), Value: value, Limit: limit, Remedy: remedy})
}

// qualifiedField returns the field with the record's key, if it is known.
func (r *report) qualifiedField(field string) string {
	if r.record.Name == "" {
		return field
	}
	return r.record.String() + " " + field
}

// addUnsupported reports a field that schema v1 can't express.
func (r *report) addUnsupported(field, value, limit string) {
	r.add(field, value, "schema v1: "+limit, "keep the record in schema v2")
}

// checkID reports a name that is not a valid identifier.
func (r *report) checkID(field, name string) {
	if err := id.Check(field, name); err != nil {
		d := problem.As(err).Detail
		r.add(field, d.Value, d.Limit, d.Remedy)
	}
}

// checkRange reports a value outside the limits.
func checkRange[T ~int | ~int64 | ~float64](r *report, field string, v, low, high T) {
	if !(v >= low && v <= high) {
		r.add(field, fmt.Sprint(v), fmt.Sprintf("%v to %v", low, high), "give a value within the limits")
	}
}
