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
	// moveInterval is the time between two plans. It is long enough for the notices of one
	// reclaim wave to be planned together.
	moveInterval = 200 * time.Millisecond
	// exportOverhead is the part of an export's time that doesn't depend on its size.
	exportOverhead = 20 * time.Millisecond
)

// mover moves streams away from endpoints that leave.
type mover struct {
	node *Node

	mu sync.Mutex
	// moving holds the attempts whose KV cache is being moved.
	moving map[qf.AttemptID]bool
	// loadReports holds the endpoints' latest reports.
	loadReports map[qf.EndpointID]qf.LoadReport
	// rate is the average rate of recent exports, in bytes per second.
	rate float64
}

func newMover(n *Node) *mover {
	return &mover{
		node: n, moving: map[qf.AttemptID]bool{}, loadReports: map[qf.EndpointID]qf.LoadReport{},
		rate: float64(n.settings.Move.KVBytesPerSecond),
	}
}

// recordReport stores a load report.
func (m *mover) recordReport(report qf.LoadReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadReports[report.Endpoint] = report
}

// retainReports deletes the load reports of all but the given endpoints.
func (m *mover) retainReports(endpoints []qf.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	loads := make(map[qf.EndpointID]qf.LoadReport, len(endpoints))
	for i := range endpoints {
		id := endpoints[i].ID
		if report, ok := m.loadReports[id]; ok {
			loads[id] = report
		}
	}
	m.loadReports = loads
}

// leavingStream is one stream at an endpoint that leaves.
type leavingStream struct {
	record *qfrequest.Record
	active qfrequest.ActiveStream
	stream qfmove.Stream
	move   qfmove.Move
}

// step plans the moves of all leaving streams and starts those that are due. The others
// are planned again at the next step.
func (m *mover) step(ctx context.Context) {
	leaving, running := m.listLeavingStreams()
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
			m.requestMove(s, "")
		case qfmove.MethodExport:
			exports[s.active.Endpoint] = append(exports[s.active.Endpoint], s)
		default:
			continue
		}
		counts[s.active.Endpoint]++
	}
	for endpoint, list := range exports {
		m.markMoving(list)
		m.node.workers.Go(func() { m.export(ctx, endpoint, list) })
	}
	for endpoint, count := range counts {
		qfevent.StreamsMoving.Log(&m.node.platform.Logger, endpoint, count)
	}
}

// listLeavingStreams returns the streams at leaving endpoints that aren't being moved yet,
// and how many streams this node has at each endpoint.
func (m *mover) listLeavingStreams() (map[qf.RequestID]*leavingStream, map[qf.EndpointID]int) {
	running := map[qf.EndpointID]int{}
	byEndpoint := map[qf.EndpointID][]*leavingStream{}
	for _, record := range m.node.records.ListOpen() {
		if s, ok := record.ActiveStream(); ok {
			running[s.Endpoint]++
			byEndpoint[s.Endpoint] = append(byEndpoint[s.Endpoint], &leavingStream{record: record, active: s})
		}
	}
	leaving := map[qf.RequestID]*leavingStream{}
	m.node.mu.Lock()
	defer m.node.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.node.endpoints {
		e := &m.node.endpoints[i]
		reclaimAt, ok := m.node.membership.DepartureTime(e.VM, e.Incarnation)
		if !ok {
			continue
		}
		for _, s := range byEndpoint[e.ID] {
			if !m.moving[s.active.Attempt] {
				s.stream = m.describeStream(s, e, reclaimAt, running[e.ID])
				leaving[s.record.Request.ID] = s
			}
		}
	}
	return leaving, running
}

// describeStream returns a stream as the planner needs it. This node's share of the
// endpoint's bandwidth is its share of the endpoint's requests, because other nodes export
// from the same endpoint. The caller holds the locks of the node and the mover.
func (m *mover) describeStream(s *leavingStream, endpoint *qf.Endpoint, reclaimAt time.Time, own int) qfmove.Stream {
	all := max(m.loadReports[endpoint.ID].Running, own)
	r := s.record.Request
	return qfmove.Stream{
		Request: r.ID, Endpoint: *endpoint, Priority: r.Class.Priority(),
		ReclaimAt: reclaimAt, BytesPerSecond: uint64(m.rate * float64(own) / float64(all)),
		Computed:  qfprefix.EstimateTokens(r.Messages) + s.active.Tokens,
		Remaining: r.MaxTokens - s.active.Tokens, TokenInterval: s.active.Pace,
	}
}

// destinations returns the engines that aren't leaving and whose version isn't stopped.
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
	for _, stop := range m.node.versionChooser.ListStops() {
		stopped[version{stop.Entry, stop.Version}] = true
	}
	var destinations []qfmove.Destination
	for i := range m.node.endpoints {
		e := &m.node.endpoints[i]
		load := m.loadReports[e.ID]
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

// markMoving excludes streams from planning while their KV cache is moved.
func (m *mover) markMoving(list []*leavingStream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range list {
		m.moving[s.active.Attempt] = true
	}
}

// export moves the KV caches of one endpoint's streams one after the other. A stream
// continues at its endpoint until its cache has arrived.
func (m *mover) export(ctx context.Context, endpoint qf.EndpointID, list []*leavingStream) {
	for _, s := range list {
		handle, err := m.transfer(ctx, s)
		if err != nil {
			qfevent.ExportFailed.Log(&m.node.platform.Logger, s.record.Request.ID, endpoint, err)
		}
		m.requestMove(s, handle)
		m.mu.Lock()
		delete(m.moving, s.active.Attempt)
		m.mu.Unlock()
	}
}

// transfer exports and imports one KV cache in the time before the reclaim, and returns
// its handle. The engines send the cache to each other directly.
func (m *mover) transfer(ctx context.Context, s *leavingStream) (string, error) {
	began := m.node.now()
	left := s.stream.ReclaimAt.Sub(began) - m.node.settings.Move.Margin.Value()/2
	ctx, cancel := m.node.withTimeout(ctx, left)
	defer cancel()
	export, err := m.node.platform.Engine.ExportKV(ctx, s.stream.Endpoint, s.active.Attempt)
	if err != nil {
		if ctx.Err() != nil {
			m.updateRate(0, left)
		}
		return "", err
	}
	m.updateRate(float64(export.Bytes), m.node.now().Sub(began))
	if err := m.node.platform.Engine.ImportKV(ctx, s.move.To, export); err != nil {
		return "", err
	}
	return export.Handle, nil
}

// updateRate adds an export to the average rate. An export that ran out of time counts
// as 0 bytes, which halves the rate.
func (m *mover) updateRate(bytes float64, took time.Duration) {
	took -= exportOverhead
	if took <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rate = (m.rate + bytes/took.Seconds()) / 2
}

// requestMove makes a stream continue at its destination. If the destination leaves too,
// the router chooses another one.
func (m *mover) requestMove(s *leavingStream, kvHandle string) {
	to := s.move.To
	m.node.mu.Lock()
	if m.node.membership.IsDeparting(to.VM, to.Incarnation) {
		to, kvHandle = qf.Endpoint{}, ""
	}
	m.node.mu.Unlock()
	s.record.RequestMove(m.node.now(), &qfrequest.PlannedMove{
		From: s.active.Endpoint, To: to, KVHandle: kvHandle, Reason: s.move.Reason,
	})
}

// withTimeout returns a context that ends after a duration of the node's clock.
func (n *Node) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
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
