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

// TestDrainEndsWithoutReclaim fails if a planned stop waits forever for connections that send no whole request, or for callers that
// keep coming.
func TestDrainEndsWithoutReclaim(t *testing.T) {
	tests := []struct {
		name string
		// sent is what the caller sends; the answers to whole requests are read.
		sent    string
		answers int
		// isRepeated is true if the caller connects again whenever its connection has ended.
		isRepeated bool
		most       time.Duration
	}{
		{name: "silent", most: silentTime},
		{name: "kept", sent: wholeRequest, answers: 1, most: time.Second},
		{name: "part of a first head", sent: "GET / HT", most: readHeaderTimeout},
		{name: "first bytes of a second head", sent: wholeRequest + "GE", answers: 1, most: acceptTime + time.Second},
		{name: "part of a second head", sent: wholeRequest + "GET / HT", answers: 1, most: acceptTime + time.Second},
		{name: "callers that keep coming", sent: wholeRequest, answers: 1, isRepeated: true, most: acceptTime + time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newLoneNode(t)
				network := standnet.New()
				t.Cleanup(network.Close)
				host := network.From(netip.MustParseAddr("127.0.0.1"))
				listener, err := host.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
				if err != nil {
					t.Fatal(err)
				}
				n.serveCallers(listener)
				var caller sync.WaitGroup
				caller.Go(func() {
					for {
						connection, err := host.Dial(t.Context(), "tcp", listener.Addr().String())
						if err != nil {
							return
						}
						reader := bufio.NewReader(connection)
						_, _ = io.WriteString(connection, test.sent)
						for range test.answers {
							_ = discardAnswer(reader)
						}
						_, _ = io.Copy(io.Discard, reader)
						_ = connection.Close()
						if !test.isRepeated {
							return
						}
						n.sleep(time.Millisecond)
					}
				})
				synctest.Wait()
				n.phase.Store(PhaseDraining)
				began := n.now()
				n.drain(t.Context())
				if took := n.now().Sub(began); took > test.most {
					t.Errorf("the drain took %s, want at most %s", took, test.most)
				}
				caller.Wait()
			})
		})
	}
}
