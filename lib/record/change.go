package record

import (
	"fmt"
	"time"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"

	"github.com/fxamacker/cbor/v2"
)

// ChangeID identifies a change set. The operator's client chooses it at random
// and sends the same one when it retries the change.
type ChangeID string

// Item is one record in a change set, in the schema version in which the
// operator wrote it.
type Item struct {
	Key Key `cbor:"1,keyasint"`
	// Base is the revision of the record that the change is based on, 0 for a
	// new record.
	Base id.Revision `cbor:"2,keyasint"`
	// Text is the record as TOML. It is empty if the change removes the record.
	Text string `cbor:"3,keyasint,omitempty"`
}

// Change is a set of records that is accepted or rejected as a whole.
type Change struct {
	ID     ChangeID    `cbor:"1,keyasint"`
	Author id.Operator `cbor:"2,keyasint"`
	At     time.Time   `cbor:"3,keyasint"`
	Items  []Item      `cbor:"4,keyasint"`
	// Copies is set by the node that accepts the change, for all guarantees
	// without a zone.
	Copies []CopyZones `cbor:"5,keyasint,omitempty"`
}

// CopyZones lists the zones to which the copies of a guarantee without a zone
// are bound. The accepting node chooses them. Later changes keep them if
// possible, because claims may occupy workers in these zones.
type CopyZones struct {
	Account id.Account `cbor:"1,keyasint" json:"account"`
	Name    id.Shape   `cbor:"2,keyasint" json:"name"`
	// Zones has the zone of each copy, by the index of the copy.
	Zones []id.Zone `cbor:"3,keyasint" json:"zones"`
}

// Put adds a record to the change, with the record's base revision.
func (c *Change) Put(r Record) {
	c.Items = append(c.Items, Item{Key: r.key, Base: r.BaseRevision(), Text: r.text})
}

// Remove adds the removal of a record.
func (c *Change) Remove(k Key, base id.Revision) {
	c.Items = append(c.Items, Item{Key: k, Base: base})
}

// Limits of a change set.
const (
	MaxItems      = 1000
	MaxChangeSize = 512 << 10 // bytes of text; half of the maximum value size of the key-value service
	maxChangeID   = 64
)

// Check returns an Invalid error for the first part of the change that exceeds
// a limit. It does not check the change against a set of records.
func (c Change) Check() error {
	if err := id.Check("changeId", string(c.ID)); err != nil {
		return err
	}
	if err := id.Check("author", string(c.Author)); err != nil {
		return err
	}
	if len(c.Items) == 0 || len(c.Items) > MaxItems {
		return invalid("items", fmt.Sprint(len(c.Items)), "1 to 1000 records", "split the change")
	}
	size, seen := 0, make(map[Key]bool)
	for _, it := range c.Items {
		size += len(it.Text)
		if seen[it.Key] {
			return invalid("record", it.Key.String(), "at most one item for each record", "remove one of the two items")
		}
		seen[it.Key] = true
	}
	if size > MaxChangeSize {
		return invalid("items", fmt.Sprintf("%d bytes", size), "512 KiB", "split the change")
	}
	return nil
}

func invalid(field, value, limit, remedy string) error {
	return problem.New(problem.Invalid, problem.Detail{Field: field, Value: value, Limit: limit, Remedy: remedy})
}

// The format versions of encoded values. Decoding fails for any other version.
const (
	changeFormat = 1
	setFormat    = 1
)

// envelope is an encoded value with its format version.
type envelope struct {
	Format int             `cbor:"1,keyasint"`
	Value  cbor.RawMessage `cbor:"2,keyasint"`
}

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode[T any](format int, v T) ([]byte, error) {
	raw, err := codec.CBOR.Marshal(v)
	if err != nil {
		return nil, err
	}
	return codec.CBOR.Marshal(envelope{Format: format, Value: raw})
}

func decode[T any](what string, format int, data []byte) (T, error) {
	var e envelope
	var v T
	if err := decMode.Unmarshal(data, &e); err != nil {
		return v, invalid(what, fmt.Sprintf("%d bytes", len(data)), "CBOR", "read the entry again; if the error persists, restore the journal")
	}
	if e.Format != format {
		return v, invalid(what+".format", fmt.Sprint(e.Format), fmt.Sprint(format), "upgrade this node to a release that supports the format")
	}
	if err := decMode.Unmarshal(e.Value, &v); err != nil {
		return v, invalid(what, fmt.Sprintf("%d bytes", len(e.Value)), "CBOR of format "+fmt.Sprint(format), "read the entry again; if the error persists, restore the journal")
	}
	return v, nil
}

// Encode encodes the change for the journal.
func (c Change) Encode() ([]byte, error) { return encode(changeFormat, c) }

// DecodeChange decodes a change that Change.Encode encoded.
func DecodeChange(data []byte) (Change, error) { return decode[Change]("change", changeFormat, data) }
