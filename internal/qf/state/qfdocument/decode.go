package qfdocument

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

const (
	// expectedKnownKey is the phrase for an unknown key.
	expectedKnownKey = "unknown key; remove it or correct its spelling"
	// syntaxKey is the key of a fault that doesn't belong to any key.
	syntaxKey = "document"
	// emptyKey is how a key without a name is shown.
	emptyKey = `""`
	// maxDecodes bounds how often a document is decoded, as each decoding ends at the
	// first wrong value.
	maxDecodes = 100
)

// isSyntaxFault reports whether decoding ended before all keys were read.
func isSyntaxFault(faults []Fault) bool {
	n := len(faults)
	return n > 0 && faults[n-1].Key == syntaxKey
}

// decodeAll decodes a document and returns all faults. The decoder stops at the first
// value that it rejects, so that value is blanked and the document decoded again.
func decodeAll(data []byte, into any, index *LineIndex) []Fault {
	lines := bytes.SplitAfter(data, []byte("\n"))
	var faults []Fault
	for range maxDecodes {
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

// blank empties the lines from start up to, but excluding, end. The number of lines
// stays the same.
func blank(lines [][]byte, start, end int) {
	for i := start - 1; i < end-1; i++ {
		if bytes.HasSuffix(lines[i], []byte("\n")) {
			lines[i] = []byte("\n")
			continue
		}
		lines[i] = nil
	}
}

// decodeOnce decodes up to the first value of a wrong type or form. wrongValue is true
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

// unknownKeys returns the faults of the keys that the target struct lacks.
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
