package logline

import (
	"bufio"
	"cmp"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is one line of a node's log.
type Line struct {
	// Time has no year and no zone: the log does not tell them.
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Message string    `json:"message"`
	Event   string    `json:"event"`
	// Fields are the other fields, in their order.
	Fields []Field `json:"fields"`
}

// Field is one field of a line.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Field returns the value of a field, or "".
func (l Line) Field(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Text returns the fields as the log shows them.
func (l Line) Text() string {
	var b strings.Builder
	for i, f := range l.Fields {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(f.Name + "=" + f.Value)
	}
	return b.String()
}

var (
	headerPattern = regexp.MustCompile(`(\S*) ?\b[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6}) +\d+ [^\]]+\] "((?:[^"\\]|\\.)*)" ?(.*)$`)
	fieldPattern  = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

const timeLayout = "0102 15:04:05.000000"

// Parse reads one line. A word before the header names the node; without one
// the node is the given one. It returns false for text that is no line.
func Parse(node, text string) (Line, bool) {
	m := headerPattern.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	at, err := time.Parse(timeLayout, m[2])
	if err != nil {
		return Line{}, false
	}
	l := Line{Time: at, Node: cmp.Or(m[1], node), Message: m[3]}
	for _, f := range fieldPattern.FindAllStringSubmatch(m[4], -1) {
		value := f[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		if f[1] == "event" {
			l.Event = value
			continue
		}
		l.Fields = append(l.Fields, Field{f[1], value})
	}
	return l, true
}

// maxLineBytes bounds a line. The longest name the cause of an error.
const maxLineBytes = 1 << 20

// Read returns the lines of a log.
func Read(node string, r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		if l, ok := Parse(node, s.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrapf(s.Err(), "log of %s", node)
}

// contextEvents are the events that explain a story without naming its id: who
// owned the scheduler, by which configuration, and what could not be reached.
var contextEvents = map[string]bool{"owner": true, "term": true, "load": true, "config": true, "dependency": true,
	"start": true, "stop": true, "reload": true, "dropped": true}

// contextMargin is how long before the first and after the last line about an id the
// background may explain it.
const contextMargin = 2 * time.Second

// Timeline returns the lines about an id, and the background of their time, in
// order of time.
func Timeline(lines []Line, id string) []Line {
	var matching []Line
	for _, l := range lines {
		if l.mentions(id) {
			matching = append(matching, l)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	first, last := matching[0].Time, matching[0].Time
	for _, l := range matching {
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	for _, l := range lines {
		isContext := contextEvents[l.Event] && l.Field("job") == ""
		if isContext && l.Time.After(first.Add(-contextMargin)) && l.Time.Before(last.Add(contextMargin)) {
			matching = append(matching, l)
		}
	}
	slices.SortStableFunc(matching, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return matching
}

// mentions reports whether a field is the id, a task of it, or a path to it.
func (l Line) mentions(id string) bool {
	for _, f := range l.Fields {
		switch {
		case f.Value == id, strings.HasPrefix(f.Value, id+"."), strings.HasSuffix(f.Value, "/"+id):
			return true
		case f.Name == "reason" && strings.Contains(f.Value, id):
			return true
		}
	}
	return false
}
