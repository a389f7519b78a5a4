package entry_test

import (
	"net/http"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standfault"
)

// TestRowsThatReturnAreListed fails if an endpoint whose row is removed and written again within one answer of the store
// stays unlisted: nothing else would ever list it. It is played with all rows, while the store is silent and not.
func TestRowsThatReturnAreListed(t *testing.T) {
	rewrite := func(w *testFleet) {
		for _, id := range []string{"books-1", "books-2"} {
			w.store.Remove("servers", id)
		}
		w.list("books-1", "books", "10.8.0.3:80", "ready")
		w.list("books-2", "books", "10.8.0.4:80", "ready")
	}
	tests := []struct {
		name string
		play func(w *testFleet)
	}{
		{"in one answer", rewrite},
		{"while the store is silent", func(w *testFleet) {
			w.store.SetFaults(standfault.Faults{Down: true})
			w.sleep(4500 * time.Millisecond)
			rewrite(w)
			w.store.SetFaults(standfault.Faults{})
		}},
		{"again and again", func(w *testFleet) {
			for range 10 {
				rewrite(w)
				w.sleep(170 * time.Millisecond)
			}
		}},
	}
	for _, tt := range tests {
		for _, nodes := range []int{1, 6} {
			t.Run(tt.name, func(t *testing.T) {
				runFleet(t, nodes, func(w *testFleet) {
					tt.play(w)
					const settled = 5 * time.Second
					w.sleep(settled)
					served := 0
					for i := range 20 * nodes {
						if w.call(w.t.Context(), i%nodes+1, http.MethodGet, "/read/1", "").status == http.StatusOK {
							served++
						}
					}
					if served != 20*nodes {
						t.Errorf("%d of %d requests are served", served, 20*nodes)
					}
				})
			})
		}
	}
}

// TestMissedRowsComeBack fails if nodes that have missed a row of an endpoint, new, gone or in a later incarnation, never
// find that out, or don't log it.
func TestMissedRowsComeBack(t *testing.T) {
	runFleet(t, 2, func(w *testFleet) {
		missesAll := func(*qf.FeedRow) bool { return true }
		w.isMissed.Store(&missesAll)
		w.store.Remove("servers", "books-1")
		w.addReplica("books-3", "books", 7)
		w.sleep(settle)
		w.isMissed.Store(nil)
		const healed = 7 * time.Minute
		w.sleep(healed)
		w.store.Remove("servers", "books-2")
		w.sleep(settle)
		for i := range 10 {
			if a := w.call(w.t.Context(), i%2+1, http.MethodGet, "/read/1", ""); a.status != http.StatusOK {
				t.Errorf("status %d", a.status)
			}
		}
		if runs := len(w.replicas["books-3"].Runs()); runs != 10 {
			t.Errorf("the only endpoint that is listed got %d of 10 requests", runs)
		}
		const eventDiffers = `"Event":336`
		if logged := w.log.count(eventDiffers); logged != 2 {
			t.Errorf("%d lines of 2 nodes tell of the difference", logged)
		}
	})
}
