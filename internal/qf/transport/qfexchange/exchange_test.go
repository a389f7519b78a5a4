package qfexchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standreplica"
	"quetzalfront/platform"
)

func newTestClient(t *testing.T, handler http.Handler) (*Client, qf.Endpoint) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	return NewClient(qftimer.NewWall(), (&net.Dialer{}).DialContext, platform.Protocol{}), qf.Endpoint{ID: "e-1", Address: address}
}

// requestTo returns a request without a body.
func requestTo(endpoint qf.Endpoint, id string) *qf.EndpointRequest {
	return &qf.EndpointRequest{
		ID: qf.RequestID(id), Endpoint: endpoint, Method: http.MethodPost, Target: "/a?b", Host: "h.example",
		Header: http.Header{"X-Request-Id": {id}},
	}
}

func send(t *testing.T, client *Client, endpoint qf.Endpoint, id string, body []byte) (*qf.EndpointResponse, string, error) {
	t.Helper()
	request := requestTo(endpoint, id)
	request.Body = body
	answer, err := client.SendRequest(t.Context(), request)
	if err != nil {
		return nil, "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer, string(text), err
}

// TestConnectionsAreReused checks that connections are reused if, and only if, the last response
// left them in a clean state: a later request must never get bytes of an earlier response.
func TestConnectionsAreReused(t *testing.T) {
	tests := []struct {
		name       string
		behaviours []standreplica.Behaviour
		opened     uint64
	}{
		{"complete responses", []standreplica.Behaviour{standreplica.Answers, standreplica.Answers, standreplica.Answers}, 1},
		{"an error response", []standreplica.Behaviour{standreplica.Fails, standreplica.Answers}, 1},
		{"a second response", []standreplica.Behaviour{standreplica.Repeats, standreplica.Answers}, 2},
		{"a response without a length", []standreplica.Behaviour{standreplica.CloseDelimited, standreplica.Answers}, 2},
		{"a truncated response", []standreplica.Behaviour{standreplica.Truncates, standreplica.Answers}, 2},
		{"a connection reset", []standreplica.Behaviour{standreplica.Resets, standreplica.Answers}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			replica := standreplica.New("e-1", qftimer.NewWall())
			client, endpoint := newTestClient(t, replica)
			replica.SetNextBehaviours(tt.behaviours...)
			last := ""
			for i := range tt.behaviours {
				id := string(rune('a' + i))
				_, last, _ = send(t, client, endpoint, id, []byte("body"))
			}
			if want := standreplica.ResponseBody(string(rune('a'+len(tt.behaviours)-1)), "e-1"); last != want {
				t.Errorf("the last answer is %q, want %q", last, want)
			}
			if opened := client.ConnectionsOpened(); opened != tt.opened {
				t.Errorf("%d connections were opened, want %d", opened, tt.opened)
			}
		})
	}
}

// TestRan checks that an error has RanNo only if no byte of the request was sent.
func TestRan(t *testing.T) {
	client, endpoint := newTestClient(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	_, _, err := send(t, client, endpoint, "a", nil)
	if qf.RanOf(err) != qf.RanUnknown {
		t.Errorf("after a reset: %v", err)
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	endpoint.Address = netip.MustParseAddrPort(closed.Listener.Addr().String())
	closed.Close()
	_, _, err = send(t, client, endpoint, "b", nil)
	if qf.RanOf(err) != qf.RanNo {
		t.Errorf("without a connection: %v", err)
	}
}

// TestEarlyResponse fails if a connection is reused while a long body is still being written,
// after the endpoint has responded before reading the body: the next request would be read as
// the rest of the body.
func TestEarlyResponse(t *testing.T) {
	first := make(chan struct{}, 1)
	client, endpoint := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		select {
		case first <- struct{}{}:
			w.WriteHeader(http.StatusInternalServerError)
		default:
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		}
	}))
	long := []byte(strings.Repeat("x", 8<<20))
	answer, _, err := send(t, client, endpoint, "a", long)
	if err == nil && answer.Status != http.StatusInternalServerError {
		t.Errorf("status %d", answer.Status)
	}
	_, text, err := send(t, client, endpoint, "b", []byte("short"))
	if err != nil || text != "short" {
		t.Errorf("the next request received %q, %v", text, err)
	}
}

// TestCancel fails if the end of the context doesn't also cancel the request at the endpoint.
func TestCancel(t *testing.T) {
	cancelled := make(chan struct{})
	client, endpoint := newTestClient(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-qftimer.NewWall().After(20 * time.Millisecond).C()
		cancel()
	}()
	_, err := client.SendRequest(ctx, &qf.EndpointRequest{ID: "a", Endpoint: endpoint, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err == nil {
		t.Error("a cancelled exchange returned a response")
	}
	<-cancelled
}

// TestKeepAliveIsBounded fails if an idle connection is kept for a time that no endpoint can mean.
func TestKeepAliveIsBounded(t *testing.T) {
	tests := []struct {
		text string
		want time.Duration
	}{
		{"timeout=5", 4500 * time.Millisecond},
		{"timeout=5, max=100", 4500 * time.Millisecond},
		{"timeout=0", -500 * time.Millisecond},
		{"timeout=-9223372036854775808", defaultKeepAlive},
		{"timeout=9223372036854775807", maxKeepAlive - keepAliveMargin},
		{"timeout=99999999999999999999", defaultKeepAlive},
		{"timeout=x", defaultKeepAlive},
		{"", defaultKeepAlive},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			if got := keepAliveTimeout(http.Header{"Keep-Alive": {tt.text}}); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}
