package qfrpc

import (
	"errors"
	"io"
	"net"

	"quetzalfront/internal/qf/state/qfresponse"
)

// maxMessageBytes bounds one encoded value of a message to or from a peer. The largest are
// compressed configurations and pages of feeds.
const maxMessageBytes = 32 << 20

// errMessageTooLarge is the error for a longer message.
var errMessageTooLarge = errors.New("a peer's message is larger than its limit")

// errNoRoom is the error for a message that there is no room for.
var errNoRoom = errors.New("there is no room for the message")

// boundedConn rejects messages above maxMessageBytes before they are decoded. Each message begins
// with its length, as package gob defines it: one byte below 128, or else the negated number of
// the bytes that follow it with the length, the most significant first.
type boundedConn struct {
	net.Conn
	// left is the number of bytes left of the message, lengthLeft that of its length.
	left, length uint64
	lengthLeft   int
	// reserver is asked for room for each message from minReservedBytes on; it may be nil.
	reserver messageReserver
	// ended is called when a message was read whole, and when the connection can't be read any more; it may be nil.
	ended func()
}

// messageReserver is implemented by connections that bound what the messages in progress hold. The memory of a message is
// allocated once its length is read.
type messageReserver interface{ ReserveMessage(length int64) bool }

// minReservedBytes is the length of messages from which room is reserved for them: shorter ones hold little.
const minReservedBytes = 4 << 10

// Read implements net.Conn.
func (c *boundedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if boundErr := c.follow(b[:n]); boundErr != nil {
		c.endMessage()
		return 0, boundErr
	}
	if err != nil {
		c.endMessage()
	}
	return n, err
}

func (c *boundedConn) endMessage() {
	if c.ended != nil {
		c.ended()
	}
}

// follow follows the lengths of the messages in the bytes that were read.
func (c *boundedConn) follow(read []byte) error {
	const maxShort, lengthBytes, bitsPerByte = 0x7f, 8, 8
	for len(read) > 0 {
		if c.left > 0 {
			skipped := min(c.left, uint64(len(read)))
			read = read[skipped:]
			if c.left -= skipped; c.left == 0 {
				c.endMessage()
			}
			continue
		}
		first := read[0]
		read = read[1:]
		switch {
		case c.lengthLeft > 0:
			c.length = c.length<<bitsPerByte | uint64(first)
			if c.lengthLeft--; c.lengthLeft == 0 {
				c.left = c.length
			}
		case first <= maxShort:
			c.left = uint64(first)
		default:
			c.length, c.lengthLeft = 0, -int(int8(first)) //nolint:gosec // The encoding is that of a negative byte.
		}
		if c.lengthLeft > lengthBytes || c.left > maxMessageBytes {
			return errMessageTooLarge
		}
		if c.reserver != nil && c.left >= minReservedBytes && !c.reserver.ReserveMessage(int64(c.left)) {
			return errNoRoom
		}
	}
	return nil
}

// bound returns a connection that rejects large messages.
func bound(connection net.Conn) io.ReadWriteCloser {
	reserver, _ := connection.(messageReserver)
	return &boundedConn{Conn: connection, reserver: reserver}
}

const (
	// maxRepliesBytes bounds the estimated memory of the replies that are being read from all peers: one of the largest length, or
	// many smaller ones.
	maxRepliesBytes = replyByteCost * maxMessageBytes
	// replyByteCost counts the buffer that a reply grows in.
	replyByteCost = 2
)

// replyRoom reserves room for the reply that is being read on one connection, beside those of other peers.
type replyRoom struct{ part *qfresponse.Part }

// ReserveMessage implements messageReserver.
func (r replyRoom) ReserveMessage(length int64) bool { return r.part.Resize(length * replyByteCost) }

// release gives back what was reserved.
func (r replyRoom) release() { r.part.Resize(0) }

// boundReplies returns a connection that rejects replies which are large, or larger than the budget has room for.
func boundReplies(connection net.Conn, budget *qfresponse.Budget) io.ReadWriteCloser {
	room := replyRoom{part: budget.Open().NewPart()}
	return &boundedConn{Conn: connection, reserver: room, ended: room.release}
}
