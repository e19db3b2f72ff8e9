// Package logline writes log lines without ever blocking the caller. Lines wait
// in a bounded buffer; when it is full they are dropped and counted by event.
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

// maxBufferedLines bounds the lines that wait. A busy owner writes some hundred
// lines a second, so the buffer holds several seconds.
const maxBufferedLines = 4096

// Writer is an io.Writer for whole lines.
type Writer struct {
	lines chan []byte
	out   io.Writer
	wg    sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	dropped map[string]int
}

// New returns a writer that passes lines on to out.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxBufferedLines), out: out, dropped: make(map[string]int)}
	w.wg.Go(func() {
		for line := range w.lines {
			_, _ = out.Write(line) // there is nowhere to report a lost log line to
			if report := w.droppedReport(); report != nil {
				_, _ = out.Write(report)
			}
		}
	})
	return w
}

// Write queues a line, or drops it when the buffer is full. It always reports
// success, as the caller can do nothing about a dropped line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped[eventOf(line)]++
	}
	return len(line), nil
}

// Close writes the lines that wait, and ends the writer.
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

// droppedReport returns a line on what was dropped since the last one, or nil.
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

// eventOf returns the value of a line's event field.
func eventOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, []byte(`event="`))
	if !ok {
		return "other"
	}
	kind, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(kind)
}
