package standworld

import (
	"context"
	"net"
	"net/http"
	"net/netip"
)

// server is what runs on a stand-in VM.
type server struct {
	http    *http.Server
	address netip.AddrPort
	leave   func()
}

func (s *server) start(handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
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
