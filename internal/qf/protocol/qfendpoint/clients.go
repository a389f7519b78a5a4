package qfendpoint

import (
	"errors"
	"net/http"
	"syscall"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfresponse"
)

// clients holds the two HTTP clients for an endpoint.
type clients struct {
	// pooled reuses open connections; fresh never does, because an open connection may
	// have stopped responding.
	pooled, fresh *http.Client
}

// unpooler is a transport that can return a variant of itself without a connection pool.
type unpooler interface{ Unpooled() http.RoundTripper }

// maxBodyBytes bounds the body of any answer of an endpoint. Those of streams and of plain
// services have closer bounds.
const maxBodyBytes = 64 << 20

func newClients(client *http.Client) clients {
	pooled, fresh := *client, *client
	switch transport := client.Transport.(type) {
	case *http.Transport:
		unpooled := transport.Clone()
		unpooled.DisableKeepAlives = true
		fresh.Transport = unpooled
	case unpooler:
		fresh.Transport = transport.Unpooled()
	}
	pooled.Transport = qfresponse.LimitBodies(pooled.Transport, maxBodyBytes)
	fresh.Transport = qfresponse.LimitBodies(fresh.Transport, maxBodyBytes)
	return clients{pooled: &pooled, fresh: &fresh}
}

// choose returns the client for an attempt.
func (c *clients) choose(options qf.AttemptOptions) *http.Client {
	if options.FreshConnection {
		return c.fresh
	}
	return c.pooled
}

// timeoutOf returns the time left for an attempt as a Go duration, or "" if no time is set.
func timeoutOf(options qf.AttemptOptions) string {
	if options.TimeLeft <= 0 {
		return ""
	}
	return options.TimeLeft.String()
}

// IsRefused reports whether the connection was refused: the machine is up, but no process
// listens on the port.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
