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

func exchangerOf(t *testing.T, handler http.Handler) (*Exchanger, qf.Endpoint) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	return New(qftimer.NewWall(), (&net.Dialer{}).DialContext, platform.Protocol{}), qf.Endpoint{ID: "e-1", Address: address}
}

func send(t *testing.T, x *Exchanger, endpoint qf.Endpoint, id string, body []byte) (*qf.EndpointResponse, string, error) {
	t.Helper()
	answer, err := x.SendRequest(t.Context(), &qf.EndpointRequest{
		ID: qf.RequestID(id), Endpoint: endpoint, Method: http.MethodPost, Target: "/a?b", Host: "h.example", Body: body,
		Header: http.Header{"X-Request-Id": {id}},
	})
	if err != nil {
		return nil, "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer, string(text), err
}

// TestConnectionsAreKept guards that connections are used again, and only those that the
// last answer left in order.
func TestConnectionsAreKept(t *testing.T) {
	tests := []struct {
		name   string
		does   []standreplica.Behaviour
		opened uint64
	}{
		{"sound answers", []standreplica.Behaviour{standreplica.Answers, standreplica.Answers, standreplica.Answers}, 1},
		{"a failure of the request", []standreplica.Behaviour{standreplica.Fails, standreplica.Answers}, 1},
		{"a second answer", []standreplica.Behaviour{standreplica.Repeats, standreplica.Answers}, 2},
		{"an answer without a length", []standreplica.Behaviour{standreplica.CloseDelimited, standreplica.Answers}, 2},
		{"a cut answer", []standreplica.Behaviour{standreplica.Truncates, standreplica.Answers}, 2},
		{"a reset", []standreplica.Behaviour{standreplica.Resets, standreplica.Answers}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			replica := standreplica.New("e-1", qftimer.NewWall())
			x, endpoint := exchangerOf(t, replica)
			replica.SetNextBehaviours(tt.does...)
			last := ""
			for i := range tt.does {
				id := string(rune('a' + i))
				_, last, _ = send(t, x, endpoint, id, []byte("body"))
			}
			if want := standreplica.ResponseBody(string(rune('a'+len(tt.does)-1)), "e-1"); last != want {
				t.Errorf("the last answer is %q, want %q", last, want)
			}
			if opened := x.Opened(); opened != tt.opened {
				t.Errorf("%d connections were opened, want %d", opened, tt.opened)
			}
		})
	}
}

// TestRan guards that an error says "not run" only if no byte of the request left.
func TestRan(t *testing.T) {
	x, endpoint := exchangerOf(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	_, _, err := send(t, x, endpoint, "a", nil)
	if qf.RanOf(err) != qf.RanUnknown {
		t.Errorf("after a reset: %v", err)
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	endpoint.Address = netip.MustParseAddrPort(closed.Listener.Addr().String())
	closed.Close()
	_, _, err = send(t, x, endpoint, "b", nil)
	if qf.RanOf(err) != qf.RanNo {
		t.Errorf("without a connection: %v", err)
	}
}

// TestEarlyAnswer lets an endpoint answer before it has read a long body: the rest of the
// body is never replaced by other bytes.
func TestEarlyAnswer(t *testing.T) {
	first := make(chan struct{}, 1)
	x, endpoint := exchangerOf(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	answer, _, err := send(t, x, endpoint, "a", long)
	if err == nil && answer.Status != http.StatusInternalServerError {
		t.Errorf("status %d", answer.Status)
	}
	_, text, err := send(t, x, endpoint, "b", []byte("short"))
	if err != nil || text != "short" {
		t.Errorf("the next request got %q, %v", text, err)
	}
}

// TestCancel guards that the end of the context cancels the request at the endpoint.
func TestCancel(t *testing.T) {
	cancelled := make(chan struct{})
	x, endpoint := exchangerOf(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-qftimer.NewWall().After(20 * time.Millisecond).C()
		cancel()
	}()
	_, err := x.SendRequest(ctx, &qf.EndpointRequest{ID: "a", Endpoint: endpoint, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err == nil {
		t.Error("a cancelled exchange has an answer")
	}
	<-cancelled
}
