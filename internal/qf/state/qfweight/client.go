// Package qfweight is the HTTP client of the platform's rate-limited weight store.
package qfweight

import (
	"context"
	"net/netip"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfplatform"
)

// The paths of the service.
const (
	PathSize         = "/size"
	PathReservations = "/reservations"
)

// Weights identifies the weights of a version. It is the query of a size request and
// the body of a reservation.
type Weights struct {
	Entry   qf.EntryName `url:"entry"`
	Version qf.Version   `url:"version"`
}

// Size is the response to a size request.
type Size struct{ Bytes uint64 }

// Reservation is the response to a reservation.
type Reservation struct {
	// CompleteIn is the time until the weights would be loaded.
	CompleteIn time.Duration
}

// Client is a qf.WeightStore that calls the service over HTTP.
type Client struct {
	service *qfplatform.Client
}

// NewClient returns a client of the service at the address. The timeout applies to
// each call.
func NewClient(address netip.AddrPort, timeout time.Duration, dial qf.Dial) *Client {
	return &Client{service: qfplatform.NewClient(address, timeout, dial)}
}

// Size implements qf.WeightStore.
func (c *Client) Size(ctx context.Context, entry qf.EntryName, version qf.Version) (uint64, error) {
	var size Size
	s := c.service.NewRequest().Get(PathSize).QueryStruct(&Weights{Entry: entry, Version: version})
	err := c.service.Read(ctx, qf.StepWeights, s, &size)
	return size.Bytes, err
}

// Reserve implements qf.WeightStore.
func (c *Client) Reserve(ctx context.Context, entry qf.EntryName, version qf.Version) (time.Duration, error) {
	var reservation Reservation
	s := c.service.NewRequest().Post(PathReservations).BodyJSON(Weights{Entry: entry, Version: version})
	err := c.service.Read(ctx, qf.StepWeights, s, &reservation)
	return reservation.CompleteIn, err
}
