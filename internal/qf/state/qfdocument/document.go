// Package qfdocument decodes TOML documents that people write and explains
// every fault in them with its line and key.
package qfdocument

import (
	"bytes"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
)

// Fault is one thing that is wrong with a document.
type Fault struct {
	// Line counts from 1; 0 means that the fault isn't at one line.
	Line int
	// Key is the full path, such as "Entries[0].Name".
	Key string
	// Expected is a phrase that says what would be right.
	Expected string
}

// String renders the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Key, f.Expected)
}

// Duration is a time.Duration that documents write as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("expected a duration with a unit, such as \"250ms\" or \"2s\", not %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Value returns the duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// Decode decodes a document into a pointer to a struct. Unknown keys, wrong
// types and failed validation are all faults; they are ordered by line. The
// content must not be used unless there are none.
func Decode(data []byte, into any) []Fault {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	index := NewLineIndex(data)
	faults := decodeFaults(d.Decode(into))
	if len(faults) == 0 || onlyUnknownKeys(faults) {
		faults = append(faults, Validate(into, index)...)
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	return faults
}

const expectedKnownKey = "unknown key; remove it or correct its spelling"

func onlyUnknownKeys(faults []Fault) bool {
	for _, f := range faults {
		if f.Expected != expectedKnownKey {
			return false
		}
	}
	return true
}

func decodeFaults(err error) []Fault {
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		faults := make([]Fault, 0, len(strict.Errors))
		for i := range strict.Errors {
			e := &strict.Errors[i]
			row, _ := e.Position()
			faults = append(faults, Fault{Line: row, Key: strings.Join(e.Key(), "."), Expected: expectedKnownKey})
		}
		return faults
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		row, _ := syntax.Position()
		return []Fault{{Line: row, Key: strings.Join(syntax.Key(), "."), Expected: strings.TrimPrefix(syntax.Error(), "toml: ")}}
	}
	return []Fault{{Expected: strings.TrimPrefix(err.Error(), "toml: ")}}
}

// LineIndex finds the line of a key.
type LineIndex interface {
	Line(key string) int
}

// Validate checks the struct's validate tags. The index may be nil.
func Validate(document any, index LineIndex) []Fault {
	v := validator.New(validator.WithRequiredStructEnabled())
	err := v.Struct(document)
	var failed validator.ValidationErrors
	if !errors.As(err, &failed) {
		return nil
	}
	faults := make([]Fault, 0, len(failed))
	for _, f := range failed {
		key := f.Namespace()
		if _, rest, ok := strings.Cut(key, "."); ok {
			key = rest
		}
		fault := Fault{Key: key, Expected: expectation(f)}
		if index != nil {
			fault.Line = index.Line(key)
		}
		faults = append(faults, fault)
	}
	return faults
}

// expectation says in words what a validation tag requires.
func expectation(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is required"
	case "oneof":
		return fmt.Sprintf("expected one of %s, not %q", f.Param(), fmt.Sprint(f.Value()))
	case "min", "gte":
		return fmt.Sprintf("expected at least %s", f.Param())
	case "max", "lte":
		return fmt.Sprintf("expected at most %s", f.Param())
	case "gt":
		return fmt.Sprintf("expected more than %s", f.Param())
	case "unique":
		return fmt.Sprintf("expected each %s only once", f.Param())
	default:
		return fmt.Sprintf("expected %s %s", f.Tag(), f.Param())
	}
}
