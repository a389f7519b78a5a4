package standcloud

import (
	"net/http"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfcloud"
	"quetzalfront/internal/standin/standfault"
)

// ReclaimRequest is the body of POST /reclaim. It names a zone or single VMs.
type ReclaimRequest struct {
	AvailabilityZone qf.AvailabilityZone
	VMs              []qf.VMID
	Delay            time.Duration
}

// Handler serves the cloud API and the VM list over HTTP, as the adapter in qfcloud
// expects them. POST /reclaim, POST /register and PUT /faults control the stand-in.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+qfcloud.PathPrices, func(w http.ResponseWriter, r *http.Request) {
		prices, err := c.ListPrices(r.Context())
		standfault.Respond(w, prices, err)
	})
	mux.HandleFunc("GET "+qfcloud.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, err := c.ListVMs(r.Context())
		standfault.Respond(w, vms, err)
	})
	mux.HandleFunc("GET "+qfcloud.PathNotices, func(w http.ResponseWriter, r *http.Request) {
		notices, err := c.ListNotices(r.Context())
		standfault.Respond(w, notices, err)
	})
	mux.HandleFunc("GET "+qfcloud.PathList, func(w http.ResponseWriter, r *http.Request) {
		vms, asOf, err := c.ListActiveVMs(r.Context())
		standfault.Respond(w, qfcloud.Listing{VMs: vms, AsOf: asOf}, err)
	})
	mux.HandleFunc("POST "+qfcloud.PathVMs, c.serveStart)
	mux.HandleFunc("DELETE "+qfcloud.PathVMs+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		standfault.RespondToWrite(w, c.StopVM(r.Context(), qf.VMID(r.PathValue("id"))))
	})
	mux.HandleFunc("POST /reclaim", c.serveReclaim)
	mux.HandleFunc("POST /register", c.serveRegister)
	mux.HandleFunc("PUT "+standfault.PathFaults, standfault.ServeFaults(c.SetFaults))
	return mux
}

func (c *Cloud) serveStart(w http.ResponseWriter, r *http.Request) {
	var start qf.StartVMRequest
	if standfault.ReadJSON(w, r, &start) {
		standfault.RespondToWrite(w, c.StartVM(r.Context(), start))
	}
}

func (c *Cloud) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var reclaim ReclaimRequest
	if !standfault.ReadJSON(w, r, &reclaim) {
		return
	}
	if reclaim.AvailabilityZone != "" {
		standfault.Respond(w, c.ReclaimZone(reclaim.AvailabilityZone, reclaim.Delay), nil)
		return
	}
	c.Reclaim(reclaim.VMs, reclaim.Delay)
	standfault.Respond(w, reclaim.VMs, nil)
}

func (c *Cloud) serveRegister(w http.ResponseWriter, r *http.Request) {
	var vm qf.VM
	if standfault.ReadJSON(w, r, &vm) {
		standfault.Respond(w, c.Register(vm, nil), nil)
	}
}
