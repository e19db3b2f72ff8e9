package record

import (
	"encoding/hex"
	"math"
	"strings"

	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/tomlfile"
	"bronzewinch.dev/lib/unit"
)

// Duration is a duration in schema v2, for example "1m30s".
type Duration = tomlfile.Duration

// Size is an amount of memory or data in schema v2, for example "128GiB".
type Size = tomlfile.Size

// MarshalText returns the hash. Showing it is safe: tokens are random, so they
// can't be guessed from their hashes.
func (h TokenHash) MarshalText() ([]byte, error) { return []byte(h), nil }

// UnmarshalText accepts 64 lower-case hexadecimal digits.
func (h *TokenHash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != 32 || strings.ToLower(string(text)) != string(text) {
		return problem.New(problem.Invalid, problem.Detail{Limit: "64 lower-case hexadecimal digits (SHA-256 of the token)",
			Remedy: "give the hash of the token, not the token itself"})
	}
	*h = TokenHash(text)
	return nil
}

// toMillicores converts a number of cores, rounded to three decimals.
func toMillicores(c float64) unit.Millicores {
	return unit.Millicores(math.Round(c * float64(unit.Core)))
}

func toCores(m unit.Millicores) float64 { return float64(m) / float64(unit.Core) }
