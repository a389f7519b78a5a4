// Package qfdocument decodes TOML documents that people write and explains
// every fault in them with its line and key.
package qfdocument

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strings"

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

// Decode decodes a document into a pointer to a struct. Unknown keys, wrong
// types and failed validation are all faults; they are ordered by line. The
// content must not be used unless there are none.
func Decode(data []byte, into any) []Fault {
	index := NewLineIndex(data)
	faults, complete := decodeAll(data, into, index)
	if complete {
		faults = append(faults, bareDurations(reflect.ValueOf(into).Elem(), "", index)...)
		for _, f := range Validate(into, index) {
			if !HasFault(faults, f.Key) {
				faults = append(faults, f)
			}
		}
	}
	SortFaults(faults)
	return faults
}

// SortFaults orders faults by line.
func SortFaults(faults []Fault) {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
}

// HasFault reports whether a fault concerns the key or a part of it.
func HasFault(faults []Fault, key string) bool {
	for _, f := range faults {
		if f.Key == key || strings.HasPrefix(f.Key, key+".") || strings.HasPrefix(f.Key, key+"[") {
			return true
		}
	}
	return false
}

// maxTypeFaults bounds how often a document is decoded again without the lines
// that hold values of a wrong type.
const maxTypeFaults = 100

// decodeAll decodes the document again and again without the values of a wrong
// type, because the decoder stops at the first one. The document is complete if
// nothing but such values is missing.
func decodeAll(data []byte, into any, index *LineIndex) (faults []Fault, complete bool) {
	rest := bytes.Clone(data)
	for range maxTypeFaults {
		d := toml.NewDecoder(bytes.NewReader(rest))
		d.DisallowUnknownFields()
		err := d.Decode(into)
		var wrong *toml.DecodeError
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) || !errors.As(err, &wrong) {
			return append(faults, decodeFaults(err, index)...), true
		}
		row, _ := wrong.Position()
		key, known := index.KeyAt(row)
		if !known || len(wrong.Key()) == 0 {
			if len(faults) > 0 {
				return faults, false // A value over several lines was cut.
			}
			return []Fault{{Line: row, Key: key, Expected: message(wrong)}}, false
		}
		faults = append(faults, Fault{Line: row, Key: key, Expected: message(wrong)})
		blankLine(rest, row)
	}
	return faults, false
}

func message(err error) string { return strings.TrimPrefix(err.Error(), "toml: ") }

// blankLine overwrites the line with spaces, so that the others keep their
// numbers.
func blankLine(data []byte, row int) {
	line := 1
	for i := range data {
		if data[i] == '\n' {
			line++
			continue
		}
		if line == row {
			data[i] = ' '
		}
	}
}

const expectedKnownKey = "unknown key; remove it or correct its spelling"

// decodeFaults turns the decoder's last error into faults.
func decodeFaults(err error, index *LineIndex) []Fault {
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if !errors.As(err, &strict) {
		return []Fault{{Expected: message(err)}}
	}
	faults := make([]Fault, 0, len(strict.Errors))
	for i := range strict.Errors {
		e := &strict.Errors[i]
		row, _ := e.Position()
		key, known := index.KeyAt(row)
		if !known {
			key = strings.Join(e.Key(), ".")
		}
		faults = append(faults, Fault{Line: row, Key: key, Expected: expectedKnownKey})
	}
	return faults
}

// Validate checks the struct's validate tags. The index may be nil.
func Validate(document any, index *LineIndex) []Fault {
	v := validator.New(validator.WithRequiredStructEnabled())
	if err := v.RegisterValidation("name", isName); err != nil {
		return []Fault{{Expected: err.Error()}}
	}
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
	case "name":
		return fmt.Sprintf("expected lower-case letters, digits, \".\" and \"-\" only, not %q", fmt.Sprint(f.Value()))
	case "startswith":
		return fmt.Sprintf("expected a value that starts with %q", f.Param())
	case "unique":
		return fmt.Sprintf("expected each %s only once", f.Param())
	default:
		return fmt.Sprintf("expected %s %s", f.Tag(), f.Param())
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// isName checks a name that becomes part of row keys and paths.
func isName(f validator.FieldLevel) bool { return namePattern.MatchString(f.Field().String()) }
