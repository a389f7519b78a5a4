package qfplatform

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qftest"
)

// roundTripper is a transport whose answers have come.
type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (r roundTripper) RoundTrip(request *http.Request) (*http.Response, error) { return r(request) }

// TestAnswerThatHasBegunIsNotStalled fails if a call is cancelled for an answer that didn't begin in time after its answer was returned, since the node
// comes late to both.
func TestAnswerThatHasBegunIsNotStalled(t *testing.T) {
	for range 200 { // The timer's goroutine sees both events and takes either.
		synctest.Test(t, func(t *testing.T) {
			var sent *http.Request
			transport := &stallTransport{clock: qftest.FiredClock{Clock: qftimer.NewWall()}, timeout: time.Second, base: roundTripper(func(r *http.Request) (*http.Response, error) {
				sent = r
				return &http.Response{Body: http.NoBody}, nil
			})}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://store", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			response, err := transport.RoundTrip(request)
			synctest.Wait()
			if isCancelled := sent.Context().Err() != nil; isCancelled != (err != nil) {
				t.Errorf("cancelled: %t, error: %v", isCancelled, err)
			}
			if err == nil {
				_ = response.Body.Close() // It ends the call.
			}
		})
	}
}
