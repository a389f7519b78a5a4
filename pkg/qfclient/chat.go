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
	"strconv"
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
	body    []byte
	id      string
	text    strings.Builder
	tokens  int
	resumed int
	onToken func(token string)
	// target is where the request is known to go on, if that is known.
	target netip.AddrPort
}

// Chat sends a chat completion request and returns its whole answer. It resumes
// on its own, on other nodes too, until the context ends. onToken may be nil; it
// gets each token once and in order.
func (c *Client) Chat(ctx context.Context, request qfapi.ChatRequest, onToken func(token string)) (Answer, error) {
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return Answer{}, err
	}
	if onToken == nil {
		onToken = func(string) {}
	}
	x := &chat{client: c, body: body, id: uuid.NewString(), onToken: onToken}
	err = x.run(ctx)
	return Answer{RequestID: x.id, Text: x.text.String(), Tokens: x.tokens, Resumed: x.resumed}, err
}

func (x *chat) run(ctx context.Context) error {
	wait := firstPause
	for {
		before := x.tokens
		err := x.once(ctx)
		if err == nil || isFinal(err) {
			return err
		}
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
		x.resumed++
		if x.tokens > before || errors.Is(err, errMoved) {
			wait = firstPause
			continue
		}
		if err := x.client.pause(ctx, wait); err != nil {
			return err
		}
		wait = min(2*wait, longestWait)
	}
}

// isFinal reports whether an error ends the request: a node said so, and asking
// another one wouldn't help.
func isFinal(err error) bool {
	switch qf.CodeOf(err) {
	case qf.CodeInvalid, qf.CodeUnknownEntry, qf.CodeTooLarge, qf.CodeLimited, qf.CodeOverloaded,
		qf.CodeDeadline, qf.CodeSuspect, qf.CodeKeyReused, qf.CodeForbidden, qf.CodeNoEndpoint:
		return true
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
		x.client.fail(a)
		return err
	}
	defer func() { _ = response.Body.Close() }() // It was read to its end or is given up.
	if response.StatusCode == http.StatusMisdirectedRequest {
		return x.moved(response.Body)
	}
	if response.StatusCode != http.StatusOK {
		failure := readError(response)
		if failure.Code == qf.CodeLeaving {
			x.client.fail(a)
		}
		return failure
	}
	err = x.read(response.Body, cancel)
	if err != nil && !errors.Is(err, errMoved) {
		x.client.fail(a)
	}
	return err
}

// send posts the request under the identifier that it always had. A node that
// knows it goes on after the last event; any other one starts it.
func (x *chat) send(ctx context.Context, a netip.AddrPort) (*http.Response, error) {
	url := "http://" + a.String() + qfapi.PathChatCompletions
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(x.body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(qfapi.HeaderOrganisation, x.client.options.Organisation)
	request.Header.Set(qfapi.HeaderRequestID, x.id)
	if x.tokens > 0 {
		request.Header.Set(qfapi.HeaderLastEventID, strconv.Itoa(x.tokens))
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
	offset, err := strconv.Atoi(event.LastEventID)
	if err != nil || len(chunk.Choices) != 1 || chunk.ID != x.id {
		return errors.New("a piece isn't of this answer")
	}
	if chunk.Choices[0].FinishReason != nil || offset <= x.tokens {
		return nil
	}
	if offset != x.tokens+1 {
		return errors.New("a piece is missing")
	}
	token := chunk.Choices[0].Delta.Content
	x.tokens++
	x.text.WriteString(token)
	x.onToken(token)
	return nil
}
