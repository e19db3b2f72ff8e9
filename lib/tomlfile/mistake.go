package tomlfile

import (
	"fmt"
	"strings"

	"bronzewinch.dev/lib/problem"
)

// Mistake is one mistake in a file.
type Mistake struct {
	// File is the name of the file. It is empty when the text came without one.
	File string `json:"file,omitempty"`
	// Line counts from 1. It is 0 when the mistake has no place in a file.
	Line int `json:"line,omitempty"`
	problem.Detail
}

// String formats the mistake on one line.
func (m Mistake) String() string {
	var b strings.Builder
	if m.File != "" {
		b.WriteString(m.File + ":")
	}
	if m.Line > 0 {
		fmt.Fprintf(&b, "%d:", m.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	e := problem.Error{Kind: problem.Invalid, Detail: m.Detail}
	b.WriteString(e.Error())
	return b.String()
}

// Mistakes is an error of kind Invalid that holds every mistake of a file.
type Mistakes []Mistake

// Error has one line for each mistake.
func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, mistake := range m {
		lines[i] = mistake.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the first mistake as a typed error.
func (m Mistakes) Unwrap() error {
	if len(m) == 0 {
		return nil
	}
	return problem.New(problem.Invalid, m[0].Detail)
}

// Err returns m as an error, nil when there is no mistake.
func (m Mistakes) Err() error {
	if len(m) == 0 {
		return nil
	}
	return m
}

// Add appends a mistake.
func (m *Mistakes) Add(line int, d problem.Detail) {
	*m = append(*m, Mistake{Line: line, Detail: d})
}

// WithFile returns m with the name of the file set in each mistake.
func (m Mistakes) WithFile(file string) Mistakes {
	named := make(Mistakes, len(m))
	for i, mistake := range m {
		mistake.File = file
		named[i] = mistake
	}
	return named
}
