package node

import (
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
)

// TestOnceOnlyWithoutEndpoint accepts once-only requests for an entry that no
// endpoint serves. A key that was used before is answered all the same, and one
// that wasn't stays free.
func TestOnceOnlyWithoutEndpoint(t *testing.T) {
	answer := &qf.ServiceResponse{Attempt: "a", Body: []byte("filed")}
	tests := []struct {
		name string
		// outcome is how an earlier request with the key ended; empty if there was
		// none.
		outcome qf.FinalOutcome
		ran     qf.Ran
	}{
		{"a new key", "", qf.RanNo},
		{"an answered key", qf.OutcomeAnswered, ""},
		{"an unknown key", qf.OutcomeUnknown, qf.RanUnknown},
		{"a freed key", qf.OutcomeNotRun, qf.RanNo},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				n := f.nodes[0]
				request := func(id qf.RequestID) *qf.Request {
					return &qf.Request{
						ID: id, Organisation: "o", Entry: "register", Kind: qf.KindPlainService, Key: "k",
						Method: "POST", Path: "/permits", Deadline: f.timer.Now().Add(time.Minute),
					}
				}
				if test.outcome != "" {
					intent, err := n.platform.Ledger.RecordIntent(t.Context(), request("r0"), "other", qf.PlannedAttempt{Attempt: "a"})
					if err != nil {
						t.Fatal(err)
					}
					if err := n.platform.Ledger.RecordOutcome(t.Context(), request("r0"), intent, test.outcome, answer); err != nil {
						t.Fatal(err)
					}
				}
				record, err := n.Accept(t.Context(), request("r1"))
				if test.ran == "" {
					if err != nil || string(record.Progress(0).Answer.Body) != "filed" {
						t.Fatalf("got %v", err)
					}
					return
				}
				if qf.RanOf(err) != test.ran {
					t.Errorf("got %v, want Ran %s", err, test.ran)
				}
				if test.ran != qf.RanNo {
					return
				}
				intent, err := n.platform.Ledger.RecordIntent(t.Context(), request("r2"), "other", qf.PlannedAttempt{Attempt: "b"})
				if err != nil || intent.State != qf.IntentFresh {
					t.Errorf("the key is %s: %v", intent.State, err)
				}
			})
		})
	}
}
