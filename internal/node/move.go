package node

import (
	"context"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfmove"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/state/qfprefix"
)

const (
	// moveEvery is the time between two plans. It is long enough for the notices
	// of one wave to come together.
	moveEvery = 200 * time.Millisecond
	// exportOverhead is the time that an export takes besides its bytes.
	exportOverhead = 20 * time.Millisecond
)

// mover carries out the moves away from endpoints that leave.
type mover struct {
	node *Node

	mu sync.Mutex
	// moving holds the attempts whose KV cache is being moved.
	moving map[qf.AttemptID]bool
	// loads holds the endpoints' latest reports.
	loads map[qf.EndpointID]qf.LoadReport
	// rate is the bytes per second at which exports went lately.
	rate float64
}

func newMover(n *Node) *mover {
	return &mover{
		node: n, moving: map[qf.AttemptID]bool{}, loads: map[qf.EndpointID]qf.LoadReport{},
		rate: float64(n.settings.Move.KVBytesPerSecond),
	}
}

// reported takes a load report.
func (m *mover) reported(report qf.LoadReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads[report.Endpoint] = report
}

// keep forgets the reports of endpoints that are gone.
func (m *mover) keep(endpoints []qf.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	loads := make(map[qf.EndpointID]qf.LoadReport, len(endpoints))
	for i := range endpoints {
		id := endpoints[i].ID
		if report, ok := m.loads[id]; ok {
			loads[id] = report
		}
	}
	m.loads = loads
}

// leavingStream is one stream at an endpoint that leaves.
type leavingStream struct {
	record    *qfrequest.Record
	streaming qfrequest.ActiveStream
	stream    qfmove.Stream
	move      qfmove.Move
}

// step plans and starts the moves that are due. What may stay is planned again at
// the next step.
func (m *mover) step(ctx context.Context) {
	leaving, running := m.leaving()
	if len(leaving) == 0 {
		return
	}
	streams := make([]qfmove.Stream, 0, len(leaving))
	for _, s := range leaving {
		streams = append(streams, s.stream)
	}
	settings := &m.node.settings.Move
	moves := qfmove.Plan(m.node.now(), streams, m.destinations(running), qfmove.Network{
		BytesPerToken: settings.KVBytesPerToken, PerExport: exportOverhead, Margin: settings.Margin.Value(),
	})
	exports := map[qf.EndpointID][]*leavingStream{}
	counts := map[qf.EndpointID]int{}
	for _, move := range moves {
		s := leaving[move.Request]
		s.move = move
		switch move.Method {
		case qfmove.MethodResume:
			m.finish(s, "")
		case qfmove.MethodExport:
			exports[s.streaming.Endpoint] = append(exports[s.streaming.Endpoint], s)
		default:
			continue
		}
		counts[s.streaming.Endpoint]++
	}
	for endpoint, list := range exports {
		m.claim(list)
		m.node.workers.Go(func() { m.export(ctx, endpoint, list) })
	}
	for endpoint, count := range counts {
		qfevent.StreamsMoving.Log(&m.node.platform.Logger, endpoint, count)
	}
}

// leaving returns the streams at endpoints under notice that aren't being moved,
// and how many streams this node has at each endpoint.
func (m *mover) leaving() (map[qf.RequestID]*leavingStream, map[qf.EndpointID]int) {
	running := map[qf.EndpointID]int{}
	byEndpoint := map[qf.EndpointID][]*leavingStream{}
	for _, record := range m.node.records.ListOpen() {
		if s, ok := record.ActiveStream(); ok {
			running[s.Endpoint]++
			byEndpoint[s.Endpoint] = append(byEndpoint[s.Endpoint], &leavingStream{record: record, streaming: s})
		}
	}
	leaving := map[qf.RequestID]*leavingStream{}
	m.node.mu.Lock()
	defer m.node.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.node.endpoints {
		e := &m.node.endpoints[i]
		leaveAt, ok := m.node.membership.DepartureTime(e.VM, e.Incarnation)
		if !ok {
			continue
		}
		for _, s := range byEndpoint[e.ID] {
			if !m.moving[s.streaming.Attempt] {
				s.stream = m.describe(s, e, leaveAt, running[e.ID])
				leaving[s.record.Request.ID] = s
			}
		}
	}
	return leaving, running
}

// describe is called with the lock held. This node's part of the endpoint's link
// is its part of the endpoint's requests, because other nodes export from it too.
func (m *mover) describe(s *leavingStream, endpoint *qf.Endpoint, leaveAt time.Time, own int) qfmove.Stream {
	all := max(m.loads[endpoint.ID].Running, own)
	r := s.record.Request
	return qfmove.Stream{
		Request: r.ID, Endpoint: *endpoint, Priority: r.Class.Priority(),
		ReclaimAt: leaveAt, BytesPerSecond: uint64(m.rate * float64(own) / float64(all)),
		Computed:  qfprefix.EstimateTokens(r.Messages) + s.streaming.Tokens,
		Remaining: r.MaxTokens - s.streaming.Tokens, TokenInterval: s.streaming.Pace,
	}
}

// destinations returns the engines that aren't under notice and whose version
// isn't stopped.
func (m *mover) destinations(running map[qf.EndpointID]int) []qfmove.Destination {
	m.node.mu.Lock()
	defer m.node.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	type version struct {
		entry qf.EntryName
		name  qf.Version
	}
	stopped := map[version]bool{}
	for _, stop := range m.node.versions.ListStops() {
		stopped[version{stop.Entry, stop.Version}] = true
	}
	var destinations []qfmove.Destination
	for i := range m.node.endpoints {
		e := &m.node.endpoints[i]
		load := m.loads[e.ID]
		if e.Kind != qf.KindModelEngine || stopped[version{e.Entry, e.Version}] || load.Leaving ||
			m.node.membership.IsDeparting(e.VM, e.Incarnation) {
			continue
		}
		destinations = append(destinations, qfmove.Destination{
			Endpoint: *e, Running: max(load.Running+load.Queued, running[e.ID]),
		})
	}
	return destinations
}

// claim keeps streams from being planned again while their cache is moved.
func (m *mover) claim(list []*leavingStream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range list {
		m.moving[s.streaming.Attempt] = true
	}
}

// export moves the KV cache of one endpoint's streams in their order. A stream
// goes on at its endpoint until its cache has arrived.
func (m *mover) export(ctx context.Context, endpoint qf.EndpointID, list []*leavingStream) {
	for _, s := range list {
		handle, err := m.transfer(ctx, s)
		if err != nil {
			qfevent.ExportFailed.Log(&m.node.platform.Logger, s.record.Request.ID, endpoint, err)
		}
		m.finish(s, handle)
		m.mu.Lock()
		delete(m.moving, s.streaming.Attempt)
		m.mu.Unlock()
	}
}

// transfer exports and imports one cache within the time that is left. Engines
// pass the cache to each other; the node only names it.
func (m *mover) transfer(ctx context.Context, s *leavingStream) (string, error) {
	begin := m.node.now()
	left := s.stream.ReclaimAt.Sub(begin) - m.node.settings.Move.Margin.Value()/2
	ctx, cancel := m.node.within(ctx, left)
	defer cancel()
	export, err := m.node.platform.Engine.ExportKV(ctx, s.stream.Endpoint, s.streaming.Attempt)
	if err != nil {
		if ctx.Err() != nil {
			m.learnRate(0, left)
		}
		return "", err
	}
	m.learnRate(float64(export.Bytes), m.node.now().Sub(begin))
	if err := m.node.platform.Engine.ImportKV(ctx, s.move.To, export); err != nil {
		return "", err
	}
	return export.Handle, nil
}

// learnRate averages the rate of exports. An export that ran out of time halves
// the rate.
func (m *mover) learnRate(bytes float64, took time.Duration) {
	took -= exportOverhead
	if took <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rate = (m.rate + bytes/took.Seconds()) / 2
}

// finish has a stream go on at its destination. If the destination leaves in turn,
// the router chooses another one.
func (m *mover) finish(s *leavingStream, kvHandle string) {
	to := s.move.To
	m.node.mu.Lock()
	if m.node.membership.IsDeparting(to.VM, to.Incarnation) {
		to, kvHandle = qf.Endpoint{}, ""
	}
	m.node.mu.Unlock()
	s.record.RequestMove(m.node.now(), &qfrequest.PlannedMove{
		From: s.streaming.Endpoint, To: to, KVHandle: kvHandle, Reason: s.move.Reason,
	})
}

// within returns a context that ends after a time of the timer service.
func (n *Node) within(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	due := n.platform.Clock.After(d)
	n.workers.Go(func() {
		defer due.Stop()
		select {
		case <-due.C():
			cancel()
		case <-ctx.Done():
		}
	})
	return ctx, cancel
}
