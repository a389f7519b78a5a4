package qfdocument

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// LineIndex maps full keys to lines and back.
type LineIndex struct {
	lines map[string]int
	// keys holds the last key that starts on a line.
	keys map[int]string
	// numbers holds the keys whose value is a number.
	numbers map[string]bool
}

// NewLineIndex returns an index of the keys in a TOML document.
func NewLineIndex(data []byte) *LineIndex {
	x := &LineIndex{lines: map[string]int{}, keys: map[int]string{}, numbers: map[string]bool{}}
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
			x.add(table, line)
		case unstable.ArrayTable:
			last := len(names) - 1
			counts[join(indexedKey(names[:last], counts), names[last])]++
			table = indexedKey(names, counts)
			x.add(table, line)
		case unstable.KeyValue:
			key := join(table, strings.Join(names, "."))
			x.add(key, line)
			x.numbers[key] = e.Value().Kind == unstable.Integer || e.Value().Kind == unstable.Float
		}
	}
	return x
}

func (x *LineIndex) add(key string, line int) {
	x.lines[key] = line
	x.keys[line] = key
	if array, _, ok := cutIndex(key); ok && x.lines[array] == 0 {
		x.lines[array] = line // The array stands where its first element does.
	}
}

// cutIndex splits "Entries[0]" into the array and the index.
func cutIndex(key string) (array, index string, ok bool) {
	if !strings.HasSuffix(key, "]") {
		return key, "", false
	}
	cut := strings.LastIndexByte(key, '[')
	return key[:cut], key[cut:], true
}

// KeyAt returns the key that starts on the line.
func (x *LineIndex) KeyAt(line int) (string, bool) {
	key, ok := x.keys[line]
	return key, ok
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
func (x *LineIndex) Line(key string) int {
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
