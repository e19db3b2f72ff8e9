package predict

import (
	"cmp"
	"maps"
	"slices"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/problem"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// snapshotVersion changes when the meaning of groups or sketches changes.
	snapshotVersion = 1
	// maxSnapshotGroups bounds a snapshot to about 30 KB.
	maxSnapshotGroups = 64
)

type snapshot struct {
	Version int             `cbor:"1,keyasint"`
	Groups  []groupSnapshot `cbor:"2,keyasint"`
}

type groupSnapshot struct {
	Key    key    `cbor:"1,keyasint"`
	Times  []byte `cbor:"2,keyasint"`
	Ratios []byte `cbor:"3,keyasint"`
}

// Snapshot encodes the groups that have learned last.
func (p *Predictor) Snapshot() ([]byte, error) {
	keys := slices.SortedFunc(maps.Keys(p.groups), func(a, b key) int {
		return cmp.Or(-cmp.Compare(p.groups[a].learned, p.groups[b].learned), -cmp.Compare(a.Level, b.Level))
	})
	s := snapshot{Version: snapshotVersion}
	for _, k := range keys[:min(len(keys), maxSnapshotGroups)] {
		g := groupSnapshot{Key: k}
		p.groups[k].times.Encode(&g.Times, false)
		p.groups[k].ratios.Encode(&g.Ratios, false)
		s.Groups = append(s.Groups, g)
	}
	return codec.CBOR.Marshal(s)
}

// Restore replaces what the predictor has learned by a snapshot. It returns an error, and
// changes nothing, if the snapshot is of another version or can't be decoded.
func (p *Predictor) Restore(b []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "snapshot of run times")
	}
	if s.Version != snapshotVersion || len(s.Groups) > maxGroups {
		return problem.New(problem.Invalid, problem.Detail{Field: "snapshot of run times", Remedy: "let the owner write a new one; it is ignored"})
	}
	groups := make(map[key]*group, len(s.Groups))
	for i, g := range s.Groups {
		times, err := decodeSketch(g.Times)
		if err != nil {
			return err
		}
		ratios, err := decodeSketch(g.Ratios)
		if err != nil {
			return err
		}
		groups[g.Key] = &group{times: times, ratios: ratios, learned: uint64(len(s.Groups) - i)}
	}
	p.groups, p.learned = groups, uint64(len(s.Groups))
	return nil
}

func decodeSketch(b []byte) (s *ddsketch.DDSketch, err error) {
	defer func() {
		if cause := recover(); cause != nil { // the library indexes by decoded numbers
			err = problem.New(problem.Invalid, problem.Detail{Field: "sketch of run times", Remedy: "let the owner write a new one; it is ignored"})
		}
	}()
	s, err = ddsketch.DecodeDDSketch(b, func() store.Store { return store.NewCollapsingLowestDenseStore(maxBins) }, nil)
	if err == nil && !s.IndexMapping.Equals(newSketch().IndexMapping) {
		err = problem.New(problem.Invalid, problem.Detail{Field: "accuracy of a sketch", Remedy: "let the owner write a new one; it is ignored"})
	}
	return s, errors.Wrap(err, "sketch of run times")
}
