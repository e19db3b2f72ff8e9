package logline_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"bronzewinch.dev/lib/logline"

	"github.com/matryer/is"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}

	mu  sync.Mutex
	out bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

// TestFullBufferDropsAndCounts guards against a slow reader of the log that blocks
// the scheduler, and against dropped lines that are not counted in the log.
func TestFullBufferDropsAndCounts(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := logline.New(out)
	for i := range 10000 {
		n, err := fmt.Fprintf(w, "I \"line\" event=\"decision\" n=%d\n", i)
		is.NoErr(err)
		is.True(n > 0)
	}
	close(out.release)
	w.Close()
	text := out.out.String()
	is.True(strings.Contains(text, `event="dropped" decision=`))
	is.True(strings.Count(text, "\n") > 4000)
	_, err := w.Write([]byte("late\n"))
	is.NoErr(err)
}

// TestOrder guards against lines that are reordered or truncated.
func TestOrder(t *testing.T) {
	var out bytes.Buffer
	w := logline.New(&out)
	_, _ = w.Write([]byte("a\n"))
	_, _ = w.Write([]byte("b\n"))
	w.Close()
	is.New(t).Equal(out.String(), "a\nb\n")
}

// TestLongLinesAreBounded guards against long lines that take memory while nobody reads the
// log, and against a line that is never written because it is long.
func TestLongLinesAreBounded(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := logline.New(out)
	for range 100 {
		_, _ = fmt.Fprintf(w, "I \"line\" event=\"call\" path=%s\n", strings.Repeat("x", 300<<10))
	}
	close(out.release)
	w.Close()
	text := out.out.String()
	is.True(strings.Contains(text, "path=xxx"))
	is.True(strings.Contains(text, `event="dropped" call=`))
	is.True(len(text) < 2<<20)
}

func ExampleShorten() {
	fmt.Println(logline.Shorten("/q0/0123456789abcdef"))
	fmt.Println(len(logline.Shorten("/" + strings.Repeat("x", 16<<10))))
	// Output:
	// /q0/0123456789abcdef
	// 217
}
