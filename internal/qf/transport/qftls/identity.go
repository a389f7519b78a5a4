// Package qftls implements mutual TLS between nodes, and between operators and nodes: both
// ends present a certificate that the same authority issued, and the certificate names its
// holder's role. Roles are used instead of host names, because VMs are replaced often and
// are addressed by IP address only.
package qftls

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"

	"quetzalfront/internal/qf"
)

// Role is the DNS name in a certificate that states what its holder may do.
type Role string

// The roles. A node presents the same certificate on all of its ports.
const (
	RoleNode     Role = "node.quetzalfront.internal"
	RoleOperator Role = "operator.quetzalfront.internal"
)

// Files names the PEM files of an identity.
type Files struct {
	Certificate string
	Key         string
	// Authority holds the CA certificates that verify the other end.
	Authority string
}

// fileContents holds the bytes of the files.
type fileContents struct{ certificate, key, authority []byte }

func (c *fileContents) equal(o *fileContents) bool {
	return bytes.Equal(c.certificate, o.certificate) && bytes.Equal(c.key, o.key) && bytes.Equal(c.authority, o.authority)
}

func (f *Files) read() (*fileContents, error) {
	c := &fileContents{}
	for _, file := range []struct {
		path string
		into *[]byte
	}{{f.Certificate, &c.certificate}, {f.Key, &c.key}, {f.Authority, &c.authority}} {
		data, err := os.ReadFile(file.path)
		if err != nil {
			return nil, invalidFile(file.path, err)
		}
		*file.into = data
	}
	return c, nil
}

// Identity is a certificate with its key, and the authority that verifies others. Load
// reloads them from the files.
type Identity struct {
	clock qf.Clock
	files Files

	mu sync.Mutex
	// loaded is the content that was loaded last; it is nil before the first load.
	loaded      *fileContents
	certificate tls.Certificate
	authority   *x509.CertPool
}

// NewIdentity returns an identity that hasn't been loaded.
func NewIdentity(clock qf.Clock, files Files) *Identity { return &Identity{clock: clock, files: files} }

// Load reads the files and reports whether they have changed. An error leaves the identity
// unchanged.
func (i *Identity) Load() (changed bool, err error) {
	read, err := i.files.read()
	if err != nil {
		return false, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.loaded != nil && i.loaded.equal(read) {
		return false, nil
	}
	certificate, err := tls.X509KeyPair(read.certificate, read.key)
	if err != nil {
		return false, invalidFile(i.files.Certificate, err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(read.authority) {
		return false, qf.NewError(qf.CodeInvalid, qf.StepSettings, i.files.Authority, "expected PEM certificates")
	}
	i.loaded, i.certificate, i.authority = read, certificate, authority
	return true, nil
}

func invalidFile(path string, cause error) error {
	return &qf.Error{Code: qf.CodeInvalid, Step: qf.StepSettings, Peer: path, Reason: "the file can't be read or is invalid", Cause: cause}
}

// ClientConfig returns the configuration of a client that connects to a node.
func (i *Identity) ClientConfig() *tls.Config {
	i.mu.Lock()
	defer i.mu.Unlock()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Time: i.clock.Now, ServerName: string(RoleNode),
		Certificates: []tls.Certificate{i.certificate}, RootCAs: i.authorityPool(),
	}
}

// authorityPool returns the authority, or an empty pool that verifies no certificate. The
// caller holds the lock.
func (i *Identity) authorityPool() *x509.CertPool {
	if i.authority == nil {
		return x509.NewCertPool()
	}
	return i.authority
}

// serverConfig returns the configuration of a server that admits only the role.
func (i *Identity) serverConfig(role Role) *tls.Config {
	i.mu.Lock()
	defer i.mu.Unlock()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Time: i.clock.Now, ClientAuth: tls.RequireAndVerifyClientCert,
		Certificates: []tls.Certificate{i.certificate}, ClientCAs: i.authorityPool(),
		// A resumed session would outlive a change of the authority.
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return state.PeerCertificates[0].VerifyHostname(string(role))
		},
	}
}

// Dial wraps a dial with a TLS handshake that presents the certificate and accepts only
// nodes.
func (i *Identity) Dial(dial qf.Dial) qf.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		connection := tls.Client(raw, i.ClientConfig())
		if err := connection.HandshakeContext(ctx); err != nil {
			_ = raw.Close() // The connection is abandoned either way.
			// A failed handshake is reported as a failed dial: no call was sent.
			return nil, &net.OpError{Op: "dial", Net: network, Addr: raw.RemoteAddr(), Err: err}
		}
		return connection, nil
	}
}
