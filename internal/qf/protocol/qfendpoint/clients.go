package qfendpoint

import (
	"errors"
	"net/http"
	"syscall"

	"quetzalfront/internal/qf"
)

// clients are the two ways to an endpoint.
type clients struct {
	// pooled uses open connections again; fresh never does, because one of them
	// may have gone silent.
	pooled, fresh *http.Client
}

// unpooler is a transport that has a twin without a pool of open connections.
type unpooler interface{ Unpooled() http.RoundTripper }

func newClients(pooled *http.Client) clients {
	fresh := *pooled
	switch transport := pooled.Transport.(type) {
	case *http.Transport:
		unpooled := transport.Clone()
		unpooled.DisableKeepAlives = true
		fresh.Transport = unpooled
	case unpooler:
		fresh.Transport = transport.Unpooled()
	}
	return clients{pooled: pooled, fresh: &fresh}
}

func (c *clients) of(hop qf.AttemptOptions) *http.Client {
	if hop.FreshConnection {
		return c.fresh
	}
	return c.pooled
}

// timeoutOf returns the time that an endpoint has, as a Go duration, or "".
func timeoutOf(hop qf.AttemptOptions) string {
	if hop.TimeLeft <= 0 {
		return ""
	}
	return hop.TimeLeft.String()
}

// IsRefused reports whether a machine that lives answered that no process listens
// there.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
