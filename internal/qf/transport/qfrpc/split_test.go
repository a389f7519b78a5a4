package qfrpc

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standnet"
)

var splitAddress = netip.MustParseAddrPort("10.1.0.1:7")

// TestSplitTellsConnectionsApart fails if calls and forwarded requests don't reach their servers on one
// address, or if the end of one server closes the address for the other.
func TestSplitTellsConnectionsApart(t *testing.T) {
	network := standnet.New().From(netip.MustParseAddr("10.1.0.2"))
	listener, err := network.Listen(t.Context(), splitAddress)
	if err != nil {
		t.Fatal(err)
	}
	split := Split(qftimer.NewWall(), listener, func(err error) { t.Error(err) })
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "forwarded")
	})}
	go func() { _ = server.Serve(split.Forwards()) }()
	first := make(chan byte, 1)
	go func() {
		conn, err := split.Calls().Accept()
		if err != nil {
			return
		}
		var got [1]byte
		_, _ = io.ReadFull(conn, got[:]) // A missing byte is reported below.
		first <- got[0]
	}()
	client := &http.Client{Transport: &http.Transport{DialContext: DialForward(network.Dial, time.Second)}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+splitAddress.String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if string(body) != "forwarded" {
		t.Errorf("the forwarded request got %q", body)
	}
	conn, err := network.Dial(t.Context(), "tcp", splitAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte{42}); err != nil || <-first != 42 {
		t.Error("the call's first byte was lost")
	}
	_ = conn.Close()
	_ = server.Close()
	if conn, err = network.Dial(t.Context(), "tcp", splitAddress.String()); err != nil {
		t.Errorf("the address is closed with the server of forwarded requests: %v", err)
	} else {
		_ = conn.Close()
	}
	_ = split.Close()
	if _, err := split.Calls().Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the close, accept returns %v", err)
	}
}

// TestDialForwardNeedsConfirmation fails if a request could be sent to a server that doesn't take forwarded
// requests: one that closes the connection, answers something else, or nothing.
func TestDialForwardNeedsConfirmation(t *testing.T) {
	tests := []struct {
		name   string
		answer func(conn net.Conn)
	}{
		{"closes", func(conn net.Conn) { _ = conn.Close() }},
		{"answers something else", func(conn net.Conn) { _, _ = conn.Write([]byte{7}) }},
		{"answers nothing", func(net.Conn) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			network := standnet.New().From(netip.MustParseAddr("10.1.0.2"))
			listener, err := network.Listen(t.Context(), splitAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				var preface [1]byte
				_, _ = io.ReadFull(conn, preface[:]) // The dial has its own end.
				tt.answer(conn)
			}()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if conn, err := DialForward(network.Dial, 20*time.Millisecond)(ctx, "tcp", splitAddress.String()); err == nil {
				_ = conn.Close()
				t.Error("the connection is usable")
			}
		})
	}
}

// failingListener fails some times before it accepts.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// TestSplitListenerSurvivesErrors fails if a lack of descriptors that passes ends the listener for good, or if its errors
// aren't reported.
func TestSplitListenerSurvivesErrors(t *testing.T) {
	raw, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &failingListener{Listener: raw}
	listener.failures.Store(3)
	reported := make(chan error, 10)
	split := Split(qftimer.NewWall(), listener, func(err error) { reported <- err })
	defer split.Close()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte{1}); err != nil {
		t.Fatal(err)
	}
	accepted, err := split.Calls().Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = accepted.Close()
	if got := len(reported); got != 3 {
		t.Errorf("%d errors were reported, want 3", got)
	}
}

// TestSplitBoundsSilentConnections fails if connections that send nothing are held without a limit, if one that has sent something is
// closed for them, or if a new one isn't served beside them.
func TestSplitBoundsSilentConnections(t *testing.T) {
	network := standnet.New().From(netip.MustParseAddr("10.1.0.2"))
	listener, err := network.Listen(t.Context(), splitAddress)
	if err != nil {
		t.Fatal(err)
	}
	split := Split(qftimer.NewWall(), listener, func(err error) { t.Error(err) })
	defer split.Close() //nolint:errcheck // The test is over.
	dial := func(sent string) net.Conn {
		conn, err := network.Dial(t.Context(), "tcp", splitAddress.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := io.WriteString(conn, sent); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := split.Calls().Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- conn
		}
	}()
	const surplus = 20
	calling := dial("c")
	served := <-accepted
	var silent []net.Conn
	for range maxSilent + surplus {
		silent = append(silent, dial(""))
	}
	dial("d")
	<-accepted
	for i, conn := range silent[:surplus] {
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Errorf("silent connection %d isn't closed", i)
		}
	}
	split.mu.Lock()
	if open, want := split.silent.Len(), maxSilent-1; open != want { // One was closed for the last one, which isn't silent.
		t.Errorf("%d silent connections are open, want %d", open, want)
	}
	split.mu.Unlock()
	go func() { _, _ = calling.Write([]byte("e")) }() // A failure is found by the read.
	got := make([]byte, 2)
	if _, err := io.ReadFull(served, got); err != nil || string(got) != "ce" {
		t.Errorf("the connection in use received %q, %v", got, err)
	}
}

// reservingConn is a connection with a fixed room for messages.
type reservingConn struct {
	net.Conn
	room     int64
	reserved []int64
}

// ReserveMessage implements messageReserver.
func (c *reservingConn) ReserveMessage(length int64) bool {
	c.reserved = append(c.reserved, length)
	c.room -= length
	return c.room >= 0
}

// TestMessagesReserveRoom fails if a long message is read although there is no room for it, or if a message is reserved for other than
// once and at its length.
func TestMessagesReserveRoom(t *testing.T) {
	tests := []struct {
		name string
		sent string
		room int64
		// want are the reserved lengths.
		want []int64
		err  error
	}{
		{"short messages", "\x02ab\x01c", 0, nil, nil},
		{"a long message", "\xfe\x10\x00" + strings.Repeat("m", 4096) + "\x01c", 4096, []int64{4096}, nil},
		{"two long messages", "\xfe\x10\x00" + strings.Repeat("m", 4096) + "\xfe\x20\x00" + strings.Repeat("m", 8192), 20000, []int64{4096, 8192}, nil},
		{"no room", "\xfe\x20\x00m", 8191, []int64{8192}, errNoRoom},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reserving := &reservingConn{room: test.room}
			conn := bound(reserving).(*boundedConn)
			var err error
			for i := 0; i < len(test.sent) && err == nil; i++ {
				err = conn.follow([]byte(test.sent[i : i+1]))
			}
			if !errors.Is(err, test.err) || !slices.Equal(reserving.reserved, test.want) {
				t.Errorf("reserved %v, %v; want %v, %v", reserving.reserved, err, test.want, test.err)
			}
		})
	}
}

// TestClosedForwardsConfirmNothing fails if a server that takes no more forwarded requests confirms a connection: its client then sends a request that may
// run for all that it can tell, and gets the end of the connection.
func TestClosedForwardsConfirmNothing(t *testing.T) {
	network := standnet.New().From(netip.MustParseAddr("10.1.0.2"))
	listener, err := network.Listen(t.Context(), splitAddress)
	if err != nil {
		t.Fatal(err)
	}
	split := Split(qftimer.NewWall(), listener, func(err error) { t.Error(err) })
	defer split.Close()
	_ = split.Forwards().Close()
	conn, err := DialForward(network.Dial, time.Minute)(t.Context(), "tcp", splitAddress.String())
	if err == nil {
		_ = conn.Close()
		t.Error("a connection was confirmed that nobody serves")
	}
}
