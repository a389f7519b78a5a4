package standcloud

import (
	"encoding/json"
	"net/http"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfcloud"
	"quetzalfront/internal/qf/state/qftable"
)

// ReclaimRequest asks for a reclaim of a zone or of single VMs at POST /reclaim.
type ReclaimRequest struct {
	AvailabilityZone qf.AvailabilityZone
	VMs              []qf.VMID
	Delay            time.Duration
}

// Handler serves the cloud API and the VM list over HTTP.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+qfcloud.PathPrices, func(w http.ResponseWriter, r *http.Request) {
		prices, err := c.Prices(r.Context())
		respond(w, prices, err)
	})
	mux.HandleFunc("GET "+qfcloud.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, err := c.VMs(r.Context())
		respond(w, vms, err)
	})
	mux.HandleFunc("GET "+qfcloud.PathNotices, func(w http.ResponseWriter, r *http.Request) {
		notices, err := c.Notices(r.Context())
		respond(w, notices, err)
	})
	mux.HandleFunc("GET "+qfcloud.PathList, func(w http.ResponseWriter, r *http.Request) {
		vms, asOf, err := c.List(r.Context())
		respond(w, qfcloud.Listing{VMs: vms, AsOf: asOf}, err)
	})
	mux.HandleFunc("POST "+qfcloud.PathVMs, c.serveStart)
	mux.HandleFunc("DELETE "+qfcloud.PathVMs+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		answer(w, c.Stop(r.Context(), qf.VMID(r.PathValue("id"))))
	})
	mux.HandleFunc("POST /reclaim", c.serveReclaim)
	mux.HandleFunc("POST /register", c.serveRegister)
	mux.HandleFunc("PUT /faults", c.serveFaults)
	return mux
}

func (c *Cloud) serveStart(w http.ResponseWriter, r *http.Request) {
	var start qf.StartVM
	if readJSON(w, r, &start) {
		answer(w, c.Start(r.Context(), start))
	}
}

func (c *Cloud) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var reclaim ReclaimRequest
	if !readJSON(w, r, &reclaim) {
		return
	}
	if reclaim.AvailabilityZone != "" {
		respond(w, c.ReclaimZone(reclaim.AvailabilityZone, reclaim.Delay), nil)
		return
	}
	c.Reclaim(reclaim.VMs, reclaim.Delay)
	respond(w, reclaim.VMs, nil)
}

func (c *Cloud) serveRegister(w http.ResponseWriter, r *http.Request) {
	var vm qf.VM
	if readJSON(w, r, &vm) {
		respond(w, c.Register(vm, nil), nil)
	}
}

func (c *Cloud) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if readJSON(w, r, &faults) {
		c.SetFaults(faults)
		w.WriteHeader(http.StatusNoContent)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, result qf.Result[qf.VM]) {
	if result.Certainty == qf.Unknown {
		panic(http.ErrAbortHandler) // Cuts the connection: the answer is lost.
	}
	respond(w, result.Value, result.Err)
}

func respond(w http.ResponseWriter, body any, err error) {
	if err != nil {
		http.Error(w, err.Error(), qftable.StatusOf(qf.CodeOf(err)))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // The reader sees a cut body.
}
