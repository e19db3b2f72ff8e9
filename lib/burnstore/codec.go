package burnstore

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"time"

	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"

	"github.com/fxamacker/cbor/v2"
)

// format is the version of the encoding. Decode returns an error for any other
// version, and readers skip such values.
const format = 1

// maxDecodedSize is the maximum size of a decompressed value.
const maxDecodedSize = 32 * unit.MiB

// wireSnapshot is the stored form of a snapshot, encoded as compressed CBOR. Each
// name is stored once, and rows refer to it by its position in Names. The index
// of a bucket is stored as the difference from the previous bucket's.
type wireSnapshot struct {
	_        struct{} `cbor:",toarray"`
	Format   int
	Node     id.Node
	Process  burn.ProcessID
	Seq      uint64
	At       int64 // seconds since 1970
	Names    []string
	Rows     []wireRow
	Examples []wireExamples
}

type wireMeasure struct {
	_                struct{} `cbor:",toarray"`
	Indicator, Class int
}

type wireRow struct {
	_                    struct{} `cbor:",toarray"`
	Measure              wireMeasure
	Account, Zone, Cause int
	// Buckets has three values for each bucket of each resolution: the index
	// difference and the numbers of good and bad events.
	Buckets [burn.NumResolutions][]int64
}

type wireExamples struct {
	_          struct{} `cbor:",toarray"`
	Measure    wireMeasure
	Resolution burn.Resolution
	Index      burn.BucketIndex
	List       []wireExample
}

type wireExample struct {
	_                    struct{} `cbor:",toarray"`
	Job                  id.Job
	Request              id.Request
	Revision             id.Revision
	Account, Zone, Cause int
	At                   int64 // seconds since 1970
}

// nameTable assigns a position to each distinct name of a snapshot.
type nameTable struct {
	list      []string
	positions map[string]int
}

// index returns the position of a name, and adds the name if it is new.
func (t *nameTable) index(name string) int {
	i, ok := t.positions[name]
	if !ok {
		i = len(t.list)
		t.positions[name] = i
		t.list = append(t.list, name)
	}
	return i
}

func (t *nameTable) measure(m record.Measure) wireMeasure {
	return wireMeasure{Indicator: t.index(string(m.Indicator)), Class: t.index(string(m.Class))}
}

// Encode encodes a snapshot.
func Encode(s burn.Snapshot) ([]byte, error) {
	table := nameTable{positions: make(map[string]int)}
	wire := wireSnapshot{Format: format, Node: s.Node, Process: s.Process, Seq: s.Seq, At: s.At.Unix()}
	for _, r := range s.Rows {
		row := wireRow{Measure: table.measure(r.Key.Measure), Account: table.index(string(r.Key.Account)), Zone: table.index(string(r.Key.Zone)), Cause: table.index(string(r.Key.Cause))}
		for res, buckets := range r.Buckets {
			previous := burn.Resolution(res).BucketAt(s.At)
			for _, b := range buckets {
				row.Buckets[res] = append(row.Buckets[res], int64(b.Index-previous), int64(b.Good), int64(b.Bad))
				previous = b.Index
			}
		}
		wire.Rows = append(wire.Rows, row)
	}
	for _, x := range s.Examples {
		list := wireExamples{Measure: table.measure(x.Measure), Resolution: x.Resolution, Index: x.Index}
		for _, e := range x.List {
			list.List = append(list.List, wireExample{Job: e.Job, Request: e.Request, Revision: e.Revision,
				Account: table.index(string(e.Account)), Zone: table.index(string(e.Zone)), Cause: table.index(string(e.Cause)), At: e.At.Unix()})
		}
		wire.Examples = append(wire.Examples, list)
	}
	wire.Names = table.list
	var out bytes.Buffer
	z, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if err := cbor.NewEncoder(z).Encode(wire); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func invalid(limit string) error {
	return problem.New(problem.Invalid, problem.Detail{Field: "burn counts", Limit: limit,
		Remedy: "upgrade this node, or delete the key; the node that wrote it will write it again"})
}

// Decode decodes a snapshot that Encode encoded. It returns an Invalid error for
// any other data.
func Decode(data []byte) (burn.Snapshot, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), int64(maxDecodedSize)))
	if err != nil {
		return burn.Snapshot{}, invalid("compressed CBOR")
	}
	var wire wireSnapshot
	if err := decMode.Unmarshal(plain, &wire); err != nil || wire.Format != format {
		return burn.Snapshot{}, invalid(fmt.Sprint("CBOR of format ", format))
	}
	s := burn.Snapshot{Node: wire.Node, Process: wire.Process, Seq: wire.Seq, At: time.Unix(wire.At, 0).UTC()}
	d := decoder{names: wire.Names, at: s.At}
	for _, r := range wire.Rows {
		s.Rows = append(s.Rows, d.row(r))
	}
	for _, x := range wire.Examples {
		s.Examples = append(s.Examples, d.examples(x))
	}
	if d.malformed {
		return burn.Snapshot{}, invalid("valid positions of names, buckets of three values, known resolutions")
	}
	return s, nil
}

// decoder converts stored rows and examples. It sets malformed if a value is out
// of range.
type decoder struct {
	names     []string
	at        time.Time
	malformed bool
}

func (d *decoder) name(i int) string {
	if i < 0 || i >= len(d.names) {
		d.malformed = true
		return ""
	}
	return d.names[i]
}

func (d *decoder) measure(m wireMeasure) record.Measure {
	return record.Measure{Indicator: record.Indicator(d.name(m.Indicator)), Class: record.SizeClass(d.name(m.Class))}
}

func (d *decoder) row(r wireRow) burn.Row {
	row := burn.Row{Key: burn.Key{Measure: d.measure(r.Measure), Account: id.Account(d.name(r.Account)), Zone: id.Zone(d.name(r.Zone)), Cause: burn.Cause(d.name(r.Cause))}}
	for res, values := range r.Buckets {
		previous := burn.Resolution(res).BucketAt(d.at)
		for ; len(values) >= 3; values = values[3:] {
			previous += burn.BucketIndex(values[0])
			row.Buckets[res] = append(row.Buckets[res], burn.Bucket{Index: previous, Good: uint32(values[1]), Bad: uint32(values[2])})
		}
		d.malformed = d.malformed || len(values) != 0
	}
	return row
}

func (d *decoder) examples(x wireExamples) burn.Examples {
	d.malformed = d.malformed || x.Resolution < 0 || int(x.Resolution) >= burn.NumResolutions
	list := burn.Examples{Measure: d.measure(x.Measure), Resolution: x.Resolution, Index: x.Index}
	for _, e := range x.List {
		list.List = append(list.List, burn.Example{Ref: burn.Ref{Job: e.Job, Request: e.Request, Revision: e.Revision},
			Account: id.Account(d.name(e.Account)), Zone: id.Zone(d.name(e.Zone)), Cause: burn.Cause(d.name(e.Cause)), At: time.Unix(e.At, 0).UTC()})
	}
	return list
}
