package requestshard

import (
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/once"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/problem"

	"github.com/fxamacker/cbor/v2"
)

// itemVersion is the version of journal items and snapshots. Readers reject other
// versions: skipping an item could let a request run twice.
const itemVersion = 1

// wireItem is the encoded form of an item.
type wireItem struct {
	Version     int               `cbor:"version"`
	Kind        once.Kind         `cbor:"kind"`
	ID          id.Request        `cbor:"id"`
	Run         once.RunNumber    `cbor:"run"`
	At          int64             `cbor:"at"` // Unix time in milliseconds
	Fingerprint *once.Fingerprint `cbor:"fingerprint,omitempty"`
	Outcome     outcome.Outcome   `cbor:"outcome,omitempty"`
	Node        id.Node           `cbor:"node,omitempty"`
}

// wireSnapshot is the encoded form of a snapshot.
type wireSnapshot struct {
	Version int        `cbor:"version"`
	Items   []wireItem `cbor:"items"`
}

func toWire(item once.Item) wireItem {
	w := wireItem{Version: itemVersion, Kind: item.Kind, ID: item.ID, Run: item.Run, At: item.At.UnixMilli(),
		Outcome: item.Outcome, Node: item.Node}
	if item.Kind == once.Intent {
		w.Fingerprint = &item.Fingerprint
	}
	return w
}

func (w wireItem) item() (once.Item, error) {
	item := once.Item{Kind: w.Kind, ID: w.ID, Run: w.Run, At: time.UnixMilli(w.At), Outcome: w.Outcome, Node: w.Node}
	switch {
	case w.Version != itemVersion:
		return item, invalidItem("version", "update this node; it can't read this format version")
	case w.ID == "" || w.Run == 0:
		return item, invalidItem("id or run", "the journal is damaged; restore it")
	case w.Kind == once.Intent && w.Fingerprint != nil:
		item.Fingerprint = *w.Fingerprint
		return item, nil
	case w.Kind == once.Completion:
		if _, ok := outcome.Parse(string(w.Outcome)); ok {
			return item, nil
		}
	}
	return item, invalidItem("kind or outcome", "the journal is damaged; restore it")
}

// EncodeItem encodes an item for the journal.
func EncodeItem(item once.Item) ([]byte, error) { return cbor.Marshal(toWire(item)) }

// DecodeItem decodes an item of the journal. It returns an Invalid error for an item
// that is damaged or has another version.
func DecodeItem(b []byte) (once.Item, error) {
	var w wireItem
	if err := cbor.Unmarshal(b, &w); err != nil {
		return once.Item{}, invalidItem("encoding", err.Error())
	}
	return w.item()
}

// EncodeSnapshot encodes the items of a table as a snapshot for the journal.
func EncodeSnapshot(items []once.Item) ([]byte, error) {
	s := wireSnapshot{Version: itemVersion, Items: make([]wireItem, len(items))}
	for i, item := range items {
		s.Items[i] = toWire(item)
	}
	return cbor.Marshal(s)
}

// DecodeSnapshot decodes the items of a snapshot. It returns an Invalid error for a
// snapshot that is damaged or has another version.
func DecodeSnapshot(b []byte) ([]once.Item, error) {
	var s wireSnapshot
	if err := cbor.Unmarshal(b, &s); err != nil {
		return nil, invalidItem("encoding", err.Error())
	}
	if s.Version != itemVersion {
		return nil, invalidItem("version", "update this node; it can't read this format version")
	}
	items := make([]once.Item, len(s.Items))
	for i, w := range s.Items {
		var err error
		if items[i], err = w.item(); err != nil {
			return nil, err
		}
	}
	return items, nil
}

func invalidItem(field, remedy string) error {
	return problem.New(problem.Invalid, problem.Detail{Field: "journal item " + field, Remedy: remedy})
}
