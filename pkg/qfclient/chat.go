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
	"quetzalfront/pkg/qfapi"
)

// Answer is the whole answer of a model engine.
type Answer struct {
	RequestID string
	Text      string
	Tokens    int
	// Resumed counts how often the answer went on over another connection.
	Resumed int
}

// errMoved means that another node owns the request now.
var errMoved = errors.New("the request moved")

const (
	firstPause  = 50 * time.Millisecond
	longestWait = 2 * time.Second
)

// chat is one request over all of its connections.
type chat struct {
	client  *Client
	request qfapi.ChatRequest
	id      string
	// tokens is the answer so far, and last the identifier of its last event.
	tokens  []string
	last    qfapi.EventID
	resumed int
	onToken func(token string)
	// previous is the node that was lost, if one was.
	previous netip.AddrPort
	// accepted is true once a node has begun to answer.
	accepted bool
	// target is where the request is known to go on, if that is known.
	target netip.AddrPort
}

// Chat sends a chat completion request and returns its whole answer. It resumes
// on its own, on other nodes too, until the context ends. onToken may be nil; it
// gets each token once and in order.
func (c *Client) Chat(ctx context.Context, request qfapi.ChatRequest, onToken func(token string)) (Answer, error) {
	request.Stream = true
	if onToken == nil {
		onToken = func(string) {}
	}
	x := &chat{client: c, request: request, id: uuid.NewString(), onToken: onToken, last: qfapi.EventIDOf(nil)}
	err := x.run(ctx)
	return Answer{RequestID: x.id, Text: strings.Join(x.tokens, ""), Tokens: len(x.tokens), Resumed: x.resumed}, err
}

func (x *chat) run(ctx context.Context) error {
	wait := firstPause
	for {
		before := len(x.tokens)
		err := x.once(ctx)
		if err == nil {
			return nil
		}
		err = truthful(err, x.accepted)
		if x.isFinal(err) {
			return err
		}
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
		x.resumed++
		if len(x.tokens) > before || errors.Is(err, errMoved) {
			wait = firstPause
			continue
		}
		if x.client.pause(ctx, max(wait, advice(err))) != nil {
			return errors.Join(ctx.Err(), err)
		}
		wait = min(2*wait, longestWait)
	}
}

// isFinal reports whether an error ends the request: a node said so, and asking
// another one wouldn't help. A request that was accepted once goes on after the
// advised time, though a node has no room for it at present.
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

// once tries one connection.
func (x *chat) once(ctx context.Context) error {
	a := x.target
	x.target = netip.AddrPort{}
	if !a.IsValid() {
		var err error
		if a, err = x.client.address(ctx); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := x.send(ctx, a)
	if err != nil {
		x.lose(addressIn(err, a))
		return err
	}
	defer func() { _ = response.Body.Close() }() // It was read to its end or is given up.
	a = addressOf(response.Request.URL, a)
	if response.StatusCode != http.StatusOK {
		failure := readError(response)
		if failure.Code == qf.CodeLeaving {
			x.client.fail(a)
		}
		return failure
	}
	x.accepted = true
	err = x.read(response.Body, cancel)
	if err != nil && !errors.Is(err, errMoved) {
		x.lose(a)
	}
	return err
}

// lose notes that a node broke off or didn't answer.
func (x *chat) lose(a netip.AddrPort) {
	x.previous = a
	x.client.fail(a)
}

// addressOf returns the node that answered, which isn't the one that was asked if
// that one sent the request on.
func addressOf(location *url.URL, asked netip.AddrPort) netip.AddrPort {
	if a, err := netip.ParseAddrPort(location.Host); err == nil {
		return a
	}
	return asked
}

// addressIn returns the node that an error of the HTTP client is about.
func addressIn(err error, asked netip.AddrPort) netip.AddrPort {
	var failed *url.Error
	if !errors.As(err, &failed) {
		return asked
	}
	location, parseErr := url.Parse(failed.URL)
	if parseErr != nil {
		return asked
	}
	return addressOf(location, asked)
}

// send posts the request under the identifier that it always had, with the answer
// so far. A node that knows the request goes on after the last event; any other
// one has the generation go on after the text.
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
		request.Header.Set(qfapi.HeaderLastEventID, x.last.String())
	}
	if x.previous.IsValid() {
		request.Header.Set(qfapi.HeaderPreviousNode, x.previous.String())
	}
	return x.client.options.HTTP.Do(request)
}

func (x *chat) moved(body io.Reader) error {
	var moved qfapi.MovedBody
	if err := json.NewDecoder(body).Decode(&moved); err != nil {
		return err
	}
	if len(moved.Nodes) > 0 {
		x.target = moved.Nodes[0]
	}
	return errMoved
}

// read takes events until the end mark. A stream that goes silent is cancelled.
func (x *chat) read(body io.Reader, cancel context.CancelFunc) error {
	next, stop := iter.Pull2(sse.Read(body, nil))
	defer stop()
	for {
		event, err, ok := x.nextEvent(next, cancel)
		switch {
		case !ok:
			return errors.New("the stream ended without its end mark")
		case err != nil:
			return err
		}
		done, err := x.take(&event)
		if done || err != nil {
			return err
		}
	}
}

func (x *chat) nextEvent(next func() (sse.Event, error, bool), cancel context.CancelFunc) (sse.Event, error, bool) {
	silent := x.client.options.Timer.After(x.client.options.SilentAfter)
	defer silent.Stop()
	arrived := make(chan struct{})
	defer close(arrived)
	go func() {
		select {
		case <-silent.C():
			cancel()
		case <-arrived:
		}
	}()
	return next()
}

// take handles one event. Events that the caller already has are dropped, and a
// gap is an error.
func (x *chat) take(event *sse.Event) (done bool, err error) {
	switch event.Type {
	case qfapi.EventMoved:
		return false, x.moved(strings.NewReader(event.Data))
	case qfapi.EventError:
		var body qfapi.ErrorBody
		if err := json.Unmarshal([]byte(event.Data), &body); err != nil {
			return false, err
		}
		return false, errorOf(&body.Error)
	}
	if event.Data == qfapi.EventDone {
		return true, nil
	}
	return false, x.piece(event)
}

func (x *chat) piece(event *sse.Event) error {
	var chunk qfapi.ChatChunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
		return err
	}
	id, err := qfapi.ParseEventID(event.LastEventID)
	if err != nil || len(chunk.Choices) != 1 || chunk.ID != x.id {
		return errors.New("a piece isn't of this answer")
	}
	if chunk.Choices[0].FinishReason != nil || id.Tokens <= x.last.Tokens {
		return nil
	}
	token := chunk.Choices[0].Delta.Content
	if id != x.last.Extend(token) {
		return errors.New("a piece doesn't continue this answer")
	}
	x.tokens = append(x.tokens, token)
	x.last = id
	x.onToken(token)
	return nil
}
