package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// TestLeavingNodeServesOn proves that a node which leaves serves for as long as
// callers may keep its address, and not beyond an announced reclaim.
func TestLeavingNodeServesOn(t *testing.T) {
	keep := 5 * time.Second // The default of KeepAddressesFor.
	cases := []struct {
		name string
		// noticeAfter is when a reclaim is announced after the stop began, and notice
		// how long ahead; 0 means never.
		noticeAfter, notice time.Duration
		want                time.Duration
	}{
		{name: "planned", want: keep + newsSpread},
		{name: "reclaim during the stop", noticeAfter: time.Second, notice: 4 * time.Second, want: 3 * time.Second},
		{name: "reclaim at once", noticeAfter: time.Second, notice: time.Second, want: time.Second},
		{name: "reclaim much later", noticeAfter: time.Second, notice: time.Minute, want: keep + newsSpread},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				n := f.nodes[0]
				begin := f.timer.Now()
				done := make(chan struct{})
				go func() {
					n.leave("test")
					close(done)
				}()
				if c.notice > 0 {
					f.pass(c.noticeAfter)
					leaveAt := f.timer.Now().Add(c.notice)
					n.leaveAt.Store(&leaveAt)
				}
				<-done
				if took := f.timer.Now().Sub(begin); took < c.want || took > c.want+leaveStep {
					t.Errorf("it served for %s, not %s", took, c.want)
				}
			})
		})
	}
}

// TestLeavingNodeClosesConnections proves that clients learn to close their
// connections before the drain does.
func TestLeavingNodeClosesConnections(t *testing.T) {
	n := &Node{}
	handler := n.closing(http.NotFoundHandler())
	for phase, want := range map[Phase]string{PhaseServing: "", PhaseLeaving: "close", PhaseDraining: "close"} {
		n.phase.Store(phase)
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
		if got := answer.Header().Get("Connection"); got != want {
			t.Errorf("%s: Connection is %q, not %q", phase, got, want)
		}
	}
}
