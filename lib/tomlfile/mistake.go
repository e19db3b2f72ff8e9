package tomlfile

import (
	"fmt"
	"strings"

	"bronzewinch.dev/lib/problem"
)

// Mistake is a syntax error, an unknown field or an invalid value in a file.
type Mistake struct {
	// File is the name of the file. It is empty when the text was not read from
	// a file.
	File string `json:"file,omitempty"`
	// Line is the line number, starting at 1. It is 0 when the line is not known.
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

// Mistakes is an error of kind Invalid that contains all mistakes in a file.
type Mistakes []Mistake

// Error returns one line for each mistake.
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

// Err returns m as an error, or nil if m is empty.
func (m Mistakes) Err() error {
	if len(m) == 0 {
		return nil
	}
	return m
}

func (m *Mistakes) Add(line int, d problem.Detail) {
	*m = append(*m, Mistake{Line: line, Detail: d})
}

// WithFile returns a copy of m in which each mistake has the name of the file.
func (m Mistakes) WithFile(file string) Mistakes {
	named := make(Mistakes, len(m))
	for i, mistake := range m {
		mistake.File = file
		named[i] = mistake
	}
	return named
}
