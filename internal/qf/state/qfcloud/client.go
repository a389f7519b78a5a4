// Package qfcloud reaches the platform's cloud API and VM list over HTTP.
package qfcloud

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/dghubble/sling"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftable"
)

// The paths of the services.
const (
	PathPrices  = "/prices"
	PathVMs     = "/vms"
	PathNotices = "/notices"
	PathList    = "/list"
)

// Listing is the body of the VM list's answer.
type Listing struct {
	VMs  []qf.VM
	AsOf time.Time
}

// Client is a qf.Cloud and a qf.VMList that calls the services.
type Client struct {
	cloud, list netip.AddrPort
	client      *http.Client
}

// NewClient returns a client. The timeout bounds one call.
func NewClient(cloud, list netip.AddrPort, timeout time.Duration, dial qf.Dial) *Client {
	transport := &http.Transport{DialContext: dial}
	return &Client{cloud: cloud, list: list, client: &http.Client{Timeout: timeout, Transport: transport}}
}

// Prices implements qf.Cloud.
func (c *Client) Prices(ctx context.Context) ([]qf.Price, error) {
	var prices []qf.Price
	err := c.get(ctx, c.cloud, PathPrices, qf.StepCloud, &prices)
	return prices, err
}

// VMs implements qf.Cloud.
func (c *Client) VMs(ctx context.Context) ([]qf.VM, error) {
	var vms []qf.VM
	err := c.get(ctx, c.cloud, PathVMs, qf.StepCloud, &vms)
	return vms, err
}

// Notices implements qf.Cloud.
func (c *Client) Notices(ctx context.Context) ([]qf.Notice, error) {
	var notices []qf.Notice
	err := c.get(ctx, c.cloud, PathNotices, qf.StepCloud, &notices)
	return notices, err
}

// List implements qf.VMList.
func (c *Client) List(ctx context.Context) ([]qf.VM, time.Time, error) {
	var listing Listing
	err := c.get(ctx, c.list, PathList, qf.StepVMList, &listing)
	return listing.VMs, listing.AsOf, err
}

// Start implements qf.Cloud.
func (c *Client) Start(ctx context.Context, start qf.StartVM) qf.Result[qf.VM] {
	return c.change(ctx, c.base(c.cloud).Post(PathVMs).BodyJSON(start))
}

// Stop implements qf.Cloud.
func (c *Client) Stop(ctx context.Context, vm qf.VMID) qf.Result[qf.VM] {
	return c.change(ctx, c.base(c.cloud).Delete(PathVMs+"/"+string(vm)))
}

func (c *Client) base(address netip.AddrPort) *sling.Sling {
	return sling.New().Client(c.client).Base("http://" + address.String())
}

func (c *Client) get(ctx context.Context, address netip.AddrPort, path string, step qf.Step, into any) error {
	s := c.base(address).Get(path)
	request, err := s.Request()
	if err != nil {
		return failure(qf.CodeInternal, step, address, "could not form the request", err)
	}
	response, err := s.Do(request.WithContext(ctx), into, nil)
	if err != nil {
		return failure(qf.CodeUnavailable, step, address, "no answer", err)
	}
	if response.StatusCode != http.StatusOK {
		return failure(qftable.CodeOfStatus(response.StatusCode), step, address, response.Status, nil)
	}
	return nil
}

func (c *Client) change(ctx context.Context, s *sling.Sling) qf.Result[qf.VM] {
	request, err := s.Request()
	if err != nil {
		return qf.NotDoneFor[qf.VM](failure(qf.CodeInternal, qf.StepCloud, c.cloud, "could not form the request", err))
	}
	var vm qf.VM
	response, err := s.Do(request.WithContext(ctx), &vm, nil)
	if err != nil {
		broken := failure(qf.CodeUnavailable, qf.StepCloud, c.cloud, "no answer", err)
		if qftable.IsDialFailure(err) {
			return qf.NotDoneFor[qf.VM](broken)
		}
		return qf.UnknownFor[qf.VM](broken)
	}
	if response.StatusCode == http.StatusOK {
		return qf.DoneWith(vm)
	}
	code := qftable.CodeOfStatus(response.StatusCode)
	refused := failure(code, qf.StepCloud, c.cloud, response.Status, nil)
	if code == qf.CodeInternal {
		return qf.UnknownFor[qf.VM](refused)
	}
	return qf.NotDoneFor[qf.VM](refused)
}

func failure(code qf.Code, step qf.Step, address netip.AddrPort, reason string, cause error) *qf.Error {
	return &qf.Error{Code: code, Step: step, Peer: address.String(), Reason: reason, Cause: cause}
}
