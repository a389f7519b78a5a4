package entry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfexchange"
)

// TestLateNodeReachesItsEndpoints fails if a node that is held up for longer than a check lasts takes endpoints that accept connections for unreachable.
func TestLateNodeReachesItsEndpoints(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close() //nolint:errcheck // The test is over.
	clock := qftimer.NewVirtual(time.Unix(1_800_000_000, 0))
	var dials atomic.Int64
	e := &Entry{loops: t.Context()}
	e.platform.Clock = clock
	e.platform.Network = qf.Network{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			<-ctx.Done()
			clock.Advance(checkTimeout + lateAfter)
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	endpoint := qf.Endpoint{ID: "a", Entry: "x", Address: netip.MustParseAddrPort(listener.Addr().String())}
	if connected := newAttemptMonitor(e).countConnected([]qf.Endpoint{endpoint}); connected != 1 {
		t.Errorf("%d endpoints accept connections, want 1", connected)
	}
}

// TestLateStepAbandonsNoAttempt fails if a node that stood still abandons an attempt before it has had time to read what came meanwhile, or never
// abandons one that stays silent.
func TestLateStepAbandonsNoAttempt(t *testing.T) {
	clock := qftimer.NewVirtual(time.Unix(1_800_000_000, 0))
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	e := &Entry{loops: t.Context(), exchanger: qfexchange.NewClient(clock, refuse, nil)}
	e.platform.Clock = clock
	e.platform.Network = qf.Network{Dial: refuse}
	m := newAttemptMonitor(e)
	e.monitor = m
	endpoint := qf.Endpoint{ID: "a", Entry: "x"}
	m.setEndpoints([]qf.Endpoint{endpoint, {ID: "b", Entry: "x"}})
	abandoned := 0
	m.BeginAttempt(clock.Now(), &qf.PickedEndpoint{Endpoint: endpoint}, func() { abandoned++ })
	m.step(t.Context())
	m.tracker.RecordMiss("x")
	for _, check := range m.tracker.DueChecks(clock.Now()) {
		m.tracker.RecordCheck(clock.Now(), &check, 0)
	}
	clock.Advance(abandonAfterCut + abandonAfterSilence)
	m.step(t.Context())
	if abandoned != 0 {
		t.Errorf("%d attempts were abandoned by a late step, want 0", abandoned)
	}
	clock.Advance(monitorInterval)
	m.step(t.Context())
	e.background.Wait()
	if abandoned != 1 {
		t.Errorf("%d attempts were abandoned by the next step, want 1", abandoned)
	}
}
