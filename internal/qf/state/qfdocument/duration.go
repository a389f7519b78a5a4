package qfdocument

import (
	"fmt"
	"reflect"
	"time"
)

// Duration is a time.Duration that documents write as "1.5s".
type Duration time.Duration

const expectedDuration = "expected a duration with a unit, such as \"250ms\" or \"2s\""

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%s, not %q", expectedDuration, text)
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

// bareDurations finds durations that are written as a number. The decoder takes
// those as nanoseconds, which nobody means; they are set to zero.
func bareDurations(v reflect.Value, key string, index *LineIndex) []Fault {
	switch v.Kind() {
	case reflect.Struct:
		var faults []Fault
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				faults = append(faults, bareDurations(v.Field(i), join(key, f.Name), index)...)
			}
		}
		return faults
	case reflect.Slice:
		var faults []Fault
		for i := range v.Len() {
			faults = append(faults, bareDurations(v.Index(i), fmt.Sprintf("%s[%d]", key, i), index)...)
		}
		return faults
	case reflect.Int64:
		if v.Type() != reflect.TypeFor[Duration]() || !index.numbers[key] {
			return nil
		}
		fault := Fault{Line: index.Line(key), Key: key, Expected: fmt.Sprintf("%s, not %d", expectedDuration, v.Int())}
		v.SetInt(0)
		return []Fault{fault}
	default:
		return nil
	}
}
