package standworld

import (
	"context"
	"net/http"
	"net/netip"

	"quetzalfront/internal/qf"
)

// server is what runs on a stand-in VM.
type server struct {
	http    *http.Server
	address netip.AddrPort
	leave   func()
}

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
func (s *server) Kill() { _ = s.http.Close() } // Connections are cut on purpose.
