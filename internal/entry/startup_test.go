package entry_test

import (
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"quetzalfront/internal/standin/standfault"
)

// TestRequestsWaitForStartup fails if callers are refused while a starting node reads the
// configuration, or are still held after the startup hold.
func TestRequestsWaitForStartup(t *testing.T) {
	const number, longestHold = 2, 1100 * time.Millisecond
	tests := []struct {
		name        string
		isStoreDown bool
		// storeDelay is the time that each call to the store takes.
		storeDelay time.Duration
		// after is the time from the node's start to the request.
		after  time.Duration
		status int
		// within bounds the time to the answer.
		within time.Duration
	}{
		{name: "at the start", status: http.StatusOK, within: longestHold},
		{name: "at the start, with a slow store", storeDelay: 300 * time.Millisecond, status: http.StatusOK, within: 450 * time.Millisecond},
		{name: "at the start, without a store", isStoreDown: true, status: http.StatusServiceUnavailable, within: longestHold},
		{name: "later, without a store", isStoreDown: true, after: longestHold, status: http.StatusServiceUnavailable, within: 50 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 0, func(w *testFleet) {
				w.store.SetFaults(standfault.Faults{Down: tt.isStoreDown, Delay: tt.storeDelay})
				w.start(number)
				w.sleep(tt.after)
				sentAt := w.clock.Now()
				got := w.call(w.t.Context(), number, http.MethodGet, "/read/1", "")
				took := w.clock.Now().Sub(sentAt)
				if got.status != tt.status || took > tt.within {
					t.Errorf("status %d after %v, want %d within %v", got.status, took, tt.status, tt.within)
				}
				w.store.SetFaults(standfault.Faults{})
			})
		})
	}
}

// TestHeldRequestsAreRead fails if a starting node doesn't read the requests that it holds, or
// if their bodies aren't limited by the configuration that it then loads.
func TestHeldRequestsAreRead(t *testing.T) {
	const number, storeDelay = 2, 300 * time.Millisecond
	tests := []struct {
		name   string
		size   int
		status int
	}{
		{name: "within the bound", size: 900, status: http.StatusOK},
		{name: "beyond the bound", size: 9000, status: http.StatusRequestEntityTooLarge},
		{name: "too large to be held", size: 2 << 20, status: http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 0, func(w *testFleet) {
				w.store.SetFaults(standfault.Faults{Delay: storeDelay})
				w.start(number)
				sentAt := w.clock.Now()
				var readAfter atomic.Int64 // The node may answer before the request is written.
				trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { readAfter.Store(int64(w.clock.Now().Sub(sentAt))) }}
				ctx := httptrace.WithClientTrace(w.t.Context(), trace)
				got := w.call(ctx, number, http.MethodPost, "/file/1", strings.Repeat("x", tt.size))
				if got.status != tt.status {
					t.Errorf("status %d, want %d", got.status, tt.status)
				}
				if after := time.Duration(readAfter.Load()); after >= storeDelay {
					t.Errorf("the request was read after %v, want before the node loaded the configuration", after)
				}
				w.store.SetFaults(standfault.Faults{})
			})
		})
	}
}

// TestQuotaIsRecheckedAtStartup fails if a caller within its quota is refused because the
// starting node doesn't know the other nodes' use yet.
func TestQuotaIsRecheckedAtStartup(t *testing.T) {
	const number = 2
	runFleet(t, 0, func(w *testFleet) {
		w.configure(2, func(text string) string {
			return strings.Replace(text, `"rate-per-s":1000000,"burst":1000000`, `"rate-per-s":2000,"burst":2000`, 1)
		})
		w.start(number)
		if got := w.call(w.t.Context(), number, http.MethodGet, "/read/1", ""); got.status != http.StatusOK {
			t.Errorf("status %d, want %d", got.status, http.StatusOK)
		}
	})
}
