package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/tmaxmax/go-sse"

	"quetzalfront/pkg/qfapi"
)

// startCurls COUNT TOKENS ADDRESS OTHER... streams answers in the background in the
// manner of a caller without the library: each posts its request once, to the first
// address. When the connection breaks, it resumes the request at the other addresses
// in turn, with the identifier of the last event but without the text so far.
func startCurls(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	tokens, err := strconv.Atoi(args[1])
	ts.Check(err)
	c := ts.Value(chatsKey{}).(*chats)
	for i := range count {
		c.senders.Go(func() {
			onToken, ended := c.trackAnswer()
			x := &curl{
				id: fmt.Sprintf("curl-%d", i), prompt: fmt.Sprintf("Plain question number %d.", i),
				tokens: tokens, addresses: args[2:], onToken: onToken,
			}
			ended(x.run())
		})
	}
}

// curl is one caller without the library.
type curl struct {
	id, prompt string
	tokens     int
	addresses  []string
	attempts   int
	text       strings.Builder
	last       string
	onToken    func()
}

func (x *curl) run() error {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	var errs []error
	for try := 0; ctx.Err() == nil; try++ {
		request, err := x.nextRequest(ctx, try)
		if err != nil {
			return err
		}
		request.Header.Set(qfapi.HeaderOrganisation, "parks")
		done, err := x.readConnection(request)
		if done {
			return checkAnswer(x.prompt, x.text.String(), x.tokens)
		}
		if errs = append(errs, err); len(errs) > 3 {
			errs = errs[1:]
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Join(errs...)
}

// nextRequest returns the POST of the request for the first try, and for every later one
// a GET that resumes it at the next address.
func (x *curl) nextRequest(ctx context.Context, try int) (*http.Request, error) {
	base := "http://" + x.addresses[x.attempts%len(x.addresses)]
	x.attempts++
	if try > 0 {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+qfapi.PathRequests+x.id, http.NoBody)
		if err == nil && x.last != "" {
			request.Header.Set(qfapi.HeaderLastEventID, x.last)
		}
		return request, err
	}
	body, err := json.Marshal(qfapi.ChatRequest{
		Model: "assistant", MaxTokens: x.tokens, Stream: true,
		Messages: []qfapi.ChatMessage{{Role: "user", Content: x.prompt}},
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+qfapi.PathChatCompletions, strings.NewReader(string(body)))
	if err == nil {
		request.Header.Set(qfapi.HeaderRequestID, x.id)
	}
	return request, err
}

// curlIdleTimeout is how long a connection may bring no event before it is closed.
const curlIdleTimeout = 3 * time.Second

// readConnection reads the response to a request to its end and reports whether the end
// mark was received.
func (x *curl) readConnection(request *http.Request) (bool, error) {
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	request = request.WithContext(ctx)
	idle := time.AfterFunc(curlIdleTimeout, cancel)
	defer idle.Stop()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return false, fmt.Errorf("%s %s: %s %s", request.Method, request.URL, response.Status, text)
	}
	for event, err := range sse.Read(response.Body, nil) {
		switch {
		case err != nil:
			return false, err
		case event.Data == qfapi.EventDone:
			return true, nil
		case event.Type != "":
			return false, errors.New(event.Type + " " + event.Data)
		}
		var chunk qfapi.ChatChunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return false, err
		}
		if chunk.Choices[0].FinishReason != nil {
			continue
		}
		x.text.WriteString(chunk.Choices[0].Delta.Content)
		x.last = event.LastEventID
		x.onToken()
		idle.Reset(curlIdleTimeout)
	}
	return false, errors.New("the stream ended without its end mark")
}
