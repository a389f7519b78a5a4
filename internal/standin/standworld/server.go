package standworld

import (
	"context"
	"net/http"
	"net/netip"

	"quetzalfront/internal/qf"
)

// server is the HTTP server of a stand-in VM. It implements standcloud.Server.
type server struct {
	http    *http.Server
	address netip.AddrPort
	// leave makes the engine or service refuse new work.
	leave func()
}

// start listens on the address and serves the handler.
func (s *server) start(listen qf.Listen, address netip.AddrPort, handler http.Handler) error {
	listener, err := listen(context.Background(), address)
	if err != nil {
		return err
	}
	s.address = netip.MustParseAddrPort(listener.Addr().String())
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go serve(s.http, listener)
	return nil
}

// Address implements standcloud.Server.
func (s *server) Address() netip.AddrPort { return s.address }

// Leave implements standcloud.Server.
func (s *server) Leave() { s.leave() }

// Kill implements standcloud.Server.
func (s *server) Kill() { _ = s.http.Close() } // Connections are closed without a response, as in a crash.
