// Package qfdocument decodes TOML documents that people write and explains
// every fault in them with its line and key.
package qfdocument

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is one thing that is wrong with a document.
type Fault struct {
	// Line counts from 1. A fault that isn't at one line stands at line 1.
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

// UnmarshalText implements encoding.TextUnmarshaler, for JSON.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.New(expectedDuration(text))
	}
	*d = Duration(parsed)
	return nil
}

func expectedDuration(text []byte) string {
	return fmt.Sprintf("expected a duration with a unit, such as \"250ms\" or \"2s\", not %s", text)
}

// UnmarshalTOML implements unstable.Unmarshaler. Without it the decoder would
// take a bare number, which has no unit, for nanoseconds.
func (d *Duration) UnmarshalTOML(data []byte) error {
	var raw struct{ Value any }
	if err := toml.Unmarshal(append([]byte("Value = "), data...), &raw); err != nil {
		return errors.New("expected a duration, not a table") // The data of a value always parses.
	}
	text, _ := raw.Value.(string)
	if d.UnmarshalText([]byte(text)) != nil {
		return &unstable.ParserError{Highlight: data, Key: []string{"Duration"}, Message: expectedDuration(data)}
	}
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
	index := newLineIndex(data)
	faults := decodeAll(data, into, index)
	if !isSyntaxFault(faults) {
		faults = append(faults, validateRest(into, index, faults)...)
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	return faults
}

// validateRest validates the keys that decoding found no fault with.
func validateRest(into any, index *lineIndex, known []Fault) []Fault {
	wrong := map[string]bool{}
	for _, f := range known {
		wrong[f.Key] = true
	}
	var faults []Fault
	for _, f := range Validate(into, index) {
		if !wrong[f.Key] {
			faults = append(faults, f)
		}
	}
	return faults
}

// LineIndex finds the line of a key.
type LineIndex interface {
	Line(key string) int
}

// validate caches what it learns of each struct type.
var validate = validator.New(validator.WithRequiredStructEnabled())

// Validate checks the struct's validate tags. The index may be nil.
func Validate(document any, index LineIndex) []Fault {
	err := validate.Struct(document)
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
		fault := Fault{Line: firstLine, Key: key, Expected: expectation(f)}
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
		return strings.TrimSpace(fmt.Sprintf("expected %s %s", f.Tag(), f.Param()))
	}
}
