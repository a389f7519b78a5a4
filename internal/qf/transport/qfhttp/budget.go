package qfhttp

import (
	"container/list"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// LimitName names a limit on what clients may make a process hold.
type LimitName string

// The limits.
const (
	// LimitConnections bounds the connections of a port.
	LimitConnections LimitName = "Connections"
	// LimitAddress bounds the connections of a port that come from one address.
	LimitAddress LimitName = "ConnectionsOfAddress"
	// LimitMemory bounds the estimated memory of all connections of a process.
	LimitMemory LimitName = "Memory"
	// LimitHead bounds the bytes of a request's head.
	LimitHead LimitName = "HeadBytes"
)

// LimitAction is what was done about a limit.
type LimitAction string

// The actions.
const (
	// ActionClosed means that an open connection without a request in progress was closed.
	ActionClosed LimitAction = "Closed"
	// ActionRefused means that a connection or a request was refused.
	ActionRefused LimitAction = "Refused"
	// ActionRequestRefused means that a request was refused that had come whole to a connection that was closed.
	ActionRequestRefused LimitAction = "RequestRefused"
)

// LimitBreak reports that a limit was reached.
type LimitBreak struct {
	Action LimitAction
	Limit  LimitName
	// Port is the name of the port, Address the client's address.
	Port    string
	Address netip.Addr
	// Figure is the value of the limit.
	Figure int64
	// Request is set with ActionRequestRefused, if the port can name requests.
	Request qf.RequestID
}

// The estimated memory of a connection. A head's lines cost more than their bytes: each becomes an entry of a map.
const (
	connectionCost = 12 << 10
	headByteCost   = 2
	headLineCost   = 128
	// bodyByteCost counts the buffer that a body grows in.
	bodyByteCost = 2
)

// ConnectionBudget bounds what the clients of all ports of a process make it hold. When it is full, the connection that has been
// longest without a complete request is closed; a connection with a request in progress never is.
type ConnectionBudget struct {
	clock qf.Clock
	// memory is the largest estimated memory of all connections, or 0 without a bound.
	memory  int64
	observe func(LimitBreak)

	mu sync.Mutex
	// used is the estimated memory of all connections, closing the part of those that were evicted and that their server hasn't
	// closed yet.
	used, closing int64
	// uncollected is what closed connections and ended requests held. Only connections that hold much wait for it: the collector runs often enough for
	// the others.
	uncollected uncollected
	// isCollecting is true while a connection that waits for room runs the collector.
	isCollecting bool
	// room is closed when a connection is evicted or closed. It is nil while nobody waits for room.
	room chan struct{}
	// waited counts the connections that began to wait for a request.
	waited uint64
	ports  []*portBudget
}

// NewConnectionBudget returns a budget of an estimated memory, 0 for one without a bound. observe is called with each limit that
// is reached; it must not block.
func NewConnectionBudget(clock qf.Clock, memory int64, observe func(LimitBreak)) *ConnectionBudget {
	return &ConnectionBudget{clock: clock, memory: memory, observe: observe}
}

// PortLimits are the limits of one port; 0 stands for no limit.
type PortLimits struct {
	// Name names the port in reports.
	Name string
	// Connections bounds the open connections, ConnectionsOfAddress those that come from one address.
	Connections, ConnectionsOfAddress int
	// HeadBytes returns the limit of a request's head; it may change. It is nil for ports that don't serve HTTP.
	HeadBytes func() int
	// ReadTimeouts returns the timeouts of a wait that began at a time; they may change. It is nil for ports on which the server's own
	// timeouts are in force.
	ReadTimeouts func(began time.Time) ReadTimeouts
	// Reuse is how long after an answer its client may use the connection again, in whole seconds. 0 stands for not stated.
	Reuse time.Duration
	// RequestID returns the identifier of a request for reports; it may be nil.
	RequestID func(*http.Request) qf.RequestID
}

// portBudget is the part of a budget that concerns one port.
type portBudget struct {
	budget *ConnectionBudget
	limits PortLimits
	// open is the number of connections, byAddress that of each address. They and waiting are guarded by the budget's mutex.
	open      int
	byAddress map[netip.Addr]int
	// evicted is the number of connections that the budget has closed and their server hasn't yet.
	evicted int
	// waiting holds the connections without a request in progress; those that have waited longest are first.
	waiting *list.List
	// refusals bounds the refusals in progress.
	refusals *refuser
}

// isHTTP reports whether the port's clients can be refused in HTTP.
func (p *portBudget) isHTTP() bool { return p.refusals.refusal != "" }

// newPort adds a port to the budget.
func (b *ConnectionBudget) newPort(limits PortLimits, refusal string) *portBudget {
	p := &portBudget{
		budget: b, limits: limits, byAddress: map[netip.Addr]int{}, waiting: list.New(), refusals: newRefuser(b.clock, refusal),
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ports = append(b.ports, p)
	return p
}

// Open returns the number of connections and their estimated memory.
func (b *ConnectionBudget) Open() (connections int, memory int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.ports {
		connections += p.open
	}
	return connections, b.used
}

// admit adds a connection, and closes others if a limit requires it. It returns nil if the connection must be refused, since all
// others have requests in progress.
func (p *portBudget) admit(raw net.Conn) *budgetedConn {
	c := &budgetedConn{Conn: raw, port: p, address: remoteAddress(raw)}
	c.beginWait()
	b := p.budget
	b.mu.Lock()
	closed, reached := p.makeRoom(c.address)
	if reached == "" {
		p.add(c)
		if freed, isEnough := b.freeMemory(c); isEnough {
			closed = append(closed, freed...)
		} else {
			closed, reached = append(closed, freed...), LimitMemory
			c.remove()
			b.used -= c.held
		}
	}
	b.mu.Unlock()
	b.closeAll(closed)
	p.awaitEvicted()
	if reached == "" {
		return c
	}
	b.observe(LimitBreak{Action: ActionRefused, Limit: reached, Port: p.limits.Name, Address: c.address, Figure: b.figure(p, reached)})
	return nil
}

// maxEvicted is the number of evicted connections of a port from which no more are accepted until their server has closed some.
const maxEvicted = 32

// awaitEvicted waits while too many evicted connections still have descriptors, or for roomTimeout.
func (p *portBudget) awaitEvicted() {
	p.budget.await(func() bool { return p.evicted < maxEvicted })
}

// await waits until a condition holds, which is checked under the mutex at each change of the connections, or for roomTimeout. It runs the collector
// if nothing else makes room.
func (b *ConnectionBudget) await(holds func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if holds() {
		return
	}
	timeout := b.clock.After(roomTimeout)
	defer timeout.Stop()
	for !holds() {
		change := b.roomChange()
		if b.mustCollect() {
			b.collect()
		}
		b.mu.Unlock()
		isLate := false
		select {
		case <-change:
		case <-timeout.C():
			isLate = true
		}
		b.mu.Lock()
		if isLate {
			return
		}
	}
}

// add adds a connection that holds nothing yet. The caller must hold the budget's mutex.
func (p *portBudget) add(c *budgetedConn) {
	p.open++
	p.byAddress[c.address]++
	c.held = connectionCost
	p.budget.used += connectionCost
	c.wait()
}

// makeRoom evicts connections until one more from the address is within the port's limits. It returns those to close, or the
// limit that admits no more. The caller must hold b.mu.
func (p *portBudget) makeRoom(address netip.Addr) (closed []evicted, reached LimitName) {
	if most := p.limits.ConnectionsOfAddress; most > 0 && p.byAddress[address] >= most {
		c := p.longestWaiting(func(c *budgetedConn) bool { return c.address == address })
		if c == nil {
			return nil, LimitAddress
		}
		closed = append(closed, c.evict(LimitAddress))
	}
	if most := p.limits.Connections; most > 0 && p.open >= most {
		c := p.longestWaiting(nil)
		if c == nil {
			return closed, LimitConnections
		}
		closed = append(closed, c.evict(LimitConnections))
	}
	return closed, ""
}

// longestWaiting returns the first waiting connection of the port that matches, or nil.
func (p *portBudget) longestWaiting(matches func(*budgetedConn) bool) *budgetedConn {
	for element := p.waiting.Front(); element != nil; element = element.Next() {
		if c := element.Value.(*budgetedConn); matches == nil || matches(c) {
			return c
		}
	}
	return nil
}

// freeMemory evicts connections other than the given one until the memory is within its bound once they are closed. Those that hold a part of a
// request come first. Connections that hold no more than their own cost are spared by one that holds more, and nothing is evicted if that
// isn't enough. It returns the connections to close, and whether they are enough. The caller must hold b.mu.
func (b *ConnectionBudget) freeMemory(except *budgetedConn) (closed []evicted, isEnough bool) {
	if !b.isFull(b.closing) {
		return nil, true
	}
	holdsPart := func(c *budgetedConn) bool { return c != except && c.held > connectionCost }
	mayEvict := func(c *budgetedConn) bool { return holdsPart(c) || c != except && except.held <= connectionCost }
	if b.isFull(b.closing + b.sumWaiting(mayEvict)) {
		return nil, false
	}
	for b.isFull(b.closing) {
		c := b.longestWaiting(holdsPart)
		if c == nil {
			c = b.longestWaiting(mayEvict)
		}
		if c == nil {
			return closed, false
		}
		closed = append(closed, c.evict(LimitMemory))
	}
	return closed, true
}

// sumWaiting returns the estimated memory of the waiting connections that match. The caller must hold b.mu.
func (b *ConnectionBudget) sumWaiting(matches func(*budgetedConn) bool) int64 {
	sum := int64(0)
	for _, p := range b.ports {
		for element := p.waiting.Front(); element != nil; element = element.Next() {
			if c := element.Value.(*budgetedConn); matches(c) {
				sum += c.held
			}
		}
	}
	return sum
}

// isFull reports whether the memory without a part of it is above its bound. The caller must hold b.mu.
func (b *ConnectionBudget) isFull(without int64) bool {
	return b.memory > 0 && b.used-without > b.memory
}

// signalRoom wakes those that wait for room. The caller must hold b.mu.
func (b *ConnectionBudget) signalRoom() {
	if b.room != nil {
		close(b.room)
		b.room = nil
	}
}

// roomChange returns a channel that is closed at the next change. The caller must hold b.mu.
func (b *ConnectionBudget) roomChange() <-chan struct{} {
	if b.room == nil {
		b.room = make(chan struct{})
	}
	return b.room
}

// longestWaiting returns the waiting connection of all ports that matches and has waited longest, or nil.
func (b *ConnectionBudget) longestWaiting(matches func(*budgetedConn) bool) *budgetedConn {
	var longest *budgetedConn
	for _, p := range b.ports {
		if c := p.longestWaiting(matches); c != nil && (longest == nil || c.waitsSince < longest.waitsSince) {
			longest = c
		}
	}
	return longest
}

// figure returns the value of a limit.
func (b *ConnectionBudget) figure(p *portBudget, limit LimitName) int64 {
	switch limit {
	case LimitConnections:
		return int64(p.limits.Connections)
	case LimitAddress:
		return int64(p.limits.ConnectionsOfAddress)
	case LimitMemory:
		return b.memory
	default:
		return int64(p.limits.HeadBytes())
	}
}

// evicted is a connection to close, and the limit that requires it.
type evicted struct {
	connection *budgetedConn
	limit      LimitName
}

// closeAll ends connections that were evicted, and reports them. The caller must not hold b.mu.
func (b *ConnectionBudget) closeAll(closed []evicted) {
	for _, e := range closed {
		p := e.connection.port
		b.observe(LimitBreak{Action: ActionClosed, Limit: e.limit, Port: p.limits.Name, Address: e.connection.address, Figure: b.figure(p, e.limit)})
		e.connection.interrupt() // A request that is refused after it is reported after it, too.
	}
}

func remoteAddress(connection net.Conn) netip.Addr {
	if remote, ok := connection.RemoteAddr().(*net.TCPAddr); ok {
		return remote.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
