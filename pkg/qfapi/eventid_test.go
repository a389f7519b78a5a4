package qfapi

import "testing"

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
		t.Error("answers that differ have equal identifiers")
	}
}

func FuzzParseEventID(f *testing.F) {
	f.Add("17-9ae0daaf")
	f.Add("17")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseEventID(text)
		if err != nil {
			return
		}
		if again, err := ParseEventID(id.String()); err != nil || again != id {
			t.Errorf("%q became %v and then %v, %v", text, id, again, err)
		}
	})
}
