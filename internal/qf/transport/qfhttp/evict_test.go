package qfhttp_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfhttp"
)

// evictionMoment is how far a request has come when its connection is closed to make room.
type evictionMoment string

// The moments.
const (
	evictedUnread   evictionMoment = "unread"
	evictedRead     evictionMoment = "read"
	evictedParsed   evictionMoment = "parsed"
	evictedWithBody evictionMoment = "body read"
)

// evictingServer is a server on loopback that admits one connection, and comes late to a moment of its first one.
type evictingServer struct {
	t       *testing.T
	moment  evictionMoment
	address string
	// first is closed once the first connection was accepted, whose connection is late. reached is closed once a request has come to the
	// moment, and evicted once the connection was closed to make room.
	first, reached, evicted chan struct{}
	late                    *lateConn

	mu     sync.Mutex
	breaks []qfhttp.LimitBreak
	ran    []string
}

// startEvicting starts a server whose connections may hold an estimated memory, 0 for any.
func startEvicting(t *testing.T, moment evictionMoment, memory int64) *evictingServer {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &evictingServer{
		t: t, moment: moment, address: raw.Addr().String(), first: make(chan struct{}), reached: make(chan struct{}), evicted: make(chan struct{}),
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute, ConnState: s.awaitEviction}
	listener := &lateListener{TCPListener: raw.(*net.TCPListener), hold: newHold(), wrap: s.wrap}
	listener.hold.end()
	guarded := qfhttp.NewConnectionBudget(qftimer.NewWall(), memory, s.observe).Guard(server, listener, qfhttp.PortLimits{
		Name: "callers", Connections: 1, RequestID: func(r *http.Request) qf.RequestID { return qf.RequestID(r.Header.Get("X-Id")) },
	})
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(guarded) })
	t.Cleanup(func() {
		_ = server.Close()
		running.Wait()
	})
	return s
}

// wrap makes the first connection late.
func (s *evictingServer) wrap(connection net.Conn) net.Conn {
	if s.late != nil {
		return connection
	}
	moments := map[evictionMoment]lateMoment{evictedUnread: lateToRead, evictedRead: lateToParse, evictedWithBody: lateToParse}
	s.late = &lateConn{TCPConn: connection.(*net.TCPConn), moment: moments[s.moment], reached: make(chan struct{}), hold: newHold()}
	s.late.isArmed.Store(s.moment == evictedUnread || s.moment == evictedRead)
	close(s.first)
	return s.late
}

// awaitEviction holds up the first request once it was parsed.
func (s *evictingServer) awaitEviction(_ net.Conn, state http.ConnState) {
	if s.moment != evictedParsed || state != http.StateActive {
		return
	}
	select {
	case <-s.evicted:
	default:
		close(s.reached)
		<-s.evicted
	}
}

func (s *evictingServer) observe(reached qfhttp.LimitBreak) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaks = append(s.breaks, reached)
	if len(s.breaks) == 1 {
		close(s.evicted)
	}
}

func (s *evictingServer) serve(_ http.ResponseWriter, r *http.Request) {
	if s.moment == evictedWithBody {
		s.late.isArmed.Store(true)
		close(s.reached)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran = append(s.ran, r.Header.Get("X-Id"))
}

// awaitMoment waits until the request on the connection has come to the moment. It sends the body where the head was sent alone.
func (s *evictingServer) awaitMoment(connection net.Conn, body string) {
	switch s.moment {
	case evictedUnread:
		<-s.late.reached
		awaitBytes(s.t, s.late.TCPConn)
	case evictedRead:
		<-s.late.reached
	case evictedParsed:
		<-s.reached
	case evictedWithBody:
		<-s.reached
		_, _ = io.WriteString(connection, body) // The answer is checked.
		<-s.late.reached
	}
}

func (s *evictingServer) dial() net.Conn {
	s.t.Helper()
	connection, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(qftimer.NewWall().Now().Add(time.Minute)) // It only ends a test that has failed.
	return connection
}

// TestEvictedRequestIsRefused fails if a connection to which a whole request has come is closed without an answer to make room, or if the
// request is run, or if the report doesn't name it.
func TestEvictedRequestIsRefused(t *testing.T) {
	const body = "body"
	head := "GET / HTTP/1.1\r\nHost: h\r\nX-Id: first\r\n"
	for _, moment := range []evictionMoment{evictedUnread, evictedRead, evictedParsed, evictedWithBody} {
		t.Run(string(moment), func(t *testing.T) {
			s := startEvicting(t, moment, 0)
			connection := s.dial()
			request := head + "\r\n"
			if moment == evictedWithBody {
				request = head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
			}
			_, _ = io.WriteString(connection, request) // The answer is checked.
			<-s.first
			s.awaitMoment(connection, body)
			_ = s.dial()
			if got, _, text := status(connection); got != http.StatusServiceUnavailable {
				t.Errorf("got status %d, %s, want a refusal", got, text)
			}
			s.checkRefused("first")
		})
	}
}

// TestEvictedHeadIsCounted fails if a node reads a large head to its end on a connection that it has closed to make room, while its clients hold as
// much as they may. A request for which there is room, or that is small, is refused in an answer.
func TestEvictedHeadIsCounted(t *testing.T) {
	const large = 40 << 10
	tests := []struct {
		name   string
		memory int64
		// bytes is the size of the head's largest field.
		bytes int
		// maxRead is how much of the head may be read, or 0 if the request is refused in an answer.
		maxRead int64
	}{
		{"large, memory is full", 32 << 10, large, 16 << 10},
		{"large, there is room", 1 << 20, large, 0},
		{"small, memory is full", 24 << 10, 512, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startEvicting(t, evictedUnread, test.memory)
			connection := s.dial()
			_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\nX-Id: first\r\nX-Large: "+strings.Repeat("a", test.bytes)+"\r\n\r\n") // The answer is checked.
			<-s.first
			s.awaitMoment(connection, "")
			_ = s.dial()
			got, _, _ := status(connection)
			if test.maxRead == 0 {
				if got != http.StatusServiceUnavailable {
					t.Errorf("got status %d, want a refusal", got)
				}
				s.checkRefused("first")
				return
			}
			if read := s.late.read.Load(); read > test.maxRead {
				t.Errorf("%d bytes were read, want at most %d", read, test.maxRead)
			}
		})
	}
}

// checkRefused checks that a request was refused and not run.
func (s *evictingServer) checkRefused(id qf.RequestID) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ran) > 0 {
		s.t.Errorf("%v ran", s.ran)
	}
	last := s.breaks[len(s.breaks)-1]
	if last.Action != qfhttp.ActionRequestRefused || last.Limit != qfhttp.LimitConnections || last.Request != id {
		s.t.Errorf("reported %+v, want the refused request", last)
	}
}
