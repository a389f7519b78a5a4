// Package qftable reaches the platform's table service over HTTP.
package qftable

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/dghubble/sling"

	"quetzalfront/internal/qf"
)

// The paths of the service.
const (
	PathRow          = "/row"
	PathRows         = "/rows"
	PathTransactions = "/transactions"
)

const maxIdleConnections = 32

var statusByCode = map[qf.Code]int{
	qf.CodeNotFound:    http.StatusNotFound,
	qf.CodeConflict:    http.StatusPreconditionFailed,
	qf.CodeLimited:     http.StatusTooManyRequests,
	qf.CodeUnavailable: http.StatusServiceUnavailable,
}

// StatusOf returns the HTTP status that stands for a code.
func StatusOf(code qf.Code) int {
	if status, ok := statusByCode[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// CodeOfStatus returns the code that a HTTP status stands for. Each status but
// those of CodeInternal proves that the call had no effect.
func CodeOfStatus(status int) qf.Code {
	for code, s := range statusByCode {
		if s == status {
			return code
		}
	}
	return qf.CodeInternal
}

// Client is a qf.Table that calls the service.
type Client struct {
	address netip.AddrPort
	base    *sling.Sling
	timeout time.Duration
}

// NewClient returns a client of the service at the address. The timeout bounds
// one call.
func NewClient(address netip.AddrPort, timeout time.Duration, dial qf.Dial) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DialContext: dial}
	client := &http.Client{Timeout: timeout, Transport: transport}
	return &Client{
		address: address,
		base:    sling.New().Client(client).Base("http://" + address.String()),
		timeout: timeout,
	}
}

// Read implements qf.Table.
func (c *Client) Read(ctx context.Context, key string) (qf.Row, error) {
	var row qf.Row
	err := c.get(ctx, c.base.New().Get(PathRow).QueryStruct(&rowQuery{Key: key}), &row)
	return row, err
}

// rowQuery carries the key in the query, because a path would be cleaned of
// empty and dotted segments.
type rowQuery struct {
	Key string `url:"key"`
}

type scanQuery struct {
	Prefix string `url:"prefix"`
	After  string `url:"after"`
	Limit  int    `url:"limit"`
}

// Scan implements qf.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]qf.Row, error) {
	var rows []qf.Row
	query := &scanQuery{Prefix: prefix, After: after, Limit: limit}
	err := c.get(ctx, c.base.New().Get(PathRows).QueryStruct(query), &rows)
	return rows, err
}

func (c *Client) get(ctx context.Context, s *sling.Sling, into any) error {
	request, err := s.Request()
	if err != nil {
		return c.failure(qf.CodeInternal, qf.StepTableRead, "could not form the request", err)
	}
	response, err := s.Do(request.WithContext(ctx), into, nil)
	if err != nil {
		return c.failure(qf.CodeUnavailable, qf.StepTableRead, "no answer", err)
	}
	if response.StatusCode != http.StatusOK {
		return c.failure(CodeOfStatus(response.StatusCode), qf.StepTableRead, response.Status, nil)
	}
	return nil
}

// Commit implements qf.Table.
func (c *Client) Commit(ctx context.Context, transaction qf.Transaction) qf.Result[qf.Committed] {
	s := c.base.New().Post(PathTransactions).BodyJSON(transaction)
	request, err := s.Request()
	if err != nil {
		return qf.NotDoneFor[qf.Committed](c.failure(qf.CodeInternal, qf.StepTableCommit, "could not form the request", err))
	}
	var committed qf.Committed
	response, err := s.Do(request.WithContext(ctx), &committed, nil)
	if err != nil {
		failure := c.failure(qf.CodeUnavailable, qf.StepTableCommit, "no answer", err)
		if IsDialFailure(err) {
			return qf.NotDoneFor[qf.Committed](failure)
		}
		return qf.UnknownFor[qf.Committed](failure)
	}
	if response.StatusCode == http.StatusOK {
		return qf.DoneWith(committed)
	}
	code := CodeOfStatus(response.StatusCode)
	failure := c.failure(code, qf.StepTableCommit, response.Status, nil)
	if code == qf.CodeInternal {
		return qf.UnknownFor[qf.Committed](failure)
	}
	return qf.NotDoneFor[qf.Committed](failure)
}

func (c *Client) failure(code qf.Code, step qf.Step, reason string, cause error) *qf.Error {
	return &qf.Error{Code: code, Step: step, Peer: c.address.String(), Reason: reason, Cause: cause}
}

// IsDialFailure reports whether a call failed before a connection stood, so
// that no byte of it can have reached the other end.
func IsDialFailure(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// String names the client for logs.
func (c *Client) String() string { return fmt.Sprintf("table at %s", c.address) }
