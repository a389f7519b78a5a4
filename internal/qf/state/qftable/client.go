// Package qftable is the HTTP client of the platform's table service.
package qftable

import (
	"context"
	"net/netip"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfplatform"
)

// The paths of the service.
const (
	PathRow          = "/row"
	PathRows         = "/rows"
	PathTransactions = "/transactions"
)

// Client is a qf.Table that calls the service over HTTP.
type Client struct {
	service *qfplatform.Client
}

// NewClient returns a client of the service at the address. The timeout applies to
// each call.
func NewClient(address netip.AddrPort, timeout time.Duration, dial qf.Dial) *Client {
	return &Client{service: qfplatform.NewClient(address, timeout, dial)}
}

// rowQuery carries the key. It isn't part of the path, because HTTP routers remove empty
// and dotted segments from a path.
type rowQuery struct {
	Key string `url:"key"`
}

type scanQuery struct {
	Prefix string `url:"prefix"`
	After  string `url:"after"`
	Limit  int    `url:"limit"`
}

// Read implements qf.Table.
func (c *Client) Read(ctx context.Context, key string) (qf.Row, error) {
	var row qf.Row
	s := c.service.NewRequest().Get(PathRow).QueryStruct(&rowQuery{Key: key})
	err := c.service.Read(ctx, qf.StepTableRead, s, &row)
	return row, err
}

// Scan implements qf.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]qf.Row, error) {
	var rows []qf.Row
	s := c.service.NewRequest().Get(PathRows).QueryStruct(&scanQuery{Prefix: prefix, After: after, Limit: limit})
	err := c.service.Read(ctx, qf.StepTableRead, s, &rows)
	return rows, err
}

// Commit implements qf.Table.
func (c *Client) Commit(ctx context.Context, transaction qf.Transaction) qf.Result[qf.Committed] {
	s := c.service.NewRequest().Post(PathTransactions).BodyJSON(transaction)
	return qfplatform.Write[qf.Committed](ctx, c.service, qf.StepTableCommit, s)
}
