package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// eventListed is in the log line of an endpoint that a node lists.
const eventListed = `"Event":330`

// oddRow returns a row of an endpoint of books with one text replaced.
func oddRow(old, replacement string) string {
	const row = `{"service":"books","address":"10.8.0.9:80","zone":"north-a","version":"v1","slots":8,"state":"ready","cold-left-ms":0,"seq":1,"born":1}`
	return strings.Replace(row, old, replacement, 1)
}

// TestOddRowsNameNoEndpoint fails if a row that another writer has left among those of the endpoints ends a node, stops
// it from following the list, or gets requests: rows that are nested, too large, out of range, or of another type.
func TestOddRowsNameNoEndpoint(t *testing.T) {
	const nesting = 20000
	tests := []struct{ name, value string }{
		{"nested", strings.Repeat("[", nesting) + strings.Repeat("]", nesting)},
		{"nested in a field", oddRow(`"born":1`, `"born":`+strings.Repeat(`{"a":`, nesting)+"1"+strings.Repeat("}", nesting))},
		{"nested in an unknown field", oddRow(`"born":1`, `"more":`+strings.Repeat(`[`, nesting)+strings.Repeat("]", nesting))},
		{"never closed", strings.Repeat(`{"a":`, nesting)},
		{"seq fits no integer", oddRow(`"seq":1`, `"seq":1e30`)},
		{"seq fits no float", oddRow(`"seq":1`, `"seq":1e400`)},
		{"seq with a fraction", oddRow(`"seq":1`, `"seq":1.5`)},
		{"negative seq", oddRow(`"seq":1`, `"seq":-1`)},
		{"seq as text", oddRow(`"seq":1`, `"seq":"1"`)},
		{"no seq", oddRow(`"seq":1,`, ``)},
		{"born fits no integer", oddRow(`"born":1`, `"born":1e30`)},
		{"port out of range", oddRow("0.9:80", "0.9:65616")},
		{"port 0", oddRow("0.9:80", "0.9:0")},
		{"no port", oddRow("0.9:80", "0.9")},
		{"address of no machine", oddRow("10.8.0.9", "0.0.0.0")},
		{"address as a number", oddRow(`"10.8.0.9:80"`, `7`)},
		{"slots fit no integer", oddRow(`"slots":8`, `"slots":1e30`)},
		{"more slots than any endpoint has", oddRow(`"slots":8`, `"slots":9000000000000000000`)},
		{"cold for longer than a duration holds", oddRow(`"cold-left-ms":0`, `"cold-left-ms":1e300`)},
		{"leaves later than a duration holds", oddRow(`"seq":1`, `"seq":1,"leaves_ms":-1e300`)},
		{"state as a list", oddRow(`"ready"`, `["ready"]`)},
		{"no object", `"ready"`},
		{"null", `null`},
		{"empty", ``},
		{"not text", "\xff\xfe\x00"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 2, func(w *testFleet) {
				w.startReplica("odd", 9)
				w.store.Put("servers", "odd", []byte(tt.value))
				w.sleep(settle)
				w.addReplica("books-3", "books", 5)
				w.sleep(time.Second)
				for i := range 24 {
					if a := w.call(w.t.Context(), i%2+1, http.MethodPost, "/file/1", "body"); a.status != http.StatusOK {
						t.Errorf("status %d: %s", a.status, a.body)
					}
				}
				if got := len(w.replicas["odd"].Arrivals()); got != 0 {
					t.Errorf("the row got %d requests", got)
				}
				if listed := w.log.count(eventListed, `"odd"`); listed != 0 {
					t.Errorf("%d nodes list an endpoint for the row", listed)
				}
				if len(w.replicas["books-3"].Runs()) == 0 {
					t.Error("an endpoint that was listed after the row gets no requests")
				}
			})
		})
	}
}
