package qftest

import (
	"net"
	"net/netip"
	"testing"

	"quetzalfront/internal/standin/standsocket"
)

// StartSocket starts a server on loopback that sends any bytes as its answers, until the end of the test.
func StartSocket(t *testing.T, server *standsocket.Server) netip.AddrPort {
	t.Helper()
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go server.Serve(t.Context(), listener)
	return netip.MustParseAddrPort(listener.Addr().String())
}
