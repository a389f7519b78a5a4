package qftls_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qftls"
	"quetzalfront/internal/standin/standca"
	"quetzalfront/internal/standin/standnet"
)

var (
	clock   = qftimer.NewWall()
	anyPort = netip.MustParseAddrPort("127.0.0.1:0")
)

// failureTimeout bounds a test that would otherwise block.
const failureTimeout = time.Minute

// port is a TLS port that echoes the bytes that it reads.
type port struct {
	address  string
	identity *qftls.Identity
	refusals chan error
}

func must[T any](t *testing.T) func(value T, err error) T {
	return func(value T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
}

func openPort(t *testing.T, network qf.Network, files qftls.Files, admitted qftls.Role) *port {
	inner := must[net.Listener](t)(network.Listen(t.Context(), anyPort))
	p := &port{address: inner.Addr().String(), identity: load(t, files), refusals: make(chan error, 10)}
	listener := p.identity.Listen(inner, admitted, func(_ net.Addr, err error) { p.refusals <- err })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				if !errors.Is(err, net.ErrClosed) {
					t.Errorf("accept: %v", err)
				}
				return
			}
			go func() {
				_, _ = io.Copy(connection, connection)
				_ = connection.Close()
			}()
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return p
}

func load(t *testing.T, files qftls.Files) *qftls.Identity {
	t.Helper()
	identity := qftls.NewIdentity(clock, files)
	must[bool](t)(identity.Load())
	return identity
}

// echo connects, sends a text and waits for its echo. The error is nil if the port served
// the connection.
func (p *port) echo(dial qf.Dial) error {
	ctx, cancel := context.WithTimeout(context.Background(), failureTimeout)
	defer cancel()
	connection, err := dial(ctx, "tcp", p.address)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	if err := connection.SetDeadline(clock.Now().Add(failureTimeout)); err != nil {
		return err
	}
	const text = "GET / HTTP/1.1"
	if _, err := io.WriteString(connection, text); err != nil {
		return err
	}
	_, err = io.ReadFull(connection, make([]byte, len(text)))
	return err
}

// TestOnlyHoldersOfTheRoleAreAdmitted fails if a port admits a client without a valid
// certificate of its role and authority, or refuses one that has it.
func TestOnlyHoldersOfTheRoleAreAdmitted(t *testing.T) {
	const valid = time.Hour
	tests := []struct {
		name string
		// role and validFor describe the client's certificate; without a role the client
		// uses no TLS. otherAuthority means that another authority issued it.
		role           qftls.Role
		validFor       time.Duration
		otherAuthority bool
		admitted       qftls.Role
		refusal        string
	}{
		{"a node at the peers' port", qftls.RoleNode, valid, false, qftls.RoleNode, ""},
		{"an operator at the operators' port", qftls.RoleOperator, valid, false, qftls.RoleOperator, ""},
		{"an operator at the peers' port", qftls.RoleOperator, valid, false, qftls.RoleNode, "certificate is valid for operator"},
		{"a node at the operators' port", qftls.RoleNode, valid, false, qftls.RoleOperator, "certificate is valid for node"},
		{"expired", qftls.RoleNode, -time.Minute, false, qftls.RoleNode, "expired"},
		{"issued by another authority", qftls.RoleNode, valid, true, qftls.RoleNode, "unknown authority"},
		{"no TLS", "", 0, false, qftls.RoleNode, "first record does not look like a TLS handshake"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			authority := must[*standca.Authority](t)(standca.New(clock.Now()))
			issuer := authority
			if test.otherAuthority {
				issuer = must[*standca.Authority](t)(standca.New(clock.Now()))
			}
			server := must[qftls.Files](t)(authority.IssueFiles(t.TempDir(), "server", qftls.RoleNode, clock.Now().Add(valid)))
			p := openPort(t, qf.TCP(), server, test.admitted)
			dial := qf.TCP().Dial
			if test.role != "" {
				files := must[qftls.Files](t)(issuer.IssueFiles(t.TempDir(), "client", test.role, clock.Now().Add(test.validFor)))
				files.Authority = server.Authority
				dial = load(t, files).Dial(dial)
			}
			err := p.echo(dial)
			if (err != nil) != (test.refusal != "") {
				t.Errorf("served: %v, want refusal %q", err, test.refusal)
			}
			if test.refusal != "" {
				if err := <-p.refusals; !strings.Contains(err.Error(), test.refusal) {
					t.Errorf("refused for %v, want %q", err, test.refusal)
				}
			}
		})
	}
}

// TestClientAcceptsNodesOnly fails if a client accepts a server with another role, or doesn't
// report it as a failed dial, which makes the call count as not sent.
func TestClientAcceptsNodesOnly(t *testing.T) {
	authority := must[*standca.Authority](t)(standca.New(clock.Now()))
	files := must[qftls.Files](t)(authority.IssueFiles(t.TempDir(), "server", qftls.RoleOperator, clock.Now().Add(time.Hour)))
	p := openPort(t, qf.TCP(), files, qftls.RoleOperator)
	err := p.echo(load(t, files).Dial(qf.TCP().Dial))
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		t.Errorf("error %v, want a failed dial: nothing was sent", err)
	}
}

// TestSilentConnectionDoesNotBlockOthers fails if a connection that never starts its handshake
// blocks others or isn't refused after the timeout.
func TestSilentConnectionDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		authority := must[*standca.Authority](t)(standca.New(clock.Now()))
		files := must[qftls.Files](t)(authority.IssueFiles(t.TempDir(), "server", qftls.RoleNode, clock.Now().Add(time.Hour)))
		network := standnet.New()
		t.Cleanup(network.Close)
		p := openPort(t, network.From(anyPort.Addr()), files, qftls.RoleNode)
		dial := network.From(anyPort.Addr()).Dial
		silent := must[net.Conn](t)(dial(t.Context(), "tcp", p.address))
		if err := p.echo(load(t, files).Dial(dial)); err != nil {
			t.Error(err)
		}
		if err := <-p.refusals; !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("the silent connection was refused for %v", err)
		}
		_ = silent.Close()
	})
}

// TestHandshakeInProgressIsReported fails if a listener reports that nothing comes while a client may have sent its request behind the handshake.
func TestHandshakeInProgressIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		authority := must[*standca.Authority](t)(standca.New(clock.Now()))
		files := must[qftls.Files](t)(authority.IssueFiles(t.TempDir(), "server", qftls.RoleNode, clock.Now().Add(time.Hour)))
		network := standnet.New()
		t.Cleanup(network.Close)
		inner := must[net.Listener](t)(network.From(anyPort.Addr()).Listen(t.Context(), anyPort))
		refused := make(chan struct{})
		listener := load(t, files).Listen(inner, qftls.RoleNode, func(net.Addr, error) { close(refused) })
		defer func() { _ = listener.Close() }()
		reports := func(want bool) {
			t.Helper()
			synctest.Wait()
			if r, ok := listener.(interface{ IsReadable() bool }); !ok || r.IsReadable() != want {
				t.Errorf("the listener doesn't report %t", want)
			}
		}
		silent := must[net.Conn](t)(network.From(anyPort.Addr()).Dial(t.Context(), "tcp", inner.Addr().String()))
		defer func() { _ = silent.Close() }()
		reports(true)
		<-refused
		reports(false)
	})
}

// TestIdentityReloadsItsFiles fails if an invalid file changes the identity, or if a new
// authority doesn't replace the former one.
func TestIdentityReloadsItsFiles(t *testing.T) {
	oldDir, dir := t.TempDir(), t.TempDir()
	authority := must[*standca.Authority](t)(standca.New(clock.Now()))
	files := must[qftls.Files](t)(authority.IssueFiles(dir, "node", qftls.RoleNode, clock.Now().Add(time.Hour)))
	before := load(t, must[qftls.Files](t)(authority.IssueFiles(oldDir, "node", qftls.RoleNode, clock.Now().Add(time.Hour))))
	p := openPort(t, qf.TCP(), files, qftls.RoleNode)
	dial := qf.TCP().Dial
	if changed, err := p.identity.Load(); changed || err != nil {
		t.Errorf("unchanged files: %t, %v", changed, err)
	}
	if err := os.WriteFile(files.Certificate, []byte("not PEM"), 0o600); err != nil {
		t.Fatal(err)
	}
	if changed, err := p.identity.Load(); changed || qf.CodeOf(err) != qf.CodeInvalid {
		t.Errorf("an invalid file: %t, %v", changed, err)
	}
	if err := p.echo(before.Dial(dial)); err != nil {
		t.Errorf("after an invalid file: %v", err)
	}
	other := must[*standca.Authority](t)(standca.New(clock.Now()))
	must[qftls.Files](t)(other.IssueFiles(dir, "node", qftls.RoleNode, clock.Now().Add(time.Hour)))
	if changed, err := p.identity.Load(); !changed || err != nil {
		t.Errorf("changed files: %t, %v", changed, err)
	}
	if err := p.echo(before.Dial(dial)); err == nil {
		t.Error("a certificate of the former authority is still admitted")
	}
	if err := p.echo(p.identity.Dial(dial)); err != nil {
		t.Errorf("a certificate of the new authority: %v", err)
	}
}
