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
	// Time has no year and no time zone, because the log does not contain them.
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Message string    `json:"message"`
	Event   string    `json:"event"`
	// Fields are the fields other than the event, in the order of the line.
	Fields []Field `json:"fields"`
}

// Field is a named value of a line.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Field returns the value of the first field with a name, or "".
func (l Line) Field(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Text returns the fields as name=value, separated by spaces. Values are not
// quoted.
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

// Parse parses one line. The node of the line is the word before the klog header,
// or the given node if there is none. Parse returns false for text that is not a
// structured log line.
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

// maxLineBytes is the maximum length of a line. The longest lines contain the cause
// of an error.
const maxLineBytes = 1 << 20

// Read parses the log of a node. It skips text that is not a structured log line.
func Read(node string, r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		if l, ok := Parse(node, s.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrapf(s.Err(), "read log of %s", node)
}

// contextEvents are the events that help to explain the lines about an id although
// they don't contain the id: which node owned the scheduler, which configuration
// was in force, and which dependencies were unavailable.
var contextEvents = map[string]bool{"owner": true, "term": true, "load": true, "config": true, "dependency": true,
	"start": true, "stop": true, "reload": true, "dropped": true}

// contextMargin is how long before the first and after the last line about an id
// the lines with contextEvents are included.
const contextMargin = 2 * time.Second

// Timeline returns the lines that mention an id, and the lines with contextEvents
// from the same period, sorted by time.
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

// mentions reports whether a field equals the id, is a task of it or a path that
// ends with it, or is a reason that contains it.
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
