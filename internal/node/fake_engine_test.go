package node

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

// tokenEvery is the time between two tokens of the fake engine.
const tokenEvery = 20 * time.Millisecond

// fakeEngine implements qf.EngineClient. Its tokens carry their index and the
// attempt in which they were generated.
type fakeEngine struct {
	timer qf.Clock

	mu sync.Mutex
	// running counts the streams of a request that are open, by request.
	running map[qf.RequestID]int
	// gone holds endpoints that were taken; gone streams break.
	gone map[qf.EndpointID]chan struct{}
	// kv holds the tokens of the KV caches at each endpoint.
	kv map[kvKey]int
	// bandwidth is the bytes per second of an export; 0 refuses exports.
	bandwidth float64
	// failImports refuses imports.
	failImports bool
	// computed counts the tokens that attempts had to compute.
	computed int
}

type kvKey struct {
	endpoint qf.EndpointID
	attempt  qf.AttemptID
}

func newFakeEngine(timer qf.Clock) *fakeEngine {
	return &fakeEngine{
		timer: timer, running: map[qf.RequestID]int{}, gone: map[qf.EndpointID]chan struct{}{}, kv: map[kvKey]int{},
	}
}

func (e *fakeEngine) runningOf(id qf.RequestID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[id]
}

// goneOf returns a channel that is closed when the endpoint is taken.
func (e *fakeEngine) goneOf(id qf.EndpointID) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone[id] == nil {
		e.gone[id] = make(chan struct{})
	}
	return e.gone[id]
}

// take ends an endpoint.
func (e *fakeEngine) take(id qf.EndpointID) {
	gone := e.goneOf(id)
	if !isClosed(gone) {
		close(gone)
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// StartGeneration implements qf.EngineClient.
func (e *fakeEngine) StartGeneration(_ context.Context, endpoint qf.Endpoint, r qf.GenerateRequest) (qf.ChunkStream, error) {
	gone := e.goneOf(endpoint.ID)
	if isClosed(gone) {
		return nil, &qf.Error{Code: qf.CodeUnavailable, Step: qf.StepAttempt, Peer: string(endpoint.ID), Ran: qf.RanNo}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	total := qfprefix.EstimateTokens(r.Messages) + r.ResumeTokens
	computed := total - min(total, e.kv[kvKey{endpoint.ID, qf.AttemptID(r.KVHandle)}])
	e.computed += computed
	e.running[r.Request]++
	return &fakeStream{engine: e, endpoint: endpoint.ID, request: r, offset: r.ResumeTokens, computed: computed, gone: gone}, nil
}

type fakeStream struct {
	engine           *fakeEngine
	endpoint         qf.EndpointID
	request          qf.GenerateRequest
	offset, computed int
	gone             chan struct{}
	begun, closed    bool
}

const prefillEvery = 100 * time.Microsecond

// Next implements qf.ChunkStream.
func (s *fakeStream) Next(ctx context.Context) (qf.StreamChunk, error) {
	wait := tokenEvery
	piece := qf.StreamChunk{Attempt: s.request.Attempt, Offset: s.offset}
	if !s.begun {
		wait += time.Duration(s.computed) * prefillEvery
		piece.ComputedTokens = s.computed
	}
	s.begun = true
	due := s.engine.timer.After(wait)
	defer due.Stop()
	select {
	case <-due.C():
	case <-s.gone:
		return qf.StreamChunk{}, io.ErrUnexpectedEOF
	case <-ctx.Done():
		return qf.StreamChunk{}, io.ErrUnexpectedEOF
	}
	if s.offset >= s.request.MaxTokens {
		piece.End = true
		return piece, nil
	}
	piece.Text = fmt.Sprintf("%d/%.4s ", s.offset, s.request.Attempt)
	s.offset++
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.kv[kvKey{s.endpoint, s.request.Attempt}] = qfprefix.EstimateTokens(s.request.Messages) + s.offset
	return piece, nil
}

// Close implements qf.ChunkStream.
func (s *fakeStream) Close() error {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if !s.closed {
		s.closed = true
		s.engine.running[s.request.Request]--
	}
	return nil
}

// FetchLoad implements qf.EngineClient.
func (e *fakeEngine) FetchLoad(_ context.Context, endpoint qf.Endpoint) (qf.LoadReport, error) {
	if isClosed(e.goneOf(endpoint.ID)) {
		return qf.LoadReport{}, qf.NewError(qf.CodeUnavailable, qf.StepStatus, string(endpoint.ID), "no connection")
	}
	return qf.LoadReport{Endpoint: endpoint.ID}, nil
}

// ProbeEndpoint implements qf.Prober.
func (e *fakeEngine) ProbeEndpoint(ctx context.Context, endpoint qf.Endpoint) (qf.LoadReport, error) {
	return e.FetchLoad(ctx, endpoint)
}

func (e *fakeEngine) FetchCacheEvents(context.Context, qf.Endpoint, uint64) ([]qf.CacheEvent, error) {
	return nil, nil
}

func (e *fakeEngine) SendOrder(context.Context, qf.Endpoint, qf.Order) qf.Result[qf.LoadReport] {
	return qf.Result[qf.LoadReport]{}
}

const kvBytes = 128 << 10

// ExportKV implements qf.EngineClient. Exports of one endpoint share its link only
// through the planner, which starts them one after the other.
func (e *fakeEngine) ExportKV(ctx context.Context, endpoint qf.Endpoint, attempt qf.AttemptID) (qf.KVExport, error) {
	gone := e.goneOf(endpoint.ID)
	e.mu.Lock()
	tokens := e.kv[kvKey{endpoint.ID, attempt}]
	bandwidth := e.bandwidth
	e.mu.Unlock()
	refused := qf.NewError(qf.CodeUnavailable, qf.StepResume, string(endpoint.ID), "the export broke")
	if bandwidth == 0 || isClosed(gone) {
		return qf.KVExport{}, refused
	}
	due := e.timer.After(time.Duration(float64(tokens) * kvBytes / bandwidth * float64(time.Second)))
	defer due.Stop()
	select {
	case <-due.C():
		return qf.KVExport{Handle: string(attempt), Tokens: tokens, Bytes: uint64(tokens) * kvBytes}, nil
	case <-gone:
	case <-ctx.Done():
	}
	return qf.KVExport{}, refused
}

// ImportKV implements qf.EngineClient.
func (e *fakeEngine) ImportKV(_ context.Context, endpoint qf.Endpoint, export qf.KVExport) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failImports {
		return qf.NewError(qf.CodeUnavailable, qf.StepResume, string(endpoint.ID), "the import failed")
	}
	e.kv[kvKey{endpoint.ID, qf.AttemptID(export.Handle)}] = export.Tokens
	return nil
}
