package node

import (
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
)

// TestOnceOnlyWithoutEndpoint guards against once-only requests that are answered wrongly
// because no endpoint serves their entry. A key that was used before must be answered from
// its recorded intent, and a new key must stay free.
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
		{"a key with an answer", qf.OutcomeAnswered, ""},
		{"a key with an unknown outcome", qf.OutcomeUnknown, qf.RanUnknown},
		{"a key whose request didn't run", qf.OutcomeNotRun, qf.RanNo},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				n := f.nodes[0]
				request := func(id qf.RequestID) *qf.Request {
					return &qf.Request{
						ID: id, Organisation: "o", Entry: "register", Kind: qf.KindPlainService, Key: "k",
						Method: "POST", Path: "/permits", Deadline: f.clock.Now().Add(time.Minute),
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
						t.Fatalf("Accept returned %v, want the recorded answer", err)
					}
					return
				}
				if qf.RanOf(err) != test.ran {
					t.Errorf("Accept returned %v, want Ran %s", err, test.ran)
				}
				if test.ran != qf.RanNo {
					return
				}
				intent, err := n.platform.Ledger.RecordIntent(t.Context(), request("r2"), "other", qf.PlannedAttempt{Attempt: "b"})
				if err != nil || intent.State != qf.IntentFresh {
					t.Errorf("the key's state is %s, want Fresh: %v", intent.State, err)
				}
			})
		})
	}
}
