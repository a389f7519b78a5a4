package qfdocument_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/qf/state/qfdocument"
)

type document struct {
	Title  string `validate:"required"`
	Level  string `validate:"omitempty,oneof=low high"`
	Wait   qfdocument.Duration
	Groups []group `validate:"unique=Name,dive"`
}

type group struct {
	Name    string   `validate:"required"`
	Members []member `validate:"dive"`
	Lists   []int
}

type member struct {
	Age  int `validate:"gte=0,lte=150"`
	Wait qfdocument.Duration
}

// TestDecodeNamesEveryFault checks that each fault is reported with its line, key and
// expectation.
func TestDecodeNamesEveryFault(t *testing.T) {
	const unknown = "unknown key; remove it or correct its spelling"
	tests := []struct {
		name, text string
		want       []qfdocument.Fault
	}{
		{"no fault", "Title = 'a'\nWait = '2s'\n", nil},
		{"missing field", "\nLevel = 'low'\n", []qfdocument.Fault{{Line: 1, Key: "Title", Expected: "is required"}}},
		{"unknown key", "Title = 'a'\nTitel = 'b'\n", []qfdocument.Fault{{Line: 2, Key: "Titel", Expected: unknown}}},
		{"bad unit", "Title = 'a'\nWait = '2 seconds'\n", []qfdocument.Fault{
			{Line: 2, Key: "Wait", Expected: `expected a duration with a unit, such as "250ms" or "2s", not "2 seconds"`},
		}},
		{"no unit", "Title = 'a'\nWait = 2\n", []qfdocument.Fault{
			{Line: 2, Key: "Wait", Expected: `expected a duration with a unit, such as "250ms" or "2s", not 2`},
		}},
		{"table for a duration", "Title = 'a'\n[Wait]\nSeconds = 2\n", []qfdocument.Fault{
			{Line: 1, Key: "document", Expected: "expected a duration, not a table"},
		}},
		{"wrong choice", "Title = 'a'\nLevel = 'middle'\n", []qfdocument.Fault{
			{Line: 2, Key: "Level", Expected: `expected one of low high, not "middle"`},
		}},
		{"name twice", "Title = 'a'\n[[Groups]]\nName = 'x'\n[[Groups]]\nName = 'x'\n", []qfdocument.Fault{
			{Line: 2, Key: "Groups", Expected: "expected each Name only once"},
		}},
		{
			"nested array tables",
			"Title = 'a'\n[[Groups]]\nName = 'x'\n[[Groups.Members]]\nAge = 1\n[[Groups]]\nName = 'y'\n" +
				"[[Groups.Members]]\nAge = 2\n[[Groups.Members]]\nAge = 200\nWait = 'long'\nHeight = 3\n",
			[]qfdocument.Fault{
				{Line: 11, Key: "Groups[1].Members[1].Age", Expected: "expected at most 150"},
				{Line: 12, Key: "Groups[1].Members[1].Wait", Expected: `expected a duration with a unit, such as "250ms" or "2s", not "long"`},
				{Line: 13, Key: "Groups[1].Members[1].Height", Expected: unknown},
			},
		},
		{
			"several wrong values at once",
			"Wait = 'a'\nTitle = 'b'\n[[Groups]]\nLists = [\n  1,\n  'two',\n]\n[[Groups]]\nName = 'x'\nNick = 'y'",
			[]qfdocument.Fault{
				{Line: 1, Key: "Wait", Expected: `expected a duration with a unit, such as "250ms" or "2s", not "a"`},
				{Line: 3, Key: "Groups[0].Name", Expected: "is required"},
				{Line: 6, Key: "Groups[0].Lists", Expected: "cannot decode TOML string into struct field qfdocument_test.group.Lists of type int"},
				{Line: 10, Key: "Groups[1].Nick", Expected: unknown},
			},
		},
		{"syntax", "Title = 'a'\nLevel = \n", []qfdocument.Fault{
			{Line: 2, Key: "document", Expected: "unexpected character U+000A at start of value"},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := qfdocument.Decode([]byte(test.text), &document{})
			if !reflect.DeepEqual(got, test.want) {
				t.Errorf("faults:\n%v\nwant:\n%v", got, test.want)
			}
		})
	}
}

// TestDecodeIsBounded checks that a document with many wrong values isn't decoded once for
// each of them.
func TestDecodeIsBounded(t *testing.T) {
	faults := qfdocument.Decode([]byte("Title = 'a'\n"+strings.Repeat("[[Groups]]\nName = 1\n", 300)), &document{})
	last := faults[len(faults)-1]
	if len(faults) != 101 || last.Key != "document" || last.Line != 201 {
		t.Errorf("%d faults, the last %s", len(faults), last)
	}
}

// TestDurationSurvivesJSON checks that a duration is the same after it was encoded to JSON
// and decoded.
func TestDurationSurvivesJSON(t *testing.T) {
	want := struct{ Wait qfdocument.Duration }{qfdocument.Duration(1500 * time.Millisecond)}
	data, err := json.Marshal(want)
	if err != nil || string(data) != `{"Wait":"1.5s"}` {
		t.Fatalf("%s, %v", data, err)
	}
	got := want
	got.Wait = 0
	if err := json.Unmarshal(data, &got); err != nil || got != want {
		t.Errorf("%v, %v; want %v", got, err, want)
	}
}
