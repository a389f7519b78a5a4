package qfclient_test

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qftest"
	"quetzalfront/internal/standin/standsocket"
	"quetzalfront/pkg/qfapi"
	"quetzalfront/pkg/qfclient"
)

// TestUnsoundHeadsAreNoAnswers fails if an answer whose head HTTP doesn't allow counts as a service's answer, with the client's own HTTP
// client or with one that the caller brings.
func TestUnsoundHeadsAreNoAnswers(t *testing.T) {
	clients := []struct {
		name string
		http *http.Client
	}{
		{"own client", nil},
		{"the caller's client", &http.Client{}},
	}
	for _, head := range qftest.UnsoundHeads() {
		for _, tt := range clients {
			t.Run(head.Name+", "+tt.name, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var attempts atomic.Int64
				address := qftest.StartSocket(t, &standsocket.Server{Ending: standsocket.EndsAndReads, Answer: func(r *http.Request) string {
					if r.Method == http.MethodPost && attempts.Add(1) > 1 {
						cancel() // The first one has failed, as it must.
					}
					return head.Response(qfapi.HeaderRan+": Yes\r\n", "{}")
				}})
				client := qfclient.New(qfclient.Options{Seeds: []netip.AddrPort{address}, Organisation: "parks", HTTP: tt.http})
				answer, err := client.Do(ctx, qfclient.Call{Entry: "register", Method: http.MethodPost, Path: "/permits", IdempotencyKey: "k"})
				if err == nil {
					t.Errorf("it is an answer: %d %q", answer.Status, answer.Body)
				} else if qf.RanOf(err) == qf.RanNo {
					t.Errorf("the call counts as not run: %v", err)
				}
			})
		}
	}
}
