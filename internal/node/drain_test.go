package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// TestLeavingNodeServesUntilDrainIsDue guards against a leaving node that stops serving
// while callers may still cache its address, or that serves on once a reclaim is
// less than handOverMargin away.
func TestLeavingNodeServesUntilDrainIsDue(t *testing.T) {
	keepAddressesFor := 5 * time.Second // The default of KeepAddressesFor.
	cases := []struct {
		name string
		// noticeAfter is the time from the start of the stop to the notice of a reclaim,
		// and notice the time from the notice to the reclaim; 0 means no reclaim.
		noticeAfter, notice time.Duration
		want                time.Duration
	}{
		{name: "planned", want: keepAddressesFor + departurePropagation},
		{name: "reclaim during the stop", noticeAfter: time.Second, notice: 4 * time.Second, want: 3 * time.Second},
		{name: "reclaim at once", noticeAfter: time.Second, notice: time.Second, want: time.Second},
		{name: "reclaim much later", noticeAfter: time.Second, notice: time.Minute, want: keepAddressesFor + departurePropagation},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				n := f.nodes[0]
				began := f.clock.Now()
				done := make(chan struct{})
				go func() {
					n.leave("test")
					close(done)
				}()
				if c.notice > 0 {
					f.sleep(c.noticeAfter)
					reclaimAt := f.clock.Now().Add(c.notice)
					n.reclaimAt.Store(&reclaimAt)
				}
				<-done
				if took := f.clock.Now().Sub(began); took < c.want || took > c.want+leavePollInterval {
					t.Errorf("the node served for %s, want %s", took, c.want)
				}
			})
		})
	}
}

// TestLeavingNodeClosesConnections guards against a leaving node that doesn't ask clients
// to close their connections before the drain closes them.
func TestLeavingNodeClosesConnections(t *testing.T) {
	n := &Node{}
	handler := n.closeConnectionsWhenLeaving(http.NotFoundHandler())
	for phase, want := range map[Phase]string{PhaseServing: "", PhaseLeaving: "close", PhaseDraining: "close"} {
		n.phase.Store(phase)
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
		if got := answer.Header().Get("Connection"); got != want {
			t.Errorf("%s: the Connection header is %q, want %q", phase, got, want)
		}
	}
}
