package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the
// script, and counts the breaks of rules.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	breaks int
}

func newRecord(path string) (*record, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	return &record{file: f, start: time.Now()}, err
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

// broken writes one line about a broken rule.
func (r *record) broken(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks++
	r.write("BROKEN " + rule + ": " + fmt.Sprintf(format, args...))
}

func (r *record) write(line string) {
	line = fmt.Sprintf("%8.3f %s\n", time.Since(r.start).Seconds(), line)
	_, _ = r.file.WriteString(line)
	if len(line) > 16 && line[9:15] == "BROKEN" {
		fmt.Print(line)
	}
}

func (r *record) broke() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaks
}
