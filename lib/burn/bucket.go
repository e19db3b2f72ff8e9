package burn

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"bronzewinch.dev/lib/problem"
)

// Resolution is a width of time buckets. Each event counts on every level.
type Resolution int

// The levels, the narrowest first.
const (
	FiveMinutes Resolution = iota
	Hours
	Days
	numResolutions
)

// NumResolutions is the number of levels.
const NumResolutions = int(numResolutions)

// retainedBuckets is how many buckets of each level cover the longest window that is
// computed from it, with one more because the present bucket has only begun:
// 1 hour, 3 days and 31 days.
var retainedBuckets = [NumResolutions]BucketIndex{13, 73, 32}

// BucketWidth returns the length of a bucket.
func (r Resolution) BucketWidth() time.Duration {
	return [NumResolutions]time.Duration{5 * time.Minute, time.Hour, 24 * time.Hour}[r]
}

// BucketAt returns the bucket that a time falls into.
func (r Resolution) BucketAt(t time.Time) BucketIndex {
	return BucketIndex(t.Unix() / int64(r.BucketWidth()/time.Second))
}

// BucketStart returns the first moment of a bucket.
func (r Resolution) BucketStart(i BucketIndex) time.Time {
	return time.Unix(int64(i)*int64(r.BucketWidth()/time.Second), 0).UTC()
}

// oldestRetained returns the oldest bucket that is kept.
func (r Resolution) oldestRetained(now time.Time) BucketIndex {
	return r.BucketAt(now) - retainedBuckets[r] + 1
}

// BucketIndex numbers the buckets of a level since 1970.
type BucketIndex int32

// Bucket counts the events of one key in one bucket. The counts stop at their
// greatest value.
type Bucket struct {
	Index     BucketIndex
	Good, Bad uint32
}

// bucketList holds the buckets of one level that are not empty, the oldest first.
type bucketList []Bucket

// add counts in a bucket and drops the buckets before oldest. A clock that
// was set back counts in the bucket that it shows.
func (l bucketList) add(i, oldest BucketIndex, good, bad uint32) bucketList {
	if i < oldest {
		return l
	}
	at := len(l)
	for at > 0 && l[at-1].Index > i {
		at--
	}
	if at == 0 || l[at-1].Index != i {
		at -= l.countBefore(oldest)
		l = slices.Insert(l.dropBefore(oldest), at, Bucket{Index: i})
		at++
	}
	b := &l[at-1]
	b.Good, b.Bad = saturatingAdd(b.Good, good), saturatingAdd(b.Bad, bad)
	return l
}

func saturatingAdd(a, b uint32) uint32 {
	if a > math.MaxUint32-b {
		return math.MaxUint32
	}
	return a + b
}

func (l bucketList) countBefore(oldest BucketIndex) int {
	n := 0
	for n < len(l) && l[n].Index < oldest {
		n++
	}
	return n
}

// dropBefore returns the ring without the buckets before oldest. It moves the
// others to the front, so that the memory is used again.
func (l bucketList) dropBefore(oldest BucketIndex) bucketList {
	return slices.Delete(l, 0, l.countBefore(oldest))
}

// Window is a length of time over which a burn rate is computed.
type Window time.Duration

// The windows that every objective has, besides its own.
const (
	Window5m = Window(5 * time.Minute)
	Window1h = Window(time.Hour)
	Window6h = Window(6 * time.Hour)
	Window3d = Window(72 * time.Hour)
)

// Resolution returns the level that the window is computed from.
func (w Window) Resolution() Resolution {
	switch {
	case w <= Window1h:
		return FiveMinutes
	case w <= Window3d:
		return Hours
	}
	return Days
}

// firstBucket returns the first bucket of the window. A window is made of whole
// buckets, so it is up to one bucket longer than its name says.
func (w Window) firstBucket(now time.Time) BucketIndex {
	return w.Resolution().BucketAt(now.Add(-time.Duration(w)))
}

const day = 24 * time.Hour

// String writes the window as "5m", "1h", "3d" or "30d".
func (w Window) String() string {
	d := time.Duration(w)
	if d >= 48*time.Hour && d%day == 0 {
		return strconv.Itoa(int(d/day)) + "d"
	}
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// MarshalText writes the window as String does.
func (w Window) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// UnmarshalText reads "30d" and what time.ParseDuration reads.
func (w *Window) UnmarshalText(text []byte) error {
	s := string(text)
	if n, err := strconv.Atoi(strings.TrimSuffix(s, "d")); err == nil && n > 0 && n <= 366 && strings.HasSuffix(s, "d") {
		*w = Window(time.Duration(n) * day)
		return nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		return problem.New(problem.Invalid, problem.Detail{Field: "window", Value: s, Limit: `a duration such as "5m" or "30d"`, Remedy: "correct the window"})
	}
	*w = Window(d)
	return nil
}
