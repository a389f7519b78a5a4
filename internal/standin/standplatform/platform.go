// Package standplatform is a small stand-in for the users' whole platform on loopback: the
// store with a configuration, two endpoints for each of two entries, an API that accepts
// every call, and callers.
package standplatform

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standreplica"
	"quetzalfront/internal/standin/standrows"
)

const (
	// host and key are the host name and the API key of the only organisation.
	host = "demo.example"
	key  = "key-1"
	// zone is the availability zone of all endpoints, and region is the region of zone.
	zone   = "north-a"
	region = "north"
	// readsPerSecond and writesPerSecond are the rate limits of the store.
	readsPerSecond, writesPerSecond = 2000, 400
	// eventInterval is the delay before each event of a stream.
	eventInterval = 40 * time.Millisecond
)

// configurationFormat is the configuration document, with placeholders for the revision, the
// host and the API key.
const configurationFormat = `{"version":%d,"routes":[
	{"name":"ask","host":%[2]q,"prefix":"/ask/","kind":"streaming","timeout-ms":4000,"slo-ms":1000,"service":"chat","attempts":2,"sticky":true,"resumable":true},
	{"name":"file","host":%[2]q,"prefix":"/file/","kind":"unsafe","timeout-ms":2000,"slo-ms":200,"service":"books","attempts":1},
	{"name":"read","host":%[2]q,"prefix":"/read%[1]d/","kind":"safe","timeout-ms":2000,"slo-ms":200,"service":"books","attempts":2}],
	"services":[{"name":"chat"},{"name":"books"}],"limits":{"max-body-bytes":100000},
	"tenants":[{"name":"north","api-keys":[%[3]q],"unit":"generation","plain-tokens":1,"rate-per-s":1000000,"burst":1000000}]}`

// Platform is a running platform.
type Platform struct {
	// Store and Cloud are the addresses of the store and of the API.
	Store, Cloud netip.AddrPort
	Endpoints    []*Endpoint

	store   *standrows.Store
	servers []*http.Server
}

// Endpoint is a replica and its address.
type Endpoint struct {
	*standreplica.Replica
	address netip.AddrPort
	entry   string
}

// Start starts a platform with two endpoints of each entry and configuration revision 1.
func Start(clock qf.Clock) (*Platform, error) {
	p := &Platform{store: standrows.New(clock, readsPerSecond, writesPerSecond)}
	if err := p.start(clock); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Platform) start(clock qf.Clock) (err error) {
	if p.Store, err = p.serve(p.store.Handler()); err != nil {
		return err
	}
	if p.Cloud, err = p.serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})); err != nil {
		return err
	}
	for i, entry := range []string{"chat", "chat", "books", "books"} {
		e := &Endpoint{Replica: standreplica.New(fmt.Sprintf("%s-%d", entry, i%2+1), clock), entry: entry}
		e.EventInterval = eventInterval
		if e.address, err = p.serve(e); err != nil {
			return err
		}
		p.Endpoints = append(p.Endpoints, e)
		p.writeEndpoint(e, "ready")
	}
	p.Configure(1)
	return nil
}

// Regions maps the platform's availability zone to its region.
func (p *Platform) Regions() map[qf.AvailabilityZone]qf.Region {
	return map[qf.AvailabilityZone]qf.Region{zone: region}
}

// Configure stores the configuration with a revision. The path of its safe route holds the
// revision.
func (p *Platform) Configure(revision int) {
	p.store.Put("op", "config", fmt.Appendf(nil, configurationFormat, revision, host, key))
}

// Drain marks an endpoint as draining in the store.
func (p *Platform) Drain(e *Endpoint) { p.writeEndpoint(e, "draining") }

// writeEndpoint stores an endpoint's row with its state.
func (p *Platform) writeEndpoint(e *Endpoint, state string) {
	p.store.Put("servers", e.ID, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":64,"state":%q,"cold-left-ms":0,"seq":1,"born":1}`, e.entry, e.address, zone, state))
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (p *Platform) serve(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	p.servers = append(p.servers, server)
	go func() { _ = server.Serve(listener) }() // It returns after Close.
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Close closes all servers of the platform and their connections.
func (p *Platform) Close() {
	for _, server := range p.servers {
		_ = server.Close() // No call in progress needs to complete.
	}
}
