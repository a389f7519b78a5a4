// Package qfcloud is the HTTP client of the platform's cloud API and VM list.
package qfcloud

import (
	"context"
	"net/netip"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfplatform"
)

// The paths of the services.
const (
	PathPrices  = "/prices"
	PathVMs     = "/vms"
	PathNotices = "/notices"
	PathList    = "/list"
)

// Listing is the response body of the VM list.
type Listing struct {
	VMs  []qf.VM
	AsOf time.Time
}

// Client is a qf.Cloud and a qf.VMLister that calls the services over HTTP.
type Client struct {
	cloud, list *qfplatform.Client
}

// NewClient returns a client of the services at the addresses. The timeout applies to
// each call.
func NewClient(cloud, list netip.AddrPort, timeout time.Duration, dial qf.Dial) *Client {
	return &Client{
		cloud: qfplatform.NewClient(cloud, timeout, dial),
		list:  qfplatform.NewClient(list, timeout, dial),
	}
}

// ListPrices implements qf.Cloud.
func (c *Client) ListPrices(ctx context.Context) ([]qf.Price, error) {
	var prices []qf.Price
	err := c.cloud.Read(ctx, qf.StepCloud, c.cloud.NewRequest().Get(PathPrices), &prices)
	return prices, err
}

// ListVMs implements qf.Cloud.
func (c *Client) ListVMs(ctx context.Context) ([]qf.VM, error) {
	var vms []qf.VM
	err := c.cloud.Read(ctx, qf.StepCloud, c.cloud.NewRequest().Get(PathVMs), &vms)
	return vms, err
}

// ListNotices implements qf.Cloud.
func (c *Client) ListNotices(ctx context.Context) ([]qf.Notice, error) {
	var notices []qf.Notice
	err := c.cloud.Read(ctx, qf.StepCloud, c.cloud.NewRequest().Get(PathNotices), &notices)
	return notices, err
}

// ListActiveVMs implements qf.VMLister.
func (c *Client) ListActiveVMs(ctx context.Context) ([]qf.VM, time.Time, error) {
	var listing Listing
	err := c.list.Read(ctx, qf.StepVMList, c.list.NewRequest().Get(PathList), &listing)
	return listing.VMs, listing.AsOf, err
}

// StartVM implements qf.Cloud.
func (c *Client) StartVM(ctx context.Context, start qf.StartVMRequest) qf.Result[qf.VM] {
	return qfplatform.Write[qf.VM](ctx, c.cloud, qf.StepCloud, c.cloud.NewRequest().Post(PathVMs).BodyJSON(start))
}

// StopVM implements qf.Cloud.
func (c *Client) StopVM(ctx context.Context, vm qf.VMID) qf.Result[qf.VM] {
	return qfplatform.Write[qf.VM](ctx, c.cloud, qf.StepCloud, c.cloud.NewRequest().Delete(PathVMs+"/"+string(vm)))
}
