// Package standproxy is a TCP proxy on loopback that harms the connections through it:
// it delays, resets, cuts them one way or silences them.
package standproxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"quetzalfront/internal/qf"
)

// Mode is what the proxy does.
type Mode string

// The modes of a proxy. DropBoth and the cuts lose what is sent, and the ends don't hear
// of it; connections that were opened meanwhile stay harmed.
const (
	Pass Mode = "Pass"
	// Delay holds back each piece for some time.
	Delay Mode = "Delay"
	// Reset closes each connection at its next piece.
	Reset Mode = "Reset"
	// DropToTarget loses what goes to the target, CutBack what comes from there.
	DropToTarget   Mode = "CutForth"
	DropFromTarget Mode = "CutBack"
	DropBoth       Mode = "Silence"
)

const (
	delayFor    = 150 * time.Millisecond
	bufferBytes = 16 << 10
)

// Proxy passes connections on to one target.
type Proxy struct {
	clock    qf.Clock
	listener net.Listener
	target   netip.AddrPort
	mode     atomic.Value
	open     sync.Map
}

// New starts a proxy at an address.
func New(clock qf.Clock, address, target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", address.String()) //nolint:noctx // It is closed by Close.
	if err != nil {
		return nil, err
	}
	p := &Proxy{clock: clock, listener: listener, target: target}
	p.SetMode(Pass)
	go p.accept()
	return p, nil
}

// SetMode changes the mode.
func (p *Proxy) SetMode(mode Mode) { p.mode.Store(mode) }

func (p *Proxy) now() Mode { return p.mode.Load().(Mode) }

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // It is given up either way.
	p.open.Range(func(key, _ any) bool {
		_ = key.(net.Conn).Close()
		return true
	})
}

func (p *Proxy) accept() {
	for {
		source, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go p.join(source)
	}
}

func (p *Proxy) join(source net.Conn) {
	target, err := net.Dial("tcp", p.target.String()) //nolint:noctx // Loopback answers at once.
	if err != nil {
		_ = source.Close()
		return
	}
	p.open.Store(source, true)
	p.open.Store(target, true)
	var harmed atomic.Bool
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(target, source, DropToTarget, &harmed) })
	copies.Go(func() { p.copy(source, target, DropFromTarget, &harmed) })
	copies.Wait()
	p.open.Delete(source)
	p.open.Delete(target)
}

// copy passes one direction on. A connection from which bytes were lost stays silent.
func (p *Proxy) copy(to, from net.Conn, cut Mode, harmed *atomic.Bool) {
	defer to.Close()   //nolint:errcheck // It is given up either way.
	defer from.Close() //nolint:errcheck // As above.
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil && !errors.Is(err, io.EOF) {
			return
		}
		switch p.now() {
		case Reset:
			return
		case DropBoth, cut:
			harmed.Store(true)
		case Delay:
			<-p.clock.After(delayFor).C()
		}
		if err != nil {
			return
		}
		if harmed.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
