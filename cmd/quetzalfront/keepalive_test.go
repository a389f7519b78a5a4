package main

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
)

// TestConnectionsFindDeadPeers fails if a connection lacks one of the socket options by which it finds that its
// other end has gone, as docs/OPERATIONS.md states them.
func TestConnectionsFindDeadPeers(t *testing.T) {
	network := keepAliveNetwork()
	listener, err := network.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, _ := listener.Accept() // The dial fails too.
		accepted <- conn
	}()
	dialed, err := network.Dial(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	server := <-accepted
	defer server.Close()
	tests := []struct {
		name          string
		conn          net.Conn
		level, option int
		want          int
	}{
		{"dialed, keep-alive", dialed, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		{"dialed, idle seconds", dialed, syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, int(keepAliveInterval.Seconds())},
		{"dialed, interval in seconds", dialed, syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, int(keepAliveInterval.Seconds())},
		{"dialed, probes", dialed, syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, keepAliveProbes},
		{"dialed, user timeout in milliseconds", dialed, syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds())},
		{"accepted, keep-alive", server, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		{"accepted, idle seconds", server, syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, int(keepAliveInterval.Seconds())},
		{"accepted, interval in seconds", server, syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, int(keepAliveInterval.Seconds())},
		{"accepted, probes", server, syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, keepAliveProbes},
		{"accepted, user timeout in milliseconds", server, syscall.IPPROTO_TCP, tcpUserTimeout, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := socketOption(t, tt.conn, tt.level, tt.option); got != tt.want {
				t.Errorf("the option is %d, want %d", got, tt.want)
			}
		})
	}
}

func socketOption(t *testing.T, conn net.Conn, level, option int) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	if controlErr := raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), level, option) }); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return value
}
