package standnet

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// chunkBytes is how much of a write is sent before other connections get their turn on a
// limited link.
const chunkBytes = 16 * 1024

// rate is the limited link of one address. Data to and from the address are limited apart.
type rate struct {
	clock          qf.Clock
	bytesPerSecond float64

	mu sync.Mutex
	// inFreeAt and outFreeAt are when the link has carried all data so far, and inBytes is
	// the total to the address.
	inFreeAt, outFreeAt time.Time
	inBytes             int
}

// LimitRate limits the link of an address, in bytes a second in each direction. Its connections
// share the link.
func (n *Network) LimitRate(clock qf.Clock, address netip.Addr, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rates[address] = &rate{clock: clock, bytesPerSecond: bytesPerSecond}
}

// BytesTo returns how many bytes a limited link has carried to its address.
func (n *Network) BytesTo(address netip.Addr) int {
	r := n.rateOf(address)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inBytes
}

func (n *Network) rateOf(address netip.Addr) *rate {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rates[address]
}

// isLimited reports whether what is written from one address to another may have to wait.
func (n *Network) isLimited(from, to netip.Addr) bool {
	return n.rateOf(from) != nil || n.rateOf(to) != nil || n.holdOf(to) != nil
}

// waitForRate waits until the links between two addresses have carried a number of bytes, and until the
// second address receives them.
func (n *Network) waitForRate(from, to netip.Addr, bytes int) {
	if held := n.holdOf(to); held != nil {
		<-held
	}
	if r := n.rateOf(from); r != nil {
		r.wait(&r.outFreeAt, bytes)
	}
	if r := n.rateOf(to); r != nil {
		r.wait(&r.inFreeAt, bytes)
		r.mu.Lock()
		r.inBytes += bytes
		r.mu.Unlock()
	}
}

// wait waits for the link's turn and for the time that the bytes take.
func (r *rate) wait(freeAt *time.Time, bytes int) {
	r.mu.Lock()
	now := r.clock.Now()
	if freeAt.Before(now) {
		*freeAt = now
	}
	*freeAt = freeAt.Add(time.Duration(float64(bytes) / r.bytesPerSecond * float64(time.Second)))
	delay := freeAt.Sub(now)
	r.mu.Unlock()
	timer := r.clock.After(delay)
	defer timer.Stop()
	<-timer.C()
}

// sendBuffer holds what was written to an end and not yet sent. Writes never block, because a
// writer that holds a mutex would keep the virtual time from passing.
type sendBuffer struct {
	mu sync.Mutex
	// isSending is set while a goroutine sends the chunks.
	isSending, isClosing bool
	chunks               [][]byte
	err                  error
}

// add appends data, and sends it in the background.
func (s *sendBuffer) add(e *end, data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	for chunk := range slices.Chunk(slices.Clone(data), chunkBytes) {
		s.chunks = append(s.chunks, chunk)
	}
	s.beginLocked(e)
	return len(data), nil
}

// begin sends what there is in the background.
func (s *sendBuffer) begin(e *end) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunks = append(s.chunks, nil) // Nothing but the end has to wait.
	s.beginLocked(e)
}

func (s *sendBuffer) beginLocked(e *end) {
	if !s.isSending {
		s.isSending = true
		go s.send(e)
	}
}

// isEmpty reports whether all that was written has been handed to the other end.
func (s *sendBuffer) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.chunks, func(chunk []byte) bool { return len(chunk) > 0 })
}

// isBusy reports whether something is still being sent, which later writes must not overtake.
func (s *sendBuffer) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isSending
}

// send sends the chunks until there are none.
func (s *sendBuffer) send(e *end) {
	for {
		chunk, isLast := s.next(e)
		if isLast {
			return
		}
		e.connection.network.waitForRate(e.local.Addr(), e.remote.Addr(), len(chunk))
		if e.connection.blackholed.Load() || len(chunk) == 0 {
			continue
		}
		if _, err := e.Conn.Write(chunk); err != nil {
			s.fail(err)
		}
	}
}

// next returns the next chunk, or ends the sending if there is none.
func (s *sendBuffer) next(e *end) (chunk []byte, isLast bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.chunks) == 0 {
		s.isSending = false
		if s.isClosing {
			_ = e.Conn.Close() // Closing a pipe never fails.
		}
		return nil, true
	}
	chunk, s.chunks = s.chunks[0], s.chunks[1:]
	return chunk, false
}

// fail drops what wasn't sent; later writes fail.
func (s *sendBuffer) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.chunks = err, nil
}

// closeWhenSent reports whether data is still being sent, and closes the connection after it.
func (s *sendBuffer) closeWhenSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosing = true
	return s.isSending
}
