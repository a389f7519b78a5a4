package node

import (
	"context"
	"net"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/transport/qfhttp"
	"quetzalfront/internal/qf/transport/qftls"
	"quetzalfront/internal/qfsettings"
)

// newIdentity returns the identity that the settings configure, or nil if certificates
// are off.
func newIdentity(s *qfsettings.SecuritySettings, clock qf.Clock) *qftls.Identity {
	if s.Insecure {
		return nil
	}
	return qftls.NewIdentity(clock, qftls.Files{
		Certificate: s.CertificateFile, Key: s.KeyFile, Authority: s.AuthorityFile,
	})
}

// wrapDial returns a dial function that authenticates connections to peers, or dial itself
// if certificates are off.
func wrapDial(identity *qftls.Identity, dial qf.Dial) qf.Dial {
	if identity == nil {
		return dial
	}
	return identity.Dial(dial)
}

// loadIdentity loads the certificates for the first time. A node that can't load them
// doesn't start.
func (n *Node) loadIdentity() error {
	if n.platform.Identity == nil {
		return nil
	}
	_, err := n.platform.Identity.Load()
	return err
}

// watchIdentity reloads the certificates when they change.
func (n *Node) watchIdentity() {
	if n.platform.Identity == nil {
		return
	}
	n.runEvery(n.settings.Security.ReloadEvery.Value(), func(context.Context) {
		changed, err := n.platform.Identity.Load()
		switch {
		case err != nil:
			qfevent.IdentityFailed.Log(&n.platform.Logger, err)
		case changed:
			qfevent.IdentityLoaded.Log(&n.platform.Logger, n.settings.Security.CertificateFile)
		}
	})
}

// protectListener limits the number of connections of a port and requires a client
// certificate of the given role, unless certificates are off.
func (n *Node) protectListener(listener net.Listener, port string, admitted qftls.Role) net.Listener {
	listener = qfhttp.LimitOpenConnections(n.platform.Clock, listener, n.settings.Security.MaxConnections)
	if n.platform.Identity == nil {
		qfevent.PortUnprotected.Log(&n.platform.Logger, listener.Addr().String(), port)
		return listener
	}
	return n.platform.Identity.Listen(listener, admitted, func(remote net.Addr, err error) {
		qfevent.PortRefused.Log(&n.platform.Logger, remote.String(), port, err)
	})
}
