package qfplatform

import (
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qftest"
	"quetzalfront/internal/standin/standflood"
)

// TestFloodsAreBounded fails if a service of the platform that sends bytes without end fills the
// memory, or if such an answer counts as one.
func TestFloodsAreBounded(t *testing.T) {
	const mostBytes = 32 << 20
	for _, flood := range standflood.All() {
		t.Run(string(flood), func(t *testing.T) {
			address, closed := qftest.StartFlood(t, flood, "")
			counter := &qftest.ByteCounter{Most: mostBytes}
			client := NewClient(address, time.Minute, counter.Dial)
			var answer any
			if err := client.Read(t.Context(), qf.StepTableRead, client.NewRequest().Get("/"), &answer); err == nil {
				t.Errorf("the answer %v counts", answer)
			}
			counter.Check(t)
			<-closed // Ends once the connection is closed.
		})
	}
}
