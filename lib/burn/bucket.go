package burn

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"bronzewinch.dev/lib/problem"
)

// Resolution is a width of time buckets. Each event is counted at every
// resolution.
type Resolution int

// The resolutions, the narrowest buckets first.
const (
	FiveMinutes Resolution = iota
	Hours
	Days
	numResolutions
)

// NumResolutions is the number of resolutions.
const NumResolutions = int(numResolutions)

// retainedBuckets is the number of buckets that each resolution retains. They
// cover the longest window that is computed from it (1 hour, 3 days and 31
// days), with one more because the current bucket is incomplete.
var retainedBuckets = [NumResolutions]BucketIndex{13, 73, 32}

// BucketWidth returns the duration of a bucket.
func (r Resolution) BucketWidth() time.Duration {
	return [NumResolutions]time.Duration{5 * time.Minute, time.Hour, 24 * time.Hour}[r]
}

// BucketAt returns the bucket that contains a time.
func (r Resolution) BucketAt(t time.Time) BucketIndex {
	return BucketIndex(t.Unix() / int64(r.BucketWidth()/time.Second))
}

// BucketStart returns the start time of a bucket.
func (r Resolution) BucketStart(i BucketIndex) time.Time {
	return time.Unix(int64(i)*int64(r.BucketWidth()/time.Second), 0).UTC()
}

// oldestRetained returns the oldest bucket that is not yet expired.
func (r Resolution) oldestRetained(now time.Time) BucketIndex {
	return r.BucketAt(now) - retainedBuckets[r] + 1
}

// BucketIndex is the number of a bucket at one resolution, counted from 1970.
type BucketIndex int32

// Bucket has the number of good and bad events of one key in one bucket. The
// counts saturate at their maximum instead of wrapping around.
type Bucket struct {
	Index     BucketIndex
	Good, Bad uint32
}

// bucketList contains the non-empty buckets at one resolution, the oldest first.
type bucketList []Bucket

// add adds events to bucket i. If it inserts a new bucket, it also drops the
// buckets before oldest. If the clock was set back, the events count in the
// earlier bucket, which need not be the last one.
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

// countBefore returns the number of buckets before oldest.
func (l bucketList) countBefore(oldest BucketIndex) int {
	n := 0
	for n < len(l) && l[n].Index < oldest {
		n++
	}
	return n
}

// dropBefore returns the list without the buckets before oldest. It moves the
// others to the front, so that the freed space is reused.
func (l bucketList) dropBefore(oldest BucketIndex) bucketList {
	return slices.Delete(l, 0, l.countBefore(oldest))
}

// Window is the duration over which a burn rate is computed.
type Window time.Duration

// The windows of every objective, in addition to the objective's own window.
const (
	Window5m = Window(5 * time.Minute)
	Window1h = Window(time.Hour)
	Window6h = Window(6 * time.Hour)
	Window3d = Window(72 * time.Hour)
)

// Resolution returns the resolution from which the window is computed.
func (w Window) Resolution() Resolution {
	switch {
	case w <= Window1h:
		return FiveMinutes
	case w <= Window3d:
		return Hours
	}
	return Days
}

// firstBucket returns the first bucket of the window that ends now. A window
// consists of whole buckets, so it covers up to one bucket more than its
// duration.
func (w Window) firstBucket(now time.Time) BucketIndex {
	return w.Resolution().BucketAt(now.Add(-time.Duration(w)))
}

const day = 24 * time.Hour

// String formats the window, for example as "5m", "1h", "3d" or "30d".
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

// MarshalText formats the window as String does.
func (w Window) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// UnmarshalText accepts a number of days such as "30d", and the formats of
// time.ParseDuration.
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
