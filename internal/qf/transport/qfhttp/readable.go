package qfhttp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// readableReporter is implemented by listeners and connections without a descriptor of their own that report whether something
// waits to be accepted or read.
type readableReporter interface{ IsReadable() bool }

// wrappedConn is implemented by connections with TLS.
type wrappedConn interface{ NetConn() net.Conn }

// isReadable reports whether a connection has bytes, or its end, that wait to be read, or a listener has connections that wait to be
// accepted. It never blocks, and false also stands for not known.
func isReadable(socket any) bool {
	switch s := socket.(type) {
	case readableReporter:
		return s.IsReadable()
	case wrappedConn:
		return isReadable(s.NetConn())
	case syscall.Conn:
		events, err := pollSocket(s, unix.POLLIN)
		return err == nil && events&unix.POLLIN != 0
	default:
		return false
	}
}

// pollSocket returns which of the events have come to a socket, besides errors and hang-ups. The error is set if the socket was
// closed by this process.
func pollSocket(socket syscall.Conn, events int16) (int16, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	came := int16(0)
	err = raw.Control(func(fd uintptr) {
		list := []unix.PollFd{{Fd: int32(fd), Events: events}} //nolint:gosec // Descriptors are small.
		if _, pollErr := unix.Poll(list, 0); pollErr == nil {
			came = list[0].Revents
		}
	})
	return came, err
}
