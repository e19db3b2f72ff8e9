// Package tomlfile decodes TOML files strictly: a field that the target does not have
// is a mistake, and all mistakes in a file are reported together, each with its line.
// The package decodes the values itself, because the strict decoder of the library
// stops at the first value with a wrong type.
package tomlfile

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"bronzewinch.dev/lib/problem"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxSize is the maximum size of a file in bytes. It equals the maximum size of a
// value in the key-value service.
const MaxSize = 1 << 20

// Tree is a parsed file.
type Tree struct {
	root  map[string]any
	lines map[string]int // line numbers by path, starting at 1
}

// Parse parses the content of a file. Its error is of type Mistakes.
func Parse(data []byte) (*Tree, error) {
	if len(data) > MaxSize {
		return nil, Mistakes{{Detail: problem.Detail{Field: "file", Value: fmt.Sprintf("%d bytes", len(data)),
			Limit: "1 MiB", Remedy: "split the file"}}}
	}
	t := &Tree{root: make(map[string]any), lines: make(map[string]int)}
	if err := toml.Unmarshal(data, &t.root); err != nil {
		return nil, syntaxError(err)
	}
	t.index(data)
	return t, nil
}

// syntaxError returns a mistake with the line of a syntax error. It omits the source
// lines that the error of the library quotes, because they may contain a token.
func syntaxError(err error) Mistakes {
	line := 0
	var d *toml.DecodeError
	if errors.As(err, &d) {
		line, _ = d.Position()
	}
	return Mistakes{{Line: line, Detail: problem.Detail{Field: "file", Limit: "TOML 1.0",
		Remedy: "correct the syntax of this line"}}}
}

// Root returns the whole file as a node.
func (t *Tree) Root() Node { return Node{tree: t, value: t.root} }

// index records the line of each key and of each array item.
func (t *Tree) index(data []byte) {
	p := unstable.Parser{}
	p.Reset(data)
	counts := make(map[string]int)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			prefix = t.recordLine(&p, resolvePath(counts, keyParts(e)), e)
		case unstable.ArrayTable:
			path := resolvePath(counts, keyParts(e))
			counts[path]++
			prefix = t.recordLine(&p, fmt.Sprintf("%s[%d]", path, counts[path]-1), e)
		case unstable.KeyValue:
			t.indexValue(&p, joinPath(prefix, strings.Join(keyParts(e), ".")), e)
		}
	}
}

// recordLine records the line of the key of e under path, and returns path.
func (t *Tree) recordLine(p *unstable.Parser, path string, e *unstable.Node) string {
	it := e.Key()
	if it.Next() {
		t.lines[path] = p.Shape(it.Node().Raw).Start.Line
	}
	return path
}

func (t *Tree) indexValue(p *unstable.Parser, path string, kv *unstable.Node) {
	t.recordLine(p, path, kv)
	t.indexChildren(p, path, kv.Value())
}

func (t *Tree) indexChildren(p *unstable.Parser, path string, v *unstable.Node) {
	children := v.Children()
	switch v.Kind {
	case unstable.InlineTable:
		for children.Next() {
			kv := children.Node()
			if kv.Kind == unstable.KeyValue {
				t.indexValue(p, joinPath(path, strings.Join(keyParts(kv), ".")), kv)
			}
		}
	case unstable.Array:
		for i := 0; children.Next(); {
			item := children.Node()
			if item.Kind == unstable.Comment {
				continue
			}
			itemPath := fmt.Sprintf("%s[%d]", path, i)
			if item.Raw.Length > 0 {
				t.lines[itemPath] = p.Shape(item.Raw).Start.Line
			}
			t.indexChildren(p, itemPath, item)
			i++
		}
	}
}

func keyParts(e *unstable.Node) []string {
	var names []string
	for it := e.Key(); it.Next(); {
		names = append(names, string(it.Node().Data))
	}
	return names
}

// resolvePath returns the path of a table header. As TOML defines it, a part that
// names an array of tables refers to the last item so far. The last part gets no
// index, because for an array of tables the header adds an item.
func resolvePath(counts map[string]int, names []string) string {
	path := ""
	for i, name := range names {
		path = joinPath(path, name)
		if n := counts[path]; n > 0 && i < len(names)-1 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func joinPath(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

// Node is one value of a file.
type Node struct {
	tree  *Tree
	path  string
	value any
}

// Path returns the path of the node, for example "record[2].shape.workers".
func (n Node) Path() string { return n.path }

// Line returns the line of a field of n, or of n itself if field is empty. If that
// line is not known, it returns the line of the innermost enclosing table or array
// whose line is known, or 0.
func (n Node) Line(field string) int {
	if n.tree == nil {
		return 0
	}
	path := n.path
	if field != "" {
		path = joinPath(path, field)
	}
	for path != "" {
		if line, ok := n.tree.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

// Get returns the value of a field and whether the field exists.
func (n Node) Get(name string) (Node, bool) {
	table, _ := n.value.(map[string]any)
	v, ok := table[name]
	return Node{n.tree, joinPath(n.path, name), v}, ok
}

// Text returns the string value of the node, or "" if it is not a string.
func (n Node) Text() string {
	s, _ := n.value.(string)
	return s
}

// Items returns the items of an array, and false if n is not an array.
func (n Node) Items() ([]Node, bool) {
	list, ok := n.value.([]any)
	nodes := make([]Node, len(list))
	for i, v := range list {
		nodes[i] = Node{n.tree, fmt.Sprintf("%s[%d]", n.path, i), v}
	}
	return nodes, ok
}

// Names returns the sorted names of the fields of a table.
func (n Node) Names() []string {
	table, _ := n.value.(map[string]any)
	return slices.Sorted(maps.Keys(table))
}
