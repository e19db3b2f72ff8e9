// Package history keeps decision records in the key-value service after the
// journal of their shard has dropped them. The owner of a zone's shard writes
// them in batches, as segments that never change; any node reads them.
package history

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
)

const (
	root      = "history/"
	dayFormat = "20060102"
	day       = 24 * time.Hour
)

// Position is a place in the order in which a zone's records were made.
type Position struct {
	Epoch   id.Epoch
	Version uint64
}

// PositionOf returns the position of a record.
func PositionOf(r decision.Record) Position { return Position{r.Epoch, r.Version} }

// Compare is negative when p comes before q, and zero when they are the same.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Version, q.Version))
}

// identity tells a record from all others of its zone. The state can be the
// same for two decisions about a job, for example when only the configuration
// changed, so that epoch, version and job are not enough. A worker's change of
// state names no job.
type identity struct {
	Position
	job      id.Job
	worker   id.Worker
	attempt  int
	revision id.Revision
	rule     decision.Rule
	at       int64
}

func identityOf(r decision.Record) identity {
	k := identity{Position: PositionOf(r), job: r.Job, attempt: r.Attempt, revision: r.Revision, rule: r.Rule, at: r.At.UnixNano()}
	if r.Job == "" && len(r.Members) > 0 {
		k.worker = r.Members[0].Worker
	}
	return k
}

// Merge returns records of one zone from two sources in order of position, each
// once: what the owner has and what the segments have overlap.
func Merge(a, b []decision.Record) []decision.Record {
	seen := make(map[identity]bool, len(a)+len(b))
	var out []decision.Record
	for _, r := range slices.Concat(a, b) {
		if k := identityOf(r); !seen[k] {
			seen[k] = true
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b decision.Record) int { return PositionOf(a).Compare(PositionOf(b)) })
	return out
}

func zonePrefix(zone id.Zone) string { return root + string(zone) + "/" }

// dayKey returns the start of the keys of a day's segments. The day is that of
// the records by UTC, so that a reader finds records by time in order of key.
func dayKey(zone id.Zone, at time.Time) string {
	return zonePrefix(zone) + at.UTC().Format(dayFormat)
}

// segmentKey names a segment by its first record. The checksum tells two
// segments apart that begin at the same position.
func segmentKey(zone id.Zone, at time.Time, first Position, sum uint32) string {
	return fmt.Sprintf("%s/%016x-%016x-%08x", dayKey(zone, at), uint64(first.Epoch), first.Version, sum)
}

// dayOf returns the day in a segment's key.
func dayOf(zone id.Zone, key string) (time.Time, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(key, zonePrefix(zone)), "/")
	if !ok {
		return time.Time{}, false
	}
	at, err := time.Parse(dayFormat, text)
	return at, err == nil
}
