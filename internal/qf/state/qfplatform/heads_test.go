package qfplatform

import (
	"net"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qftest"
)

// TestUnsoundHeadsAreNoAnswers fails if an answer whose head HTTP doesn't allow counts as one of a service of the platform.
func TestUnsoundHeadsAreNoAnswers(t *testing.T) {
	for _, head := range qftest.UnsoundHeads() {
		t.Run(head.Name, func(t *testing.T) {
			client := NewClient(head.Start(t, "", "{}"), time.Minute, (&net.Dialer{}).DialContext)
			var answer any
			if err := client.Read(t.Context(), qf.StepTableRead, client.NewRequest().Get("/"), &answer); err == nil {
				t.Errorf("the answer %v counts", answer)
			}
			if result := Write[any](t.Context(), client, qf.StepTableCommit, client.NewRequest().Put("/")); result.Certainty != qf.Unknown {
				t.Errorf("a write is %s, %v", result.Certainty, result.Err)
			}
		})
	}
}
