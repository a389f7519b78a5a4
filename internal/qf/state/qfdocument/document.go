// Package qfdocument decodes and validates TOML documents, and reports every fault in
// them with its line and key.
package qfdocument

import (
	"errors"
	"fmt"
	"regexp"
	"sort"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Fault is one thing that is wrong with a document.
type Fault struct {
	// Line counts from 1. A fault that doesn't belong to any one line has line 1.
	Line int
	// Key is the full path, such as "Entries[0].Name".
	Key string
	// Expected is a phrase that says what would be valid.
	Expected string
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Key, f.Expected)
}

// Decode decodes a document into a pointer to a struct. Unknown keys, wrong types and
// failed validation are faults; they are sorted by line. The content must not be used
// if there are any.
func Decode(data []byte, into any) []Fault {
	index := NewLineIndex(data)
	faults := decodeAll(data, into, index)
	if !isSyntaxFault(faults) {
		for _, f := range Validate(into, index) {
			if !HasFault(faults, f.Key) {
				faults = append(faults, f)
			}
		}
	}
	SortFaults(faults)
	return faults
}

// SortFaults sorts faults by line.
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

// newValidator returns a validator with the tags of this package.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	if err := v.RegisterValidation("name", isName); err != nil {
		panic(err) // Only an empty tag or a missing function is refused.
	}
	return v
}

// validate is shared, because it caches its analysis of each struct type.
var validate = newValidator()

// Validate checks a struct by its validate tags. If the index is nil, all faults have
// line 1.
func Validate(document any, index *LineIndex) []Fault {
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

// expectation returns a phrase for what a validation tag requires.
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
		return strings.TrimSpace(fmt.Sprintf("expected %s %s", f.Tag(), f.Param()))
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// isName reports whether a name can be part of row keys and paths.
func isName(f validator.FieldLevel) bool { return namePattern.MatchString(f.Field().String()) }
