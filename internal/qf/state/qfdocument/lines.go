package qfdocument

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps full keys to lines.
type lineIndex struct {
	lines map[string]int
}

// NewLineIndex returns an index of the keys in a TOML document.
func NewLineIndex(data []byte) LineIndex {
	x := &lineIndex{lines: map[string]int{}}
	counts := map[string]int{}
	table := ""
	p := &unstable.Parser{}
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		names, line := keyOf(p, e)
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
			x.lines[join(table, strings.Join(names, "."))] = line
		}
	}
	return x
}

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

// indexedKey joins the names, with the current index behind each array table.
// The counts are kept by the key of the array table without its own index.
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

// Line returns the line of the key or of the nearest table around it.
func (x *lineIndex) Line(key string) int {
	for key != "" {
		if line, ok := x.lines[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}
