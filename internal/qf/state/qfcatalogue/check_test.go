package qfcatalogue

import (
	"slices"
	"strings"
	"testing"
)

const goodEntry = `
[[Entries]]
Name = "assistant"
Kind = "ModelEngine"
Owner = "wards"
Class = "Interactive"
Deadline = "60s"
FirstTokenTarget = "1.8s"
Target = "v1"
MoveBy = 2026-12-03T22:00:00Z

  [[Entries.Versions]]
  Name = "v1"
`

// TestCheckExplainsEveryFault checks that each fault of a document is reported with its
// line and key. Each row changes one or more lines of a valid document.
func TestCheckExplainsEveryFault(t *testing.T) {
	rows := []struct {
		name    string
		replace []string
		append  string
		want    []string
	}{
		{name: "good"},
		{name: "unknown key", replace: []string{`Owner = "wards"`, `Ownr = "wards"`}, want: []string{
			"line 2: Entries[0].Owner: is required",
			"line 5: Entries[0].Ownr: unknown key; remove it or correct its spelling",
		}},
		{name: "unknown key in a version", replace: []string{`  Name = "v1"`, "  Name = \"v1\"\n  Fences = true"}, want: []string{
			"line 14: Entries[0].Versions[0].Fences: unknown key; remove it or correct its spelling",
		}},
		{name: "two wrong types and a wrong word", replace: []string{
			`Deadline = "60s"`, `Deadline = 60`, `Owner = "wards"`, `Owner = 7`, `"Interactive"`, `"Urgent"`,
		}, want: []string{
			"line 5: Entries[0].Owner: ",
			`line 6: Entries[0].Class: expected one of Critical Interactive Batch, not "Urgent"`,
			"line 7: Entries[0].Deadline: ",
		}},
		{name: "target not listed", replace: []string{`Target = "v1"`, `Target = "v2"`}, want: []string{
			`line 9: Entries[0].Target: expected one of the entry's Versions, not "v2"`,
		}},
		{name: "time without offset", replace: []string{`22:00:00Z`, `22:00:00`}, want: []string{
			"line 10: Entries[0].MoveBy: expected a time with its UTC offset, such as 2026-01-31T18:00:00Z; offices are in different time zones",
		}},
		{name: "name that can't be a path", replace: []string{`"assistant"`, `"a/b"`}, want: []string{
			`line 3: Entries[0].Name: expected lower-case letters, digits, "." and "-" only, not "a/b"`,
		}},
		{name: "target slower than deadline", replace: []string{`"1.8s"`, `"90s"`}, want: []string{
			"line 8: Entries[0].FirstTokenTarget: expected less than Deadline",
		}},
		{name: "entry twice", append: goodEntry, want: []string{
			"line 2: Entries: expected each Name only once",
		}},
		{name: "limits and prices", append: `
  [[Entries.Limits]]
  Organisation = "parks"
  [[Entries.Limits]]
  Concurrency = 4
  [[Entries.Limits]]
  Concurrency = 5
  [Entries.Placement]
  Regions = ["north", "north"]
  MinReplicas = 3
  MaxReplicas = 2
  MaxPricePerHour = 500
  MaxTotalPricePerHour = 1000
`, want: []string{
			"line 15: Entries[0].Limits[0]: expected a bound: Concurrency, RequestsPerSecond or TokensPerSecond",
			"line 19: Entries[0].Limits[2]: expected one limit for each organisation and class",
			"line 22: Entries[0].Placement.Regions: expected each region only once",
			"line 24: Entries[0].Placement.MaxReplicas: expected at least MinReplicas",
			"line 26: Entries[0].Placement.MaxTotalPricePerHour: expected at least MinReplicas times MaxPricePerHour",
		}},
		{name: "once-only calls of an engine", append: `
  [[Entries.OnceOnly]]
  Method = "GET"
  Path = "permits"
`, want: []string{
			`line 16: Entries[0].OnceOnly[0].Method: expected one of POST PUT PATCH DELETE, not "GET"`,
			`line 17: Entries[0].OnceOnly[0].Path: expected a value that starts with "/"`,
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			text := strings.NewReplacer(row.replace...).Replace(goodEntry) + row.append
			_, faults := Parse([]byte(text))
			var got []string
			for _, f := range faults {
				got = append(got, f.String())
			}
			if !slices.EqualFunc(got, row.want, strings.HasPrefix) {
				t.Errorf("faults:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(row.want, "\n"))
			}
		})
	}
}
