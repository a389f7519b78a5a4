package standplatform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standreplica"
)

// Response is the response that a caller received.
type Response struct {
	Status int
	Body   string
}

// SendStreaming sends a request by the streaming route; its response is an event stream.
func SendStreaming(ctx context.Context, node netip.AddrPort, id qf.RequestID) (Response, error) {
	return send(ctx, node, "/ask/1", id, "X-Token-Counts", "10,10")
}

// SendUnsafe sends a request by the unsafe route, which must not execute it more than once.
func SendUnsafe(ctx context.Context, node netip.AddrPort, id qf.RequestID) (Response, error) {
	return send(ctx, node, "/file/1", id)
}

// SendSafe sends a request by the safe route of a configuration. The path of that route
// holds the configuration's revision.
func SendSafe(ctx context.Context, node netip.AddrPort, id qf.RequestID, revision int) (Response, error) {
	return send(ctx, node, fmt.Sprintf("/read%d/1", revision), id)
}

// send posts a request to a node. Headers are pairs of name and value.
func send(ctx context.Context, node netip.AddrPort, path string, id qf.RequestID, headers ...string) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.String()+path, strings.NewReader("body"))
	if err != nil {
		return Response{}, err
	}
	request.Host = host
	request.Header.Set("X-Request-Id", string(id))
	request.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close() //nolint:errcheck // The body is only read.
	body, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Body: string(body)}, err
}

// IsCompleteStreamOf reports whether the response is the complete stream of a request, with
// this number of events.
func (r *Response) IsCompleteStreamOf(id qf.RequestID, events int) bool {
	var stream strings.Builder
	for number := 1; number <= events; number++ {
		stream.WriteString(standreplica.StreamEvent(string(id), number))
	}
	return r.Status == http.StatusOK && r.Body == stream.String()
}

// IsResponseTo reports whether the response, other than a stream, belongs to the request.
func (r *Response) IsResponseTo(id qf.RequestID) bool {
	return r.Status == http.StatusOK && strings.HasPrefix(r.Body, "answer to "+string(id)+" by ")
}
