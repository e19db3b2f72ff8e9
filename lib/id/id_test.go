package id_test

import (
	"fmt"
	"strings"
	"testing"

	"bronzewinch.dev/lib/id"

	"github.com/matryer/is"
)

// TestCheck guards against names that would make keys of the key-value service or
// HTTP paths invalid or ambiguous.
func TestCheck(t *testing.T) {
	tests := []struct {
		name string
		ok   bool
	}{
		{"skymap", true},
		{"mobile-yard", true},
		{"w.7", true},
		{"", false},
		{"a/b", false},
		{"a b/c", false},
		{"a\x00b", false},
		{"Upper", false},
		{"-lead", false},
		{"trail.", false},
		{strings.Repeat("a", 63), true},
		{strings.Repeat("a", 64), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(id.Check("name", tt.name) == nil, tt.ok)
		})
	}
}

func ExampleCheck() {
	fmt.Println(id.Check("account", "City Lighting"))
	// Output: account "City Lighting" is invalid (limit: lower-case letters, digits, '-' and '.'); use only these, with a letter or digit first and last
}
