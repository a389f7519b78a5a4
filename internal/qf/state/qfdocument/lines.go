package qfdocument

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// firstLine is the line of faults that don't belong to any one line.
const firstLine = 1

// LineIndex maps the full keys of a document to lines, and lines to keys.
type LineIndex struct {
	lines map[string]int
	// pairs holds the key of the key-value pair that starts at a line.
	pairs map[int]string
	// starts holds the first lines of all expressions, in order.
	starts []int
}

// NewLineIndex returns an index of the keys in a TOML document.
func NewLineIndex(data []byte) *LineIndex {
	x := &LineIndex{lines: map[string]int{}, pairs: map[int]string{}}
	counts := map[string]int{}
	table := ""
	p := &unstable.Parser{}
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		names, line := keyOf(p, e)
		if line > 0 {
			x.starts = append(x.starts, line)
		}
		switch e.Kind {
		case unstable.Table:
			table = indexedKey(names, counts)
			x.lines[table] = line
		case unstable.ArrayTable:
			last := len(names) - 1
			counts[join(indexedKey(names[:last], counts), names[last])]++
			table = indexedKey(names, counts)
			x.lines[table] = line
		case unstable.KeyValue:
			key := join(table, strings.Join(names, "."))
			x.lines[key] = line
			x.pairs[line] = key
		}
	}
	return x
}

// keyOf returns the parts of an expression's key, and its line.
func keyOf(p *unstable.Parser, e *unstable.Node) (names []string, line int) {
	it := e.Key()
	for it.Next() {
		n := it.Node()
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
		names = append(names, string(n.Data))
	}
	return names, line
}

// indexedKey joins the names and appends the current index to each array table. The
// counts are keyed by the array table without its own index.
func indexedKey(names []string, counts map[string]int) string {
	key := ""
	for _, name := range names {
		key = join(key, name)
		if n := counts[key]; n > 0 {
			key = fmt.Sprintf("%s[%d]", key, n-1)
		}
	}
	return key
}

func join(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

// Line returns the line of a key. For an array of tables it is that of the first
// element, for a missing key that of the nearest enclosing table.
func (x *LineIndex) Line(key string) int {
	for key != "" {
		if line, ok := x.lines[key]; ok {
			return line
		}
		if line, ok := x.lines[key+"[0]"]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return firstLine
		}
		key = key[:cut]
	}
	return firstLine
}

// pairAt returns the key, with its indices, and the first line of the key-value pair
// that contains a line. The key is empty if the line belongs to a table header.
func (x *LineIndex) pairAt(line int) (key string, start int) {
	next := sort.SearchInts(x.starts, line+1)
	if next == 0 {
		return "", 0
	}
	start = x.starts[next-1]
	return x.pairs[start], start
}

// endOf returns the line at which the expression after the one at start begins, in a
// document with the given number of lines.
func (x *LineIndex) endOf(start, lines int) int {
	next := sort.SearchInts(x.starts, start+1)
	if next == len(x.starts) {
		return lines + 1
	}
	return x.starts[next]
}
