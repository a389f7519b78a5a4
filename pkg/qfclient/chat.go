package qfclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/pkg/qfapi"
)

// Answer is the answer of a model engine. It is incomplete if Chat returns an error.
type Answer struct {
	RequestID string
	Text      string
	Tokens    int
	// Resumed is the number of times that the request was resumed over another
	// connection.
	Resumed int
}

// errMoved means that another node now owns the request.
var errMoved = errors.New("the request moved")

const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// chat is the state of one request over all of its connections.
type chat struct {
	client  *Client
	request qfapi.ChatRequest
	id      string
	// tokens is the answer so far, and lastEvent the identifier of its last event.
	tokens    []string
	lastEvent qfapi.EventID
	resumed   int
	onToken   func(token string)
	// lostNode is the last node to which the connection failed, if any.
	lostNode netip.AddrPort
	// accepted is true once a node has started to stream the answer.
	accepted bool
	// target is the node to which the request moved. It is invalid if the next node
	// is a free choice.
	target netip.AddrPort
}

// Chat sends a chat completion request and returns its answer. If a connection or a
// node fails, it resumes the request, also at another node, until the context ends.
// onToken may be nil; it is called once for each token, in order. With an error, Chat
// returns the answer received so far.
func (c *Client) Chat(ctx context.Context, request qfapi.ChatRequest, onToken func(token string)) (Answer, error) {
	request.Stream = true
	if onToken == nil {
		onToken = func(string) {}
	}
	x := &chat{client: c, request: request, id: uuid.NewString(), onToken: onToken, lastEvent: qfapi.EventIDOf(nil)}
	err := x.run(ctx)
	return Answer{RequestID: x.id, Text: strings.Join(x.tokens, ""), Tokens: len(x.tokens), Resumed: x.resumed}, err
}

func (x *chat) run(ctx context.Context) error {
	delay := minRetryDelay
	for {
		before := len(x.tokens)
		err := x.runConnection(ctx)
		if err == nil {
			return nil
		}
		err = downgradeRan(err, x.accepted)
		if x.isFinal(err) {
			return err
		}
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
		x.resumed++
		if len(x.tokens) > before || errors.Is(err, errMoved) {
			delay = minRetryDelay
			continue
		}
		if x.client.pause(ctx, max(delay, retryAfterOf(err))) != nil {
			return errors.Join(ctx.Err(), err)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// isFinal reports whether an error ends the request because a retry at another node
// would fail in the same way. A request that a node had accepted isn't ended by a lack
// of capacity: it is retried after the delay that the node advises.
func (x *chat) isFinal(err error) bool {
	switch qf.CodeOf(err) {
	case qf.CodeInvalid, qf.CodeUnknownEntry, qf.CodeTooLarge, qf.CodeDeadline, qf.CodeSuspect,
		qf.CodeKeyReused, qf.CodeForbidden:
		return true
	case qf.CodeLimited, qf.CodeOverloaded, qf.CodeNoEndpoint:
		return !x.accepted
	default:
		return false
	}
}

// runConnection sends the request over one connection and reads the answer from it.
func (x *chat) runConnection(ctx context.Context) error {
	a := x.target
	x.target = netip.AddrPort{}
	if !a.IsValid() {
		var err error
		if a, err = x.client.chooseAddress(ctx); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := x.send(ctx, a)
	if err != nil {
		x.markLost(addressFromError(err, a))
		return err
	}
	defer func() { _ = response.Body.Close() }() // It was read to its end or is abandoned.
	a = addressFromURL(response.Request.URL, a)
	if response.StatusCode != http.StatusOK {
		failure := readError(response)
		if failure.Code == qf.CodeLeaving {
			x.client.markFailed(a)
		}
		return failure
	}
	x.accepted = true
	err = x.readStream(response.Body, cancel)
	if err != nil && !errors.Is(err, errMoved) {
		x.markLost(a)
	}
	return err
}

// markLost records that a node didn't respond or that the connection to it broke.
func (x *chat) markLost(a netip.AddrPort) {
	x.lostNode = a
	x.client.markFailed(a)
}

// addressFromURL returns the node that responded. It differs from the requested node
// after a redirect.
func addressFromURL(location *url.URL, requested netip.AddrPort) netip.AddrPort {
	if a, err := netip.ParseAddrPort(location.Host); err == nil {
		return a
	}
	return requested
}

// addressFromError returns the node to which a failed HTTP request was sent.
func addressFromError(err error, requested netip.AddrPort) netip.AddrPort {
	var failed *url.Error
	if !errors.As(err, &failed) {
		return requested
	}
	location, parseErr := url.Parse(failed.URL)
	if parseErr != nil {
		return requested
	}
	return addressFromURL(location, requested)
}

// send posts the request with its identifier and the answer so far. A node with a
// record of the request resumes after the last event; any other node continues the
// generation after the text.
func (x *chat) send(ctx context.Context, a netip.AddrPort) (*http.Response, error) {
	if len(x.tokens) > 0 {
		x.request.Resume = &qfapi.ChatResume{Tokens: x.tokens}
	}
	body, err := json.Marshal(x.request)
	if err != nil {
		return nil, err
	}
	location := "http://" + a.String() + qfapi.PathChatCompletions
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, location, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(qfapi.HeaderOrganisation, x.client.options.Organisation)
	request.Header.Set(qfapi.HeaderRequestID, x.id)
	if len(x.tokens) > 0 {
		request.Header.Set(qfapi.HeaderLastEventID, x.lastEvent.String())
	}
	if x.lostNode.IsValid() {
		request.Header.Set(qfapi.HeaderPreviousNode, x.lostNode.String())
	}
	return x.client.options.HTTP.Do(request)
}

// handleMove sets the target to the best node of a MovedBody and returns errMoved.
func (x *chat) handleMove(body io.Reader) error {
	var moved qfapi.MovedBody
	if err := json.NewDecoder(io.LimitReader(body, maxListBytes)).Decode(&moved); err != nil {
		return err
	}
	if len(moved.Nodes) > 0 {
		x.target = moved.Nodes[0]
	}
	return errMoved
}

// readStream handles events until the end mark. It cancels a stream that brings no
// event for SilentAfter.
func (x *chat) readStream(body io.Reader, cancel context.CancelFunc) error {
	next, stop := iter.Pull2(sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	defer stop()
	for {
		event, err, ok := x.nextEvent(next, cancel)
		switch {
		case !ok:
			return errors.New("the stream ended without its end mark")
		case err != nil:
			return err
		}
		done, err := x.handleEvent(&event)
		if done || err != nil {
			return err
		}
	}
}

func (x *chat) nextEvent(next func() (sse.Event, error, bool), cancel context.CancelFunc) (sse.Event, error, bool) {
	alarm := qftimer.NewAlarm(x.client.options.Timer, x.client.options.SilentAfter, cancel)
	defer alarm.Stop()
	return next()
}

// handleEvent handles one event and reports whether it was the end mark. An event that
// was received before is ignored, and a gap is an error.
func (x *chat) handleEvent(event *sse.Event) (done bool, err error) {
	switch event.Type {
	case qfapi.EventMoved:
		return false, x.handleMove(strings.NewReader(event.Data))
	case qfapi.EventError:
		var body qfapi.ErrorBody
		if err := json.Unmarshal([]byte(event.Data), &body); err != nil {
			return false, err
		}
		return false, errorFromDetail(&body.Error)
	}
	if event.Data == qfapi.EventDone {
		return true, nil
	}
	return false, x.handleChunk(event)
}

// handleChunk appends the token of a chunk to the answer.
func (x *chat) handleChunk(event *sse.Event) error {
	var chunk qfapi.ChatChunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
		return err
	}
	id, err := qfapi.ParseEventID(event.LastEventID)
	if err != nil || len(chunk.Choices) != 1 || chunk.ID != x.id {
		return errors.New("a chunk doesn't belong to this answer")
	}
	if chunk.Choices[0].FinishReason != nil || id.Tokens <= x.lastEvent.Tokens {
		return nil
	}
	token := chunk.Choices[0].Delta.Content
	if id != x.lastEvent.Extend(token) {
		return errors.New("a chunk doesn't continue this answer")
	}
	x.tokens = append(x.tokens, token)
	x.lastEvent = id
	x.onToken(token)
	return nil
}
