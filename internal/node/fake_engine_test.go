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

// tokenInterval is the time between two tokens of the fake engine.
const tokenInterval = 20 * time.Millisecond

// fakeEngine implements qf.EngineClient. Its tokens carry their index and the
// attempt in which they were generated.
type fakeEngine struct {
	clock qf.Clock

	mu sync.Mutex
	// running counts the open streams of each request.
	running map[qf.RequestID]int
	// stopped holds a channel for each endpoint, which is closed when the endpoint stops.
	// Its streams then break.
	stopped map[qf.EndpointID]chan struct{}
	// kv holds the number of tokens in each attempt's KV cache at each endpoint.
	kv map[kvKey]int
	// bandwidth is the rate of an export in bytes per second; 0 makes exports fail.
	bandwidth float64
	// failImports makes imports fail.
	failImports bool
	// computed counts the tokens that attempts had to compute.
	computed int
}

type kvKey struct {
	endpoint qf.EndpointID
	attempt  qf.AttemptID
}

func newFakeEngine(clock qf.Clock) *fakeEngine {
	return &fakeEngine{
		clock: clock, running: map[qf.RequestID]int{}, stopped: map[qf.EndpointID]chan struct{}{}, kv: map[kvKey]int{},
	}
}

func (e *fakeEngine) runningOf(id qf.RequestID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[id]
}

// stoppedChannel returns a channel that is closed when the endpoint stops.
func (e *fakeEngine) stoppedChannel(id qf.EndpointID) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped[id] == nil {
		e.stopped[id] = make(chan struct{})
	}
	return e.stopped[id]
}

// stop stops an endpoint.
func (e *fakeEngine) stop(id qf.EndpointID) {
	stopped := e.stoppedChannel(id)
	if !isClosed(stopped) {
		close(stopped)
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
	stopped := e.stoppedChannel(endpoint.ID)
	if isClosed(stopped) {
		return nil, &qf.Error{Code: qf.CodeUnavailable, Step: qf.StepAttempt, Peer: string(endpoint.ID), Ran: qf.RanNo}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	total := qfprefix.EstimateTokens(r.Messages) + r.ResumeTokens
	computed := total - min(total, e.kv[kvKey{endpoint.ID, qf.AttemptID(r.KVHandle)}])
	e.computed += computed
	e.running[r.Request]++
	return &fakeStream{engine: e, endpoint: endpoint.ID, request: r, offset: r.ResumeTokens, computed: computed, stopped: stopped}, nil
}

type fakeStream struct {
	engine           *fakeEngine
	endpoint         qf.EndpointID
	request          qf.GenerateRequest
	offset, computed int
	stopped          chan struct{}
	begun, closed    bool
}

// prefillPerToken is the time in which the fake engine prefills one token.
const prefillPerToken = 100 * time.Microsecond

// Next implements qf.ChunkStream.
func (s *fakeStream) Next(ctx context.Context) (qf.StreamChunk, error) {
	wait := tokenInterval
	chunk := qf.StreamChunk{Attempt: s.request.Attempt, Offset: s.offset}
	if !s.begun {
		wait += time.Duration(s.computed) * prefillPerToken
		chunk.ComputedTokens = s.computed
	}
	s.begun = true
	due := s.engine.clock.After(wait)
	defer due.Stop()
	select {
	case <-due.C():
	case <-s.stopped:
		return qf.StreamChunk{}, io.ErrUnexpectedEOF
	case <-ctx.Done():
		return qf.StreamChunk{}, io.ErrUnexpectedEOF
	}
	if s.offset >= s.request.MaxTokens {
		chunk.End = true
		return chunk, nil
	}
	chunk.Text = fmt.Sprintf("%d/%.4s ", s.offset, s.request.Attempt)
	s.offset++
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.kv[kvKey{s.endpoint, s.request.Attempt}] = qfprefix.EstimateTokens(s.request.Messages) + s.offset
	return chunk, nil
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
	if isClosed(e.stoppedChannel(endpoint.ID)) {
		return qf.LoadReport{}, qf.NewError(qf.CodeUnavailable, qf.StepStatus, string(endpoint.ID), "no connection")
	}
	return qf.LoadReport{Endpoint: endpoint.ID}, nil
}

// ProbeEndpoint implements qf.Prober.
func (e *fakeEngine) ProbeEndpoint(ctx context.Context, endpoint qf.Endpoint) (qf.LoadReport, error) {
	return e.FetchLoad(ctx, endpoint)
}

// FetchCacheEvents implements qf.EngineClient.
func (e *fakeEngine) FetchCacheEvents(context.Context, qf.Endpoint, uint64) ([]qf.CacheEvent, error) {
	return nil, nil
}

// SendOrder implements qf.EngineClient.
func (e *fakeEngine) SendOrder(context.Context, qf.Endpoint, qf.Order) qf.Result[qf.LoadReport] {
	return qf.Result[qf.LoadReport]{}
}

// kvBytes is the size of the KV cache of one token.
const kvBytes = 128 << 10

// ExportKV implements qf.EngineClient. It doesn't divide the bandwidth among concurrent
// exports of one endpoint, because the mover runs them one after the other.
func (e *fakeEngine) ExportKV(ctx context.Context, endpoint qf.Endpoint, attempt qf.AttemptID) (qf.KVExport, error) {
	stopped := e.stoppedChannel(endpoint.ID)
	e.mu.Lock()
	tokens := e.kv[kvKey{endpoint.ID, attempt}]
	bandwidth := e.bandwidth
	e.mu.Unlock()
	refused := qf.NewError(qf.CodeUnavailable, qf.StepResume, string(endpoint.ID), "the export failed")
	if bandwidth == 0 || isClosed(stopped) {
		return qf.KVExport{}, refused
	}
	due := e.clock.After(time.Duration(float64(tokens) * kvBytes / bandwidth * float64(time.Second)))
	defer due.Stop()
	select {
	case <-due.C():
		return qf.KVExport{Handle: string(attempt), Tokens: tokens, Bytes: uint64(tokens) * kvBytes}, nil
	case <-stopped:
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
