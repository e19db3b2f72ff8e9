package problem_test

import (
	"fmt"
	"testing"

	"bronzewinch.dev/lib/problem"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestKindOf guards against wrapping of an error that hides its kind.
func TestKindOf(t *testing.T) {
	is := is.New(t)
	err := problem.New(problem.Fenced, problem.Detail{Remedy: "read the journal"})
	is.Equal(problem.KindOf(errors.Wrap(err, "append")), problem.Fenced)
	is.Equal(problem.KindOf(errors.New("plain")), problem.Internal)
	is.Equal(problem.KindOf(nil), problem.Kind(""))
	is.True(problem.Is(err, problem.Fenced))
	is.Equal(problem.As(errors.New("plain")).Remedy, "plain")
}

func ExampleNew() {
	fmt.Println(problem.New(problem.Invalid, problem.Detail{
		Field: "workers", Value: "0", Limit: "1 to 64", Remedy: "ask for at least one worker",
	}))
	// Output: workers "0" is invalid (limit: 1 to 64); ask for at least one worker
}
