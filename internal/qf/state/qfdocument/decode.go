package qfdocument

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

const (
	expectedKnownKey = "unknown key; remove it or correct its spelling"
	// syntaxKey stands for the key of a fault that isn't at one.
	syntaxKey = "document"
	// emptyKey shows a key without a name.
	emptyKey = `""`
	// maxWrongValues bounds how often a document is decoded again.
	maxWrongValues = 100
)

// isSyntaxFault reports whether decoding ended before all keys were read.
func isSyntaxFault(faults []Fault) bool {
	n := len(faults)
	return n > 0 && faults[n-1].Key == syntaxKey
}

// decodeAll decodes a document and returns every fault. The decoder stops at the
// first value that it can't take, so that value is blanked and the rest decoded
// again.
func decodeAll(data []byte, into any, index *LineIndex) []Fault {
	lines := bytes.SplitAfter(data, []byte("\n"))
	var faults []Fault
	for range maxWrongValues {
		found, wrongValue := decodeOnce(bytes.Join(lines, nil), into, index)
		faults = append(faults, found...)
		if !wrongValue {
			return faults
		}
		key, start := index.pairAt(found[0].Line)
		if key == "" {
			return faults
		}
		blank(lines, start, index.endOf(start, len(lines)))
	}
	return append(faults, Fault{
		Line: faults[len(faults)-1].Line, Key: syntaxKey, Expected: "expected fewer faults; the rest was not read",
	})
}

// blank empties the lines from start up to end and keeps their number.
func blank(lines [][]byte, start, end int) {
	for i := start - 1; i < end-1; i++ {
		if bytes.HasSuffix(lines[i], []byte("\n")) {
			lines[i] = []byte("\n")
			continue
		}
		lines[i] = nil
	}
}

// decodeOnce decodes up to the first value that doesn't fit. wrongValue is true
// if there is one; it is then the only fault.
func decodeOnce(data []byte, into any, index *LineIndex) (faults []Fault, wrongValue bool) {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	d.EnableUnmarshalerInterface()
	err := d.Decode(into)
	if err == nil {
		return nil, false
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return unknownKeys(strict, index), false
	}
	fault := Fault{Line: firstLine, Key: syntaxKey, Expected: strings.TrimPrefix(err.Error(), "toml: ")}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		fault.Line, _ = wrong.Position()
		if key, _ := index.pairAt(fault.Line); key != "" && len(wrong.Key()) > 0 {
			fault.Key = key
		}
	}
	return []Fault{fault}, fault.Key != syntaxKey
}

func unknownKeys(strict *toml.StrictMissingError, index *LineIndex) []Fault {
	faults := make([]Fault, 0, len(strict.Errors))
	for i := range strict.Errors {
		e := &strict.Errors[i]
		row, _ := e.Position()
		key, start := index.pairAt(row)
		if key == "" || start != row {
			key = strings.Join(e.Key(), ".")
		}
		if key == "" {
			key = emptyKey
		}
		faults = append(faults, Fault{Line: row, Key: key, Expected: expectedKnownKey})
	}
	return faults
}
