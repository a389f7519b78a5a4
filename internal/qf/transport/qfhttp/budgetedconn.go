package qfhttp

import (
	"bytes"
	"container/list"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// connPhase is what a connection is doing.
type connPhase int32

const (
	// phaseHead: the head of a request is expected or arrives.
	phaseHead connPhase = iota
	// phaseBody: the head was read, and the body arrives.
	phaseBody
	// phaseRunning: the request is complete and in progress.
	phaseRunning
)

const (
	// headSlack is added to the limit of heads, for the request's line and as net/http does.
	headSlack = 4 << 10
	// lingerTimeout bounds how long the rest of a head that was refused is read, and lingerBytes how much of it: closing a
	// connection with unread bytes resets it, and the client would lose the refusal.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
	// discardTimeout bounds the reading of the rest of a body after the answer.
	discardTimeout = 5 * time.Second
	// smallRequestCost is the estimated memory up to which a connection never waits for room, and roomTimeout bounds the wait.
	smallRequestCost = 16 << 10
	roomTimeout      = time.Second
)

const headTooLargeBody = "431 Request Header Fields Too Large"

var headTooLargeResponse = fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"+
	"Connection: close\r\n\r\n%s", headTooLargeBody, len(headTooLargeBody), headTooLargeBody)

// budgetedConn is a connection whose head and body are followed as they are read, below net/http.
type budgetedConn struct {
	net.Conn
	port    *portBudget
	address netip.Addr
	// head follows the head in progress. It is used only by the goroutine that reads it.
	head headFollower
	// waitBeganAt is when the client could send the head's first byte, or when it came. It is used like head.
	waitBeganAt time.Time

	// phase is a connPhase.
	phase atomic.Int32

	// The fields below are guarded by the budget's mutex.

	// held is the estimated memory, which the budget's sum contains until the connection is released.
	held int64
	// element is the connection's place among those that wait for a request. It is nil while a request is in progress, and once the
	// connection is removed.
	element *list.Element
	// waitsSince orders the waiting connections of all ports.
	waitsSince uint64
	// isRemoved is true once the connection is open no more, isEvicted if the budget has ended it, isRefused if that was for its own
	// request, and isReleased once its server has closed it too.
	isRemoved, isEvicted, isRefused, isReleased bool
	// evictedFor is the limit for which the connection was evicted.
	evictedFor LimitName

	// deadlineMu guards the read deadline once the connection is evicted.
	deadlineMu sync.Mutex
	// interruptedAt is when the connection was interrupted since it was evicted. Its read deadline has passed since, whatever its server sets.
	interruptedAt time.Time
}

// headFollower counts what has arrived of a head. It doesn't look for the head's end: net/http doesn't read on after it, so that
// what was counted matters only if it asks for more.
type headFollower struct{ bytes, lines int }

// follow counts bytes that were read, and returns their estimated cost.
func (h *headFollower) follow(read []byte) int64 {
	lines := bytes.Count(read, []byte{'\n'})
	h.bytes += len(read)
	h.lines += lines
	return int64(len(read))*headByteCost + int64(lines)*headLineCost
}

// Read implements net.Conn.
func (c *budgetedConn) Read(b []byte) (int, error) {
	phase := connPhase(c.phase.Load())
	if phase == phaseHead && c.port.limits.HeadBytes != nil && c.isHeadTooLarge() {
		c.refuseHead(b)
		return 0, io.EOF
	}
	n, err := c.readPart(phase, b)
	if n <= 0 || phase == phaseRunning {
		return n, err
	}
	cost := int64(n) * bodyByteCost
	if phase == phaseHead {
		cost = c.followHead(b[:n])
	}
	if !c.charge(cost) && !c.mayGoOn(phase) {
		return 0, io.EOF
	}
	return n, err // A request that has come whole to a connection that was evicted is refused at its start.
}

func (c *budgetedConn) readPart(phase connPhase, b []byte) (int, error) {
	if phase != phaseHead {
		return c.Conn.Read(b)
	}
	n, err := c.readHead(b)
	if n <= 0 {
		return c.readRest(b, err)
	}
	return n, err
}

// followHead counts a part of a head, and returns its estimated cost. The head's time begins with its first part.
func (c *budgetedConn) followHead(part []byte) int64 {
	isFirst := c.head.bytes == 0
	cost := c.head.follow(part)
	if isFirst && c.port.limits.ReadTimeouts != nil {
		c.beginWait()
		_ = c.setReadDeadline(c.headDeadline()) // A connection that fails here fails at its next read.
	}
	return cost
}

func (c *budgetedConn) isHeadTooLarge() bool {
	const never = 4 << 10 // The limit is looked up only for heads that may reach it.
	if c.head.bytes <= never {
		return false
	}
	most := c.port.limits.HeadBytes()
	return most > 0 && c.head.bytes > most+headSlack
}

// refuseHead answers a head over the limit. It uses b as a buffer.
func (c *budgetedConn) refuseHead(b []byte) {
	p := c.port
	p.budget.observe(LimitBreak{Action: ActionRefused, Limit: LimitHead, Port: p.limits.Name, Address: c.address, Figure: p.budget.figure(p, LimitHead)})
	c.answer(headTooLargeResponse, b)
}

// answer sends a response instead of net/http, which then finds the connection at its end. It reads some of the rest of the request
// into b.
func (c *budgetedConn) answer(response string, b []byte) {
	if c.respond(response) {
		c.linger(b)
	}
}

// respond sends a response and ends the direction to the client. It returns false if there is none, or the client has gone.
func (c *budgetedConn) respond(response string) bool {
	if response == "" {
		return false
	}
	_ = c.SetDeadline(c.port.budget.clock.Now().Add(lingerTimeout)) // A connection without deadlines ends with its client.
	if _, err := io.WriteString(c.Conn, response); err != nil {
		return false
	}
	_ = c.CloseWrite() // As above.
	return true
}

// linger reads some of the rest of the request into b, since a connection that is closed with unread bytes loses its response.
func (c *budgetedConn) linger(b []byte) {
	for n := 0; n < lingerBytes; {
		read, err := c.Conn.Read(b)
		if err != nil {
			return
		}
		n += read
	}
}

// charge adds to the estimated memory. It returns false if the connection was closed, or must be closed by the caller. A connection
// that holds much waits until those that were evicted for it are gone, and the collector has freed what they held.
func (c *budgetedConn) charge(cost int64) bool {
	b := c.port.budget
	b.mu.Lock()
	c.hold(cost)
	if c.isRemoved {
		b.mu.Unlock()
		return false
	}
	closed, isEnough := b.freeMemory(c)
	isRefused := !isEnough && c.element != nil
	if isRefused {
		c.evict(LimitMemory)
		c.isRefused = true
	}
	mustWait := c.isLarge() && !b.hasRoom()
	b.mu.Unlock()
	b.closeAll(closed)
	if isRefused {
		c.refuseRequest()
		return false
	}
	return !mustWait || c.awaitRoom()
}

// hold adds to the estimated memory, unless the connection is released. The caller must hold the budget's mutex.
func (c *budgetedConn) hold(cost int64) {
	if c.isReleased {
		return
	}
	c.held += cost
	c.port.budget.used += cost
	if c.isEvicted {
		c.port.budget.closing += cost
	}
}

// isLarge reports whether the connection holds so much that it must wait for room. The caller must hold the budget's mutex.
func (c *budgetedConn) isLarge() bool { return c.held > connectionCost+smallRequestCost }

// awaitRoom waits until there is room, or for roomTimeout. It returns false if the connection was closed meanwhile.
func (c *budgetedConn) awaitRoom() bool {
	b := c.port.budget
	isOpen := true
	b.await(func() bool {
		isOpen = !c.isRemoved
		return c.isRemoved || b.hasRoom()
	})
	return isOpen
}

// refuseRequest refuses a request that hasn't been read to its end, while all others are in progress.
func (c *budgetedConn) refuseRequest() {
	p := c.port
	p.budget.observe(LimitBreak{Action: ActionRefused, Limit: LimitMemory, Port: p.limits.Name, Address: c.address, Figure: p.budget.memory})
	c.sendRefusal()
}

// sendRefusal refuses the request that was read, and closes the connection.
func (c *budgetedConn) sendRefusal() {
	p := c.port
	if c.respond(p.refusals.refusal) {
		select {
		case p.refusals.slots <- struct{}{}:
			c.linger(make([]byte, refusalReadBytes))
			<-p.refusals.slots
		default: // Too many are refused at once; of a request that was read whole nothing is left to read.
		}
	}
	_ = c.Conn.Close() // The connection is abandoned either way.
}

// wait marks the connection as waiting for a request. The caller must hold the budget's mutex.
func (c *budgetedConn) wait() {
	b := c.port.budget
	b.waited++
	c.waitsSince = b.waited
	if c.element != nil {
		c.port.waiting.MoveToBack(c.element)
		return
	}
	c.element = c.port.waiting.PushBack(c)
}

// stopWaiting removes the connection from those that may be closed. The caller must hold the budget's mutex.
func (c *budgetedConn) stopWaiting() {
	if c.element != nil {
		c.port.waiting.Remove(c.element)
		c.element = nil
	}
}

// expectRequest resets the connection after an answer.
func (c *budgetedConn) expectRequest() {
	c.head = headFollower{}
	b := c.port.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.isRemoved {
		return
	}
	b.giveBack(c.held - connectionCost)
	c.held = connectionCost
	c.phase.Store(int32(phaseHead))
	c.wait()
}

// endHead marks the head as read. The body may follow.
func (c *budgetedConn) endHead() {
	c.phase.CompareAndSwap(int32(phaseHead), int32(phaseBody))
}

// startRequest marks the request as complete and in progress. It returns false if the connection was closed before.
func (c *budgetedConn) startRequest() bool {
	c.port.budget.mu.Lock()
	defer c.port.budget.mu.Unlock()
	if c.isRemoved {
		return false
	}
	c.phase.Store(int32(phaseRunning))
	c.stopWaiting()
	return true
}

// IsClosed reports whether the budget or the server has closed the connection.
func (c *budgetedConn) IsClosed() bool {
	c.port.budget.mu.Lock()
	defer c.port.budget.mu.Unlock()
	return c.isRemoved || c.isReleased
}

// isOpen reports whether the budget hasn't closed the connection.
func (c *budgetedConn) isOpen() bool {
	c.port.budget.mu.Lock()
	defer c.port.budget.mu.Unlock()
	return !c.isRemoved
}

// boundDiscard bounds the reading of the rest of a body that the handler has left.
func (c *budgetedConn) boundDiscard() {
	if connPhase(c.phase.Load()) == phaseBody {
		_ = c.SetReadDeadline(c.port.budget.clock.Now().Add(discardTimeout)) // Without it the read ends with the connection.
	}
}

// evict removes the connection, which must wait for a request. Its memory is in use until its server closes it too. The caller must
// hold the budget's mutex, and close the connection.
func (c *budgetedConn) evict(limit LimitName) evicted {
	c.remove()
	c.isEvicted, c.evictedFor = true, limit
	c.port.evicted++
	c.port.budget.closing += c.held
	c.port.budget.signalRoom()
	return evicted{c, limit}
}

// remove takes the connection out of its port's connections. The caller must hold the budget's mutex.
func (c *budgetedConn) remove() {
	c.isRemoved = true
	c.stopWaiting()
	p := c.port
	p.open--
	if p.byAddress[c.address]--; p.byAddress[c.address] <= 0 {
		delete(p.byAddress, c.address)
	}
}

// Close implements net.Conn.
func (c *budgetedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// release gives the connection's memory back.
func (c *budgetedConn) release() {
	b := c.port.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.isReleased {
		return
	}
	c.isReleased = true
	b.giveBack(c.held)
	if c.isEvicted {
		c.port.evicted--
		b.closing -= c.held
	}
	if !c.isRemoved {
		c.remove()
	}
	b.signalRoom()
}

// CloseWrite closes the direction to the client, if the connection can.
func (c *budgetedConn) CloseWrite() error { return closeWrite(c.Conn) }

func closeWrite(connection net.Conn) error {
	if half, ok := connection.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// HasEnded reports whether the client has closed the connection; false also stands for not known.
func (c *budgetedConn) HasEnded() bool { return hasEnded(c.Conn) }

// IsReadable reports whether bytes of the client wait to be read; false also stands for not known.
func (c *budgetedConn) IsReadable() bool { return isReadable(c.Conn) }
