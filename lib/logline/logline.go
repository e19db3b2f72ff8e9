// Package logline writes log lines without blocking the caller, and parses the logs
// of nodes. Lines are queued in a bounded buffer; when it is full, lines are dropped
// and counted by event.
package logline

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
)

// maxBufferedLines and maxBufferedBytes are the capacity of the buffer. A busy owner writes
// a few hundred lines per second, so the buffer covers several seconds. A line about a job
// of many steps, or with what a client has sent, can be much longer than others.
const (
	maxBufferedLines = 4096
	maxBufferedBytes = 1 << 20
)

// Writer is an asynchronous io.Writer. Each call of Write must pass one complete
// line.
type Writer struct {
	lines chan []byte
	out   io.Writer
	wg    sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	bytes   int // of the queued lines
	dropped map[string]int
}

// New returns a writer that writes the lines to out on a goroutine of its own.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxBufferedLines), out: out, dropped: make(map[string]int)}
	w.wg.Go(func() {
		for line := range w.lines {
			_, _ = out.Write(line) // an error can't be reported, as out is the log itself
			w.countWritten(line)
			if report := w.droppedReport(); report != nil {
				_, _ = out.Write(report)
			}
		}
	})
	return w
}

func (w *Writer) countWritten(line []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes -= len(line)
}

// Write queues a line, or drops it when the buffer is full. A line that is larger than the
// buffer is queued alone. Write always returns success, because the caller can't do anything about a dropped line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	if w.bytes > 0 && w.bytes+len(line) > maxBufferedBytes {
		w.dropped[eventOf(line)]++
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
		w.bytes += len(line)
	default:
		w.dropped[eventOf(line)]++
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer. Later lines are discarded.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	w.wg.Wait()
}

// maxText is the size up to which Shorten leaves texts as they are.
const maxText = 200

// Shorten returns the beginning of a text that a client has sent, so that clients can't fill
// the log.
func Shorten(text string) string {
	if len(text) <= maxText {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:maxText], len(text))
}

// droppedReport returns a line with the numbers of lines dropped since the previous
// report, by event, or nil when none were dropped.
func (w *Writer) droppedReport() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.dropped) == 0 {
		return nil
	}
	var b strings.Builder
	b.WriteString(`"log lines dropped" event="dropped"`)
	for _, kind := range slices.Sorted(maps.Keys(w.dropped)) {
		fmt.Fprintf(&b, " %s=%d", kind, w.dropped[kind])
	}
	clear(w.dropped)
	return append([]byte(b.String()), '\n')
}

// eventOf returns the value of the event field of a line, or "other".
func eventOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, []byte(`event="`))
	if !ok {
		return "other"
	}
	kind, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(kind)
}
