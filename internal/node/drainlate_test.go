package node

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"quetzalfront/internal/qf/state/qfledger"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfhttp"
	"quetzalfront/internal/qfsettings"
	"quetzalfront/internal/standin/standnet"
	"quetzalfront/internal/standin/standtable"
)

// lateListener accepts nothing until something else than Accept uses it: a drain does so first.
type lateListener struct {
	*net.TCPListener
	once  sync.Once
	ended chan struct{}
}

func newLateListener(t *testing.T) *lateListener {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &lateListener{TCPListener: raw.(*net.TCPListener), ended: make(chan struct{})}
}

func (l *lateListener) end() { l.once.Do(func() { close(l.ended) }) }

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	<-l.ended
	return l.TCPListener.Accept()
}

// Close implements net.Listener.
func (l *lateListener) Close() error {
	defer l.end()
	return l.TCPListener.Close()
}

// SyscallConn implements syscall.Conn.
func (l *lateListener) SyscallConn() (syscall.RawConn, error) {
	l.end()
	return l.TCPListener.SyscallConn()
}

// newLoneNode returns a node without peers, loops and listeners, on the wall clock.
func newLoneNode(t *testing.T) *Node {
	t.Helper()
	clock := qftimer.NewWall()
	settings := qfsettings.Default()
	settings.Node.ID = "node-0"
	table := standtable.New(clock)
	commitRate := &qfledger.CommitRate{PerSecond: settings.Request.LedgerCommitsPerSecond}
	engine := newFakeEngine(clock)
	n := New(settings, Platform{
		Clock: clock, Table: table, Engine: engine, Prober: engine, LedgerCommitRate: commitRate,
		Ledger: qfledger.New(clock, table, ledgerOptions(settings, commitRate)), Logger: zerolog.Nop(), Random: rand.New(rand.NewPCG(1, 1)),
	})
	n.initMembership(addressFor(0), addressFor(0))
	t.Cleanup(n.Kill)
	return n
}

// dialAndSend opens a connection and sends a whole request.
func dialAndSend(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	sendRequest(t, connection)
	return connection
}

// wholeRequest is a request without a body.
const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func sendRequest(t *testing.T, connection net.Conn) {
	t.Helper()
	if _, err := io.WriteString(connection, wholeRequest); err != nil {
		t.Fatal(err)
	}
}

// receiveAnswer reads the first answer of a connection.
func receiveAnswer(connection net.Conn) error { return discardAnswer(bufio.NewReader(connection)) }

// discardAnswer reads a whole answer.
func discardAnswer(reader *bufio.Reader) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// TestDrainAnswersConnectionsThatWaitToBeAccepted fails if a node that stops resets connections that it comes late to accept.
func TestDrainAnswersConnectionsThatWaitToBeAccepted(t *testing.T) {
	tests := []struct {
		port  string
		serve func(*Node, net.Listener)
	}{{"callers", (*Node).serveCallers}, {"operators", (*Node).serveOperators}}
	for _, test := range tests {
		t.Run(test.port, func(t *testing.T) {
			n := newLoneNode(t)
			listener := newLateListener(t)
			test.serve(n, listener)
			n.phase.Store(PhaseDraining)
			var clients []net.Conn
			for range 20 {
				clients = append(clients, dialAndSend(t, listener.Addr().String()))
			}
			var drained sync.WaitGroup
			drained.Go(func() { n.drain(context.Background()) })
			for i, c := range clients {
				if err := receiveAnswer(c); err != nil {
					t.Errorf("request %d has no answer: %v", i, err)
				}
			}
			drained.Wait()
		})
	}
}

// loneCaller is a caller of a node on a virtual network.
type loneCaller struct {
	// sent is what it sends at once, and rest what it sends after the answer to that.
	sent, rest string
	// isRepeated is true if it connects again whenever its connection has ended.
	isRepeated bool
}

// call connects and sends what the caller sends, until the connection has ended.
func (c *loneCaller) call(n *Node, dial func() (net.Conn, error)) {
	for isFirst := true; isFirst || c.isRepeated; isFirst = false {
		connection, err := dial()
		if err != nil {
			return
		}
		_, _ = io.WriteString(connection, c.sent) // A connection that fails here has ended.
		reader := bufio.NewReader(connection)
		if c.sent == wholeRequest && discardAnswer(reader) == nil && c.rest != "" {
			n.sleep(time.Millisecond)
			_, _ = io.WriteString(connection, c.rest) // As above.
		}
		_, _ = io.Copy(io.Discard, reader) // As above.
		_ = connection.Close()
	}
}

// serveSlowly returns a node on a virtual network whose answers take some time, and the dial of its callers.
func serveSlowly(t *testing.T, answerTime time.Duration) (n *Node, dial func() (net.Conn, error)) {
	t.Helper()
	n = newLoneNode(t)
	network := standnet.New()
	t.Cleanup(network.Close)
	host := network.From(netip.MustParseAddr("127.0.0.1"))
	listener, err := host.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { n.sleep(answerTime) })
	budget := qfhttp.NewConnectionBudget(n.platform.Clock, 0, func(qfhttp.LimitBreak) {})
	n.serveHTTP(listener, n.newServer(handler), budget, qfhttp.PortLimits{Name: "callers"})
	return n, func() (net.Conn, error) { return host.Dial(t.Context(), "tcp", listener.Addr().String()) }
}

// TestDrainEndsWithoutReclaim fails if a planned stop waits forever for connections that send no whole request, or for callers that
// keep coming.
func TestDrainEndsWithoutReclaim(t *testing.T) {
	const answerTime = 10 * time.Millisecond
	tests := []struct {
		name    string
		callers []loneCaller
		most    time.Duration
	}{
		{"silent", []loneCaller{{}}, silentTime},
		{"kept", []loneCaller{{sent: wholeRequest}}, time.Second},
		{"part of a first head", []loneCaller{{sent: "GET / HT"}}, readHeaderTimeout},
		{"first bytes of a second head", []loneCaller{{sent: wholeRequest, rest: "GE"}}, acceptTime + time.Second},
		{"part of a second head", []loneCaller{{sent: wholeRequest, rest: "GET / HT"}}, acceptTime + time.Second},
		{"callers that keep coming", []loneCaller{{sent: wholeRequest, isRepeated: true}, {sent: wholeRequest, isRepeated: true}}, acceptTime + time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, dial := serveSlowly(t, answerTime)
				var calling sync.WaitGroup
				for i := range test.callers {
					calling.Go(func() { test.callers[i].call(n, dial) })
					n.sleep(answerTime / 2)
				}
				n.sleep(2 * answerTime)
				n.phase.Store(PhaseDraining)
				began := n.now()
				n.drain(t.Context())
				if took := n.now().Sub(began); took > test.most {
					t.Errorf("the drain took %s, want at most %s", took, test.most)
				}
				calling.Wait()
			})
		})
	}
}

// TestKillEndsADrainAtOnce fails if a node that is killed while it drains waits for connections or requests.
func TestKillEndsADrainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, dial := serveSlowly(t, time.Hour)
		var calling sync.WaitGroup
		for _, caller := range []loneCaller{{}, {sent: "GET / HT"}, {sent: wholeRequest}} {
			calling.Go(func() { caller.call(n, dial) })
		}
		synctest.Wait()
		n.phase.Store(PhaseDraining)
		ctx, cancel := n.contextUntilReclaim()
		defer cancel()
		var drained sync.WaitGroup
		drained.Go(func() { n.drain(ctx) })
		synctest.Wait()
		began := n.now()
		n.Kill()
		drained.Wait()
		calling.Wait()
		if took := n.now().Sub(began); took > 0 {
			t.Errorf("the drain of a killed node ended %s later", took)
		}
	})
}
