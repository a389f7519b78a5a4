package qfendpoint

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net/http"
	"net/netip"
	"strings"

	"github.com/dghubble/sling"
	"github.com/tmaxmax/go-sse"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfplatform"
	"quetzalfront/pkg/qfapi"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Engine is a qf.EngineClient that calls engines over HTTP.
type Engine struct {
	clients
}

// NewEngine returns a client of model engines that uses the HTTP client.
func NewEngine(client *http.Client) *Engine { return &Engine{clients: newClients(client)} }

func base(address netip.AddrPort) *sling.Sling {
	return sling.New().Base("http://" + address.String())
}

// StartGeneration implements qf.EngineClient.
func (e *Engine) StartGeneration(ctx context.Context, endpoint qf.Endpoint, request qf.GenerateRequest) (qf.ChunkStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	httpRequest, err := base(endpoint.Address).
		Post(qfapi.PathChatCompletions).
		Set(HeaderAttempt, string(request.Attempt)).
		Set(qfapi.HeaderTimeout, timeoutOf(request.AttemptOptions)).
		BodyJSON(newChatRequest(&request)).
		Request()
	if err != nil {
		cancel()
		return nil, newNotRunError(endpoint, "could not build the request", err)
	}
	response, err := e.choose(request.AttemptOptions).Do(httpRequest.WithContext(ctx))
	if err != nil {
		cancel()
		return nil, newTransportError(endpoint, err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, newRefusalError(endpoint, response)
	}
	return newStream(endpoint, request.Attempt, response.Body, cancel), nil
}

// newChatRequest returns the body of a generation request.
func newChatRequest(r *qf.GenerateRequest) *ChatRequest {
	messages := make([]qfapi.ChatMessage, 0, len(r.Messages))
	for _, m := range r.Messages {
		messages = append(messages, qfapi.ChatMessage{Role: m.Role, Content: m.Content})
	}
	return &ChatRequest{
		ChatRequest: qfapi.ChatRequest{
			Model: string(r.Entry), Messages: messages, MaxTokens: r.MaxTokens, Stream: true,
		},
		Extension: Extension{
			Request: r.Request, Organisation: r.Organisation, Priority: r.Priority,
			ResumeText: r.ResumeText, ResumeTokens: r.ResumeTokens, KVHandle: r.KVHandle,
		},
	}
}

// newNotRunError returns the error of a request that is proven not to have run.
func newNotRunError(endpoint qf.Endpoint, reason string, cause error) *qf.Error {
	return &qf.Error{
		Code: qf.CodeUnavailable, Step: qf.StepAttempt, Peer: string(endpoint.ID),
		Reason: reason, Ran: qf.RanNo, Cause: cause,
	}
}

// newTransportError returns the error of a failed exchange. The request is proven not to
// have run only if no connection was established.
func newTransportError(endpoint qf.Endpoint, cause error) *qf.Error {
	if qfplatform.IsDialFailure(cause) {
		return newNotRunError(endpoint, "no connection", cause)
	}
	return &qf.Error{
		Code: qf.CodeBroken, Step: qf.StepAttempt, Peer: string(endpoint.ID),
		Reason: "the connection broke", Ran: qf.RanUnknown, Cause: cause,
	}
}

// maxRefusalBytes bounds the part of a refusal that goes into the error.
const maxRefusalBytes = 4096

// newRefusalError returns the error for an answer that isn't OK. The header HeaderNotRun
// proves that nothing ran; without it that is unknown.
func newRefusalError(endpoint qf.Endpoint, response *http.Response) *qf.Error {
	defer func() { _ = response.Body.Close() }() // Nothing more is read from it.
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	err := &qf.Error{
		Code: qf.CodeBroken, Step: qf.StepAttempt, Peer: string(endpoint.ID),
		Reason: response.Status + ": " + strings.TrimSpace(string(text)), Ran: qf.RanUnknown,
	}
	if response.Header.Get(HeaderNotRun) == "true" {
		err.Code = qf.CodeUnavailable
		err.Ran = qf.RanNo
	}
	return err
}

// stream reads the chunks of one attempt.
type stream struct {
	endpoint qf.Endpoint
	attempt  qf.AttemptID
	body     io.Closer
	cancel   context.CancelFunc
	next     func() (sse.Event, error, bool)
	stop     func()
	ended    bool
}

func newStream(endpoint qf.Endpoint, attempt qf.AttemptID, body io.ReadCloser, cancel context.CancelFunc) *stream {
	next, stop := iter.Pull2(sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return &stream{endpoint: endpoint, attempt: attempt, body: body, cancel: cancel, next: next, stop: stop}
}

// Next implements qf.ChunkStream.
func (s *stream) Next(_ context.Context) (qf.StreamChunk, error) {
	for {
		event, err, ok := s.next()
		if !ok {
			return qf.StreamChunk{}, io.EOF
		}
		if err != nil {
			return qf.StreamChunk{}, newTransportError(s.endpoint, err)
		}
		if event.Data == qfapi.EventDone {
			continue
		}
		return s.decode(event.Data)
	}
}

// decode decodes the data of an event.
func (s *stream) decode(data string) (qf.StreamChunk, error) {
	var chunk ChatChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return qf.StreamChunk{}, newTransportError(s.endpoint, err)
	}
	if len(chunk.Choices) != 1 {
		return qf.StreamChunk{}, newTransportError(s.endpoint, errors.New("expected one choice in a chunk"))
	}
	choice := chunk.Choices[0]
	decoded := qf.StreamChunk{
		Attempt: qf.AttemptID(chunk.ID), Offset: chunk.Offset, Text: choice.Delta.Content,
		CachedTokens: chunk.CachedTokens, ComputedTokens: chunk.ComputedTokens,
	}
	if choice.FinishReason != nil {
		decoded.End = true
		decoded.FinishReason = *choice.FinishReason
	}
	return decoded, nil
}

// Close implements qf.ChunkStream. Closing the connection cancels the attempt.
func (s *stream) Close() error {
	if s.ended {
		return nil
	}
	s.ended = true
	s.cancel()
	err := s.body.Close()
	s.stop()
	return err
}

// FetchLoad implements qf.EngineClient and qf.ServiceClient.
func (e *Engine) FetchLoad(ctx context.Context, endpoint qf.Endpoint) (qf.LoadReport, error) {
	var report qf.LoadReport
	err := getJSON(ctx, e.pooled, endpoint, base(endpoint.Address).Get(PathLoad), &report)
	return report, err
}

// ProbeEndpoint implements qf.Prober.
func (e *Engine) ProbeEndpoint(ctx context.Context, endpoint qf.Endpoint) (qf.LoadReport, error) {
	var report qf.LoadReport
	err := getJSON(ctx, e.fresh, endpoint, base(endpoint.Address).Get(PathLoad), &report)
	return report, err
}

type cacheQuery struct {
	After uint64 `url:"after"`
}

// FetchCacheEvents implements qf.EngineClient.
func (e *Engine) FetchCacheEvents(ctx context.Context, endpoint qf.Endpoint, after uint64) ([]qf.CacheEvent, error) {
	var events []qf.CacheEvent
	s := base(endpoint.Address).Get(PathCacheEvents).QueryStruct(&cacheQuery{After: after})
	err := getJSON(ctx, e.pooled, endpoint, s, &events)
	return events, err
}

// getJSON sends a GET request and decodes the answer.
func getJSON(ctx context.Context, client *http.Client, endpoint qf.Endpoint, s *sling.Sling, into any) error {
	request, err := s.Request()
	if err != nil {
		return newNotRunError(endpoint, "could not build the request", err)
	}
	response, err := sling.New().Client(client).Do(request.WithContext(ctx), into, nil)
	if err != nil {
		return newTransportError(endpoint, err)
	}
	if response.StatusCode != http.StatusOK {
		return qf.NewError(qf.CodeUnavailable, qf.StepStatus, string(endpoint.ID), response.Status)
	}
	return nil
}

// SendOrder implements qf.EngineClient.
func (e *Engine) SendOrder(ctx context.Context, endpoint qf.Endpoint, order qf.Order) qf.Result[qf.LoadReport] {
	request, err := base(endpoint.Address).Put(PathOrder).BodyJSON(order).Request()
	if err != nil {
		return qf.NotDoneFor[qf.LoadReport](newNotRunError(endpoint, "could not build the order", err))
	}
	var report qf.LoadReport
	response, err := sling.New().Client(e.pooled).Do(request.WithContext(ctx), &report, nil)
	if err != nil {
		failure := newTransportError(endpoint, err)
		if failure.Ran == qf.RanNo {
			return qf.NotDoneFor[qf.LoadReport](failure)
		}
		return qf.UnknownFor[qf.LoadReport](failure)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return qf.DoneWith(report)
	case http.StatusPreconditionFailed:
		return qf.NotDoneFor[qf.LoadReport](qf.NewError(qf.CodeStaleFencing, qf.StepOrder, string(endpoint.ID), "the endpoint has accepted an order of a newer holder"))
	default:
		return qf.UnknownFor[qf.LoadReport](qf.NewError(qf.CodeBroken, qf.StepOrder, string(endpoint.ID), response.Status))
	}
}

type kvQuery struct {
	Attempt qf.AttemptID `url:"attempt"`
}

// ExportKV implements qf.EngineClient.
func (e *Engine) ExportKV(ctx context.Context, endpoint qf.Endpoint, attempt qf.AttemptID) (qf.KVExport, error) {
	var export qf.KVExport
	s := base(endpoint.Address).Get(PathKV).QueryStruct(&kvQuery{Attempt: attempt})
	err := getJSON(ctx, e.pooled, endpoint, s, &export)
	return export, err
}

// ImportKV implements qf.EngineClient.
func (e *Engine) ImportKV(ctx context.Context, endpoint qf.Endpoint, export qf.KVExport) error {
	request, err := base(endpoint.Address).Put(PathKV).BodyJSON(export).Request()
	if err != nil {
		return newNotRunError(endpoint, "could not build the import", err)
	}
	response, err := sling.New().Client(e.pooled).Do(request.WithContext(ctx), nil, nil)
	if err != nil {
		return newTransportError(endpoint, err)
	}
	if response.StatusCode != http.StatusNoContent {
		return qf.NewError(qf.CodeUnavailable, qf.StepAttempt, string(endpoint.ID), response.Status)
	}
	return nil
}
