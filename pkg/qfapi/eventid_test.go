package qfapi

import "testing"

// TestParseEventID guards against malformed identifiers that are accepted, and
// against different texts that get the same identifier.
func TestParseEventID(t *testing.T) {
	whole := EventIDOf([]string{"one ", "two "})
	cases := []struct {
		text string
		want EventID
		ok   bool
	}{
		{text: whole.String(), want: whole, ok: true},
		{text: "0", want: EventID{}, ok: true},
		{text: "17", want: EventID{Tokens: 17}, ok: true},
		{text: "0-00000000", want: EventID{HasSum: true}, ok: true},
		{text: ""},
		{text: "-1"},
		{text: "3-"},
		{text: "3-123"},
		{text: "3-123456789"},
		{text: "3-zzzzzzzz"},
		{text: "99999999999"},
	}
	for _, c := range cases {
		got, err := ParseEventID(c.text)
		if (err == nil) != c.ok || got != c.want {
			t.Errorf("%q: got %v, %v", c.text, got, err)
		}
	}
	if other := EventIDOf([]string{"one ", "too "}); other == whole {
		t.Error("different answers have equal identifiers")
	}
}

// FuzzParseEventID guards against an identifier that changes when it is formatted and
// parsed again.
func FuzzParseEventID(f *testing.F) {
	f.Add("17-9ae0daaf")
	f.Add("17")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseEventID(text)
		if err != nil {
			return
		}
		if again, err := ParseEventID(id.String()); err != nil || again != id {
			t.Errorf("%q was parsed as %v and, after formatting, as %v, %v", text, id, again, err)
		}
	})
}
