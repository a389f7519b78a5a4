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

// Response is what a caller got.
type Response struct {
	Status int
	Body   string
}

// SendStreaming sends a request whose answer is a stream.
func SendStreaming(ctx context.Context, node netip.AddrPort, id qf.RequestID) (Response, error) {
	return send(ctx, node, "/ask/1", id, "X-Token-Counts", "10,10")
}

// SendUnsafe sends a request that may run once only.
func SendUnsafe(ctx context.Context, node netip.AddrPort, id qf.RequestID) (Response, error) {
	return send(ctx, node, "/file/1", id)
}

// SendSafe sends a request by the plain route of a configuration.
func SendSafe(ctx context.Context, node netip.AddrPort, id qf.RequestID, revision int) (Response, error) {
	return send(ctx, node, fmt.Sprintf("/read%d/1", revision), id)
}

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
	defer response.Body.Close() //nolint:errcheck // It was only read.
	body, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Body: string(body)}, err
}

// IsCompleteStreamOf reports whether an answer is the whole stream of a request.
func (a *Response) IsCompleteStreamOf(id qf.RequestID, events int) bool {
	var whole strings.Builder
	for number := 1; number <= events; number++ {
		whole.WriteString(standreplica.StreamEvent(string(id), number))
	}
	return a.Status == http.StatusOK && a.Body == whole.String()
}

// IsResponseTo reports whether an answer that isn't a stream is the request's own.
func (a *Response) IsResponseTo(id qf.RequestID) bool {
	return a.Status == http.StatusOK && strings.HasPrefix(a.Body, "answer to "+string(id)+" by ")
}
