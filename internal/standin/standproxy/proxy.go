// Package standproxy is a TCP proxy on loopback that injects faults into its connections:
// delays, resets and the loss of data in one or both directions.
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

// Mode is how the proxy handles the data that it receives.
type Mode string

// The modes of a proxy. The drop modes lose data without an error at either end. A
// connection that has lost data relays no more, even if the mode changes.
const (
	// Pass relays the data unchanged.
	Pass Mode = "Pass"
	// Delay relays each chunk after delayFor.
	Delay Mode = "Delay"
	// Reset closes each connection at its next chunk.
	Reset Mode = "Reset"
	// DropToTarget drops the data sent to the target, DropFromTarget the data received
	// from it, and DropBoth the data in both directions.
	DropToTarget   Mode = "CutForth"
	DropFromTarget Mode = "CutBack"
	DropBoth       Mode = "Silence"
)

const (
	// delayFor is the delay of each chunk in the mode Delay.
	delayFor = 150 * time.Millisecond
	// bufferBytes is the maximum size of a chunk.
	bufferBytes = 16 << 10
)

// Proxy relays connections to one target.
type Proxy struct {
	clock    qf.Clock
	listener net.Listener
	target   netip.AddrPort
	mode     atomic.Value
	// connections holds the open connections of both sides.
	connections sync.Map
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

func (p *Proxy) currentMode() Mode { return p.mode.Load().(Mode) }

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // The listener is discarded in any case.
	p.connections.Range(func(key, _ any) bool {
		_ = key.(net.Conn).Close()
		return true
	})
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		source, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go p.relay(source)
	}
}

// relay connects to the target and relays data in both directions until one side closes.
func (p *Proxy) relay(source net.Conn) {
	target, err := net.Dial("tcp", p.target.String()) //nolint:noctx // A dial on loopback doesn't block.
	if err != nil {
		_ = source.Close()
		return
	}
	p.connections.Store(source, true)
	p.connections.Store(target, true)
	var hasLostData atomic.Bool
	var directions sync.WaitGroup
	directions.Go(func() { p.relayDirection(target, source, DropToTarget, &hasLostData) })
	directions.Go(func() { p.relayDirection(source, target, DropFromTarget, &hasLostData) })
	directions.Wait()
	p.connections.Delete(source)
	p.connections.Delete(target)
}

// relayDirection relays data in one direction, which the mode drop loses. Once a connection
// has lost data, it relays no more in either direction.
func (p *Proxy) relayDirection(to, from net.Conn, drop Mode, hasLostData *atomic.Bool) {
	defer to.Close()   //nolint:errcheck // The connection is discarded in any case.
	defer from.Close() //nolint:errcheck // As above.
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil && !errors.Is(err, io.EOF) {
			return
		}
		switch p.currentMode() {
		case Reset:
			return
		case DropBoth, drop:
			hasLostData.Store(true)
		case Delay:
			<-p.clock.After(delayFor).C()
		}
		if err != nil {
			return
		}
		if hasLostData.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
