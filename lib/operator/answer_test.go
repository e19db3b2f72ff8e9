package operator

import (
	"net/http/httptest"
	"testing"

	"bronzewinch.dev/lib/problem"

	"github.com/matryer/is"
)

// TestEveryKindHasAStatus guards against an error kind without an HTTP status:
// net/http panics on status 0 and the connection breaks. This happened with the
// error for a zone without an owner.
func TestEveryKindHasAStatus(t *testing.T) {
	for _, kind := range problem.Kinds() {
		is := is.New(t)
		w := httptest.NewRecorder()
		writeError(w, problem.New(kind, problem.Detail{Remedy: "none"}))
		is.True(w.Code >= 400)
	}
}
