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

// newIdentity returns the identity that the settings name, or nil if certificates
// are off.
func newIdentity(s *qfsettings.SecuritySettings, timer qf.Clock) *qftls.Identity {
	if s.Insecure {
		return nil
	}
	return qftls.NewIdentity(timer, qftls.Files{
		Certificate: s.CertificateFile, Key: s.KeyFile, Authority: s.AuthorityFile,
	})
}

func peerDial(identity *qftls.Identity, dial qf.Dial) qf.Dial {
	if identity == nil {
		return dial
	}
	return identity.Dial(dial)
}

// loadIdentity reads the certificates for the first time. A node that can't read
// them doesn't start.
func (n *Node) loadIdentity() error {
	if n.platform.Identity == nil {
		return nil
	}
	_, err := n.platform.Identity.Load()
	return err
}

// followIdentity reads the certificates again when they change.
func (n *Node) followIdentity() {
	if n.platform.Identity == nil {
		return
	}
	n.every(n.settings.Security.ReloadEvery.Value(), func(context.Context) {
		changed, err := n.platform.Identity.Load()
		switch {
		case err != nil:
			qfevent.IdentityFailed.Log(&n.platform.Logger, err)
		case changed:
			qfevent.IdentityLoaded.Log(&n.platform.Logger, n.settings.Security.CertificateFile)
		}
	})
}

// protect bounds the connections of a port and admits only holders of a
// certificate of the role, unless certificates are off.
func (n *Node) protect(listener net.Listener, port string, admitted qftls.Role) net.Listener {
	listener = qfhttp.LimitConnections(n.platform.Timer, listener, n.settings.Security.MaxConnections)
	if n.platform.Identity == nil {
		qfevent.PortUnprotected.Log(&n.platform.Logger, listener.Addr().String(), port)
		return listener
	}
	return n.platform.Identity.Listen(listener, admitted, func(remote net.Addr, err error) {
		qfevent.PortRefused.Log(&n.platform.Logger, remote.String(), port, err)
	})
}
