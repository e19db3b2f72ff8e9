package tomlfile

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"
)

// Duration is a duration that is written as a string, for example "1m30s".
type Duration time.Duration

// MarshalText formats the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText accepts the syntax of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return problem.New(problem.Invalid, problem.Detail{Limit: `a duration such as "1m30s"`, Remedy: "correct the value"})
	}
	*d = Duration(v)
	return nil
}

// Size is an amount of memory or data that is written as a string, for example
// "128GiB".
type Size unit.Bytes

var sizeUnits = []struct {
	suffix string
	bytes  unit.Bytes
}{{"GiB", unit.GiB}, {"MiB", unit.MiB}, {"KiB", unit.KiB}, {"B", 1}}

// MarshalText formats the size in the largest unit of which it is a multiple.
func (s Size) MarshalText() ([]byte, error) {
	for _, u := range sizeUnits {
		if s != 0 && unit.Bytes(s)%u.bytes == 0 {
			return fmt.Appendf(nil, "%d%s", int64(unit.Bytes(s)/u.bytes), u.suffix), nil
		}
	}
	return []byte("0B"), nil
}

// UnmarshalText accepts an integer followed by the unit GiB, MiB, KiB or B.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n > math.MaxInt64/int64(u.bytes) || n < math.MinInt64/int64(u.bytes) {
			break
		}
		*s = Size(unit.Bytes(n) * u.bytes)
		return nil
	}
	return problem.New(problem.Invalid, problem.Detail{Limit: `a size such as "128GiB"`, Remedy: "correct the value"})
}
