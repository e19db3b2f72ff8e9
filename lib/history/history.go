// Package history stores decision records in the key-value service, so that they
// remain available after the journal of their shard has been truncated. The owner
// of a zone's shard writes them in batches, as immutable segments; any node can
// read them.
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

// Position is a position in the order in which a zone's records were made.
type Position struct {
	Epoch   id.Epoch
	Version uint64
}

// PositionOf returns the position of a record.
func PositionOf(r decision.Record) Position { return Position{r.Epoch, r.Version} }

// Compare returns a negative number if p comes before q, zero if they are equal,
// and a positive number otherwise.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Version, q.Version))
}

// identity uniquely identifies a record within its zone. Epoch, version and job
// are not sufficient, because two decisions about a job can have the same
// version, for example if only the configuration changed in between. The record
// of a worker's state change has no job; it is identified by the worker.
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

// Merge returns the records of one zone from two sources, sorted by position and
// without duplicates. The records of the owner and of the segments overlap.
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

// dayKey returns the key prefix of a day's segments. The day is that of the
// decisions in UTC, so that a reader finds records by time with a range of keys.
func dayKey(zone id.Zone, at time.Time) string {
	return zonePrefix(zone) + at.UTC().Format(dayFormat)
}

// segmentKey returns the key of a segment, made from the position of its first
// record. The checksum distinguishes segments that begin at the same position.
func segmentKey(zone id.Zone, at time.Time, first Position, sum uint32) string {
	return fmt.Sprintf("%s/%016x-%016x-%08x", dayKey(zone, at), uint64(first.Epoch), first.Version, sum)
}

// dayOf parses the day from the key of a segment.
func dayOf(zone id.Zone, key string) (time.Time, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(key, zonePrefix(zone)), "/")
	if !ok {
		return time.Time{}, false
	}
	at, err := time.Parse(dayFormat, text)
	return at, err == nil
}
