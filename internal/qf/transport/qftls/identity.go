// Package qftls proves to each other who stands at the ends of a connection
// between nodes, or between an operator and a node: both ends show a certificate
// of one authority, and the certificate names the role of its holder. Roles take
// the place of host names, because VMs are replaced and known by IP numbers only.
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

// Role is the DNS name by which a certificate says what its holder may do.
type Role string

// The roles. A node's certificate is shown on all of its ports.
const (
	RoleNode     Role = "node.quetzalfront.internal"
	RoleOperator Role = "operator.quetzalfront.internal"
)

// Files names the PEM files of an identity.
type Files struct {
	Certificate string
	Key         string
	// Authority holds the certificates by which the other end is judged.
	Authority string
}

// contents are the bytes of the files.
type contents struct{ certificate, key, authority []byte }

func (c *contents) equal(o *contents) bool {
	return bytes.Equal(c.certificate, o.certificate) && bytes.Equal(c.key, o.key) && bytes.Equal(c.authority, o.authority)
}

func (f *Files) read() (*contents, error) {
	c := &contents{}
	for _, file := range []struct {
		path string
		into *[]byte
	}{{f.Certificate, &c.certificate}, {f.Key, &c.key}, {f.Authority, &c.authority}} {
		data, err := os.ReadFile(file.path)
		if err != nil {
			return nil, broken(file.path, err)
		}
		*file.into = data
	}
	return c, nil
}

// Identity is a certificate with its key, and the authority by which it judges
// others. It follows its files when it is reloaded.
type Identity struct {
	timer qf.Clock
	files Files

	mu sync.Mutex
	// read is what was loaded last; nil before the first load.
	read        *contents
	certificate tls.Certificate
	authority   *x509.CertPool
}

// NewIdentity returns an identity that isn't loaded yet.
func NewIdentity(timer qf.Clock, files Files) *Identity { return &Identity{timer: timer, files: files} }

// Load reads the files and reports whether they changed. After an error the
// identity stays as it was.
func (i *Identity) Load() (changed bool, err error) {
	read, err := i.files.read()
	if err != nil {
		return false, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.read != nil && i.read.equal(read) {
		return false, nil
	}
	certificate, err := tls.X509KeyPair(read.certificate, read.key)
	if err != nil {
		return false, broken(i.files.Certificate, err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(read.authority) {
		return false, qf.NewError(qf.CodeInvalid, qf.StepSettings, i.files.Authority, "expected PEM certificates")
	}
	i.read, i.certificate, i.authority = read, certificate, authority
	return true, nil
}

func broken(path string, cause error) error {
	return &qf.Error{Code: qf.CodeInvalid, Step: qf.StepSettings, Peer: path, Reason: "the file can't be used", Cause: cause}
}

// ClientConfig returns the configuration of a client that connects to a node.
func (i *Identity) ClientConfig() *tls.Config {
	i.mu.Lock()
	defer i.mu.Unlock()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Time: i.timer.Now, ServerName: string(RoleNode),
		Certificates: []tls.Certificate{i.certificate}, RootCAs: i.pool(),
	}
}

// pool returns the authority, or an empty one that trusts nobody. It is called
// with the lock held.
func (i *Identity) pool() *x509.CertPool {
	if i.authority == nil {
		return x509.NewCertPool()
	}
	return i.authority
}

// serverConfig returns the configuration of a server that admits a role only.
func (i *Identity) serverConfig(admitted Role) *tls.Config {
	i.mu.Lock()
	defer i.mu.Unlock()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Time: i.timer.Now, ClientAuth: tls.RequireAndVerifyClientCert,
		Certificates: []tls.Certificate{i.certificate}, ClientCAs: i.pool(),
		// A resumed session would outlive a change of the authority.
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return state.PeerCertificates[0].VerifyHostname(string(admitted))
		},
	}
}

// Dial returns a dial that shows the certificate and accepts nodes only.
func (i *Identity) Dial(dial qf.Dial) qf.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		connection := tls.Client(raw, i.ClientConfig())
		if err := connection.HandshakeContext(ctx); err != nil {
			_ = raw.Close() // It is given up either way.
			// A handshake that failed is a dial that failed: no call has left.
			return nil, &net.OpError{Op: "dial", Net: network, Addr: raw.RemoteAddr(), Err: err}
		}
		return connection, nil
	}
}
