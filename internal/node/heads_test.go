package node

import (
	"net/http"
	"testing"

	"github.com/rs/zerolog"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qfsettings"
	"quetzalfront/internal/qftest"
)

// TestUnsoundHeadsOfEndpointsAreNoAnswers fails if an answer whose head HTTP doesn't allow counts as one of an endpoint, or proves that
// nothing ran.
func TestUnsoundHeadsOfEndpointsAreNoAnswers(t *testing.T) {
	platform := Connect(qfsettings.Default(), qftimer.NewWall(), qf.TCP(), zerolog.Nop(), 1)
	for _, head := range qftest.UnsoundHeads() {
		for _, fields := range []string{"", "Qf-Not-Run: true\r\n"} {
			t.Run(head.Name+" "+fields, func(t *testing.T) {
				endpoint := qf.Endpoint{ID: "e-1", Address: head.Start(t, "X-Request-Id: a-1\r\n"+fields, "{}")}
				called := platform.Service.CallService(t.Context(), endpoint, qf.ServiceCall{Method: http.MethodPost, Path: "/permits", Attempt: "a-1"})
				if called.Certainty != qf.Unknown {
					t.Errorf("a call is %s with status %d, %q, %v", called.Certainty, called.Value.Status, called.Value.Body, called.Err)
				}
				if asked := platform.Service.FetchStatus(t.Context(), endpoint, "a-1"); asked.Certainty != qf.Unknown {
					t.Errorf("a status query is %s with %q, %v", asked.Certainty, asked.Value.Body, asked.Err)
				}
				if _, err := platform.Engine.FetchLoad(t.Context(), endpoint); err == nil {
					t.Error("it counts as a load report")
				}
				stream, err := platform.Engine.StartGeneration(t.Context(), endpoint, qf.GenerateRequest{Attempt: "a-1"})
				if err == nil {
					_ = stream.Close()
				}
				if qf.RanOf(err) != qf.RanUnknown {
					t.Errorf("a generation ends with %v", err)
				}
			})
		}
	}
}
