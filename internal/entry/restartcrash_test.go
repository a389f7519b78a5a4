package entry_test

import (
	"testing"
	"time"

	"quetzalfront/internal/standin/standfault"
)

// TestCrashingRequestIsKnownAfterAllNodesRestart fails if what is known of a request that crashes endpoints, one death included, is
// lost when all nodes end together (review, case 8), whatever the store does beside it.
func TestCrashingRequestIsKnownAfterAllNodesRestart(t *testing.T) {
	const length = 90 * time.Second
	tests := []struct {
		name         string
		nodes        int
		every        time.Duration
		restartEvery time.Duration
		// around is called before the nodes end, and the function that it returns once they have started again.
		around func(w *crashWorld) func()
	}{
		{name: "refused", every: 6 * time.Second, restartEvery: 18 * time.Second},
		{name: "after each death", every: 12 * time.Second, restartEvery: 12 * time.Second},
		{name: "request right at the start", every: time.Second, restartEvery: 18 * time.Second},
		{name: "large fleet", nodes: 17, every: 6 * time.Second, restartEvery: 18 * time.Second},
		{name: "store away", every: time.Second, restartEvery: 18 * time.Second, around: func(w *crashWorld) func() {
			w.store.SetFaults(standfault.Faults{Down: true})
			return func() {
				w.sleep(3 * time.Second)
				w.store.SetFaults(standfault.Faults{})
			}
		}},
		{name: "store slow", every: time.Second, restartEvery: 18 * time.Second, around: func(w *crashWorld) func() {
			w.store.SetFaults(standfault.Faults{Delay: 400 * time.Millisecond})
			return func() {
				w.sleep(3 * time.Second)
				w.store.SetFaults(standfault.Faults{})
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			day := crashDay{nodes: max(tt.nodes, 3), endpoints: 9, crashingBodies: []string{crashingBody}}
			runCrashDay(t, day, func(w *crashWorld) {
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					w.insist(&insistentCaller{path: "/talk/1", every: tt.every, attempts: 1}, length)
				}()
				for began := w.clock.Now(); w.clock.Now().Sub(began) < length-tt.restartEvery; {
					w.sleep(tt.restartEvery / 2)
					after := func() {}
					if tt.around != nil {
						after = tt.around(w)
					}
					w.restartNodes()
					after()
					w.sleep(tt.restartEvery / 2)
				}
				<-ended
				w.checkLateRetries()
				if len(w.crashes) < 2 {
					t.Errorf("%d endpoints crashed, so that nothing was shown", len(w.crashes))
				}
				t.Logf("%d endpoints crashed", len(w.crashes))
			})
		})
	}
}
