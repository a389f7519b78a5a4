package entry_test

import (
	"net/http"
	"testing"
	"time"
)

// TestMisdirectedRequestsStayFew fails if a row that names the address of another endpoint goes on getting the first
// attempts of requests, each of which the other endpoint rejects.
func TestMisdirectedRequestsStayFew(t *testing.T) {
	runFleet(t, 2, func(w *testFleet) {
		w.list("odd", "books", "10.8.0.3:80", "ready")
		w.sleep(settle)
		const calls, interval, nodes = 300, 50 * time.Millisecond, 2
		rejected := func() int { return len(w.replicas["books-1"].Arrivals()) - len(w.replicas["books-1"].Runs()) }
		for i := range calls {
			if a := w.call(w.t.Context(), i%nodes+1, http.MethodPost, "/file/1", "body"); a.status != http.StatusOK {
				t.Errorf("status %d: %s", a.status, a.body)
			}
			w.sleep(interval)
			if isFirstSecond := time.Duration(i+1)*interval <= time.Second; isFirstSecond && rejected() > nodes {
				t.Errorf("%d of %d requests were sent to an address that another endpoint has, want at most one of each node", rejected(), i+1)
				break
			}
		}
		if most := calls / 20; rejected() > most {
			t.Errorf("%d of %d requests were sent to an address that another endpoint has, want at most %d", rejected(), calls, most)
		}
	})
}

// TestReusedAddressServesAgain fails if an endpoint whose address another one has for a while isn't used again once the
// address is its own.
func TestReusedAddressServesAgain(t *testing.T) {
	runFleet(t, 1, func(w *testFleet) {
		w.replicas["books-1"].Impersonate("another")
		for range 40 {
			w.call(w.t.Context(), 1, http.MethodPost, "/file/1", "body")
			w.sleep(100 * time.Millisecond)
		}
		w.replicas["books-1"].Impersonate("")
		const most = 10 * time.Second
		w.sleep(most)
		before := len(w.replicas["books-1"].Runs())
		for range 40 {
			w.call(w.t.Context(), 1, http.MethodPost, "/file/1", "body")
			w.sleep(100 * time.Millisecond)
		}
		if len(w.replicas["books-1"].Runs()) == before {
			t.Errorf("the endpoint gets no requests %s after its address is its own again", most)
		}
	})
}
