package qfdocument

import (
	"errors"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Duration is a time.Duration that is written as "1.5s" in documents.
type Duration time.Duration

// expectedDuration is the phrase for a value that isn't a duration.
const expectedDuration = "expected a duration with a unit, such as \"250ms\" or \"2s\""

// UnmarshalText implements encoding.TextUnmarshaler, for JSON.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%s, not %q", expectedDuration, text)
	}
	*d = Duration(parsed)
	return nil
}

// UnmarshalTOML implements unstable.Unmarshaler. Without it the decoder would accept a
// number without a unit as nanoseconds.
func (d *Duration) UnmarshalTOML(data []byte) error {
	var raw struct{ Value any }
	if err := toml.Unmarshal(append([]byte("Value = "), data...), &raw); err != nil {
		return errors.New("expected a duration, not a table") // The data of a value always parses.
	}
	text, isText := raw.Value.(string)
	err := d.UnmarshalText([]byte(text))
	if !isText {
		err = fmt.Errorf("%s, not %s", expectedDuration, data)
	}
	if err == nil {
		return nil
	}
	return &unstable.ParserError{Highlight: data, Key: []string{"Duration"}, Message: err.Error()}
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Value returns the duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }
