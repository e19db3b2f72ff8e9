package answers_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/answers"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// TestBounds guards against a response that is stored for longer or shorter
// than its retention, and against memory that grows with the load.
func TestBounds(t *testing.T) {
	is := is.New(t)
	store := answers.New(answers.Config{MaxBytes: unit.MiB})
	store.Put("a/r", answers.Response{Status: 201, Body: []byte("x")}, start)
	got, ok := store.Get("a/r", start.Add(answers.DefaultRetention))
	is.True(ok)
	is.Equal(got.Status, 201)
	_, ok = store.Get("a/r", start.Add(answers.DefaultRetention+1))
	is.True(!ok)
	for i := range 10000 {
		store.Put(id.Request(fmt.Sprint(i)), answers.Response{Body: make([]byte, 1000)}, start)
	}
	is.True(store.Bytes() <= unit.MiB)
	_, ok = store.Get("9999", start)
	is.True(ok)
	store.Put("huge", answers.Response{Body: make([]byte, unit.MiB)}, start)
	_, ok = store.Get("huge", start)
	is.True(!ok)
}

// TestEvictionAfterReplacement guards against the eviction of a replaced
// response that also removes the newer one under the same key.
func TestEvictionAfterReplacement(t *testing.T) {
	is := is.New(t)
	store := answers.New(answers.Config{MaxBytes: unit.MiB})
	store.Put("r", answers.Response{Status: 500}, start)
	store.Put("r", answers.Response{Status: 200}, start.Add(time.Minute))
	got, ok := store.Get("r", start.Add(answers.DefaultRetention+time.Second))
	is.True(ok)
	is.Equal(got.Status, 200)
}
