// Package qfhttp is the HTTP server for callers and operators.
package qfhttp

import (
	"context"
	"net/http"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/pkg/qfapi"
)

// CallerService implements the operations that a node offers to callers.
type CallerService interface {
	// Entry returns the catalogue's entry of that name, or nil.
	Entry(name qf.EntryName) *qfcatalogue.Entry
	// Accept accepts a request or refuses it with an *qf.Error.
	Accept(ctx context.Context, request *qf.Request) (*qfrequest.Record, error)
	// Find returns a request that was accepted before.
	Find(ctx context.Context, id qf.RequestID) (*qfrequest.Record, error)
	// Addresses returns the nodes to which callers may connect, best first.
	Addresses(from qf.Region) []qf.Node
	Now() time.Time
}

// Bounds are the limits on callers' requests.
type Bounds struct {
	MaxBodyBytes int64
	MaxTokens    int
	// MaxReaders bounds the connections that read the answer of one request.
	MaxReaders     int
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	// KeepAddressesFor is how long callers may cache the addresses of nodes.
	KeepAddressesFor time.Duration
}

// CallerHandler serves the HTTP requests of the callers' port.
type CallerHandler struct {
	service CallerService
	bounds  Bounds
	readers readerCounts
}

// NewCallerHandler returns the handler of the callers' port.
func NewCallerHandler(service CallerService, bounds Bounds) http.Handler {
	c := &CallerHandler{service: service, bounds: bounds}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+qfapi.PathNodes, c.serveNodes)
	mux.HandleFunc("POST "+qfapi.PathChatCompletions, c.serveChat)
	mux.HandleFunc(qfapi.PathServices+"{entry}/{path...}", c.serveService)
	mux.HandleFunc("GET "+qfapi.PathRequests+"{id}", c.serveRequest)
	mux.HandleFunc("/", serveNotFound)
	return mux
}

func serveNotFound(w http.ResponseWriter, r *http.Request) {
	err := qf.NewError(qf.CodeNotFound, qf.StepAccept, "", "no such path: "+r.URL.Path)
	err.Ran = qf.RanNo
	writeError(w, err, "")
}

// serveNodes returns the addresses that a caller may use and how long it may cache them.
func (c *CallerHandler) serveNodes(w http.ResponseWriter, r *http.Request) {
	answer := qfapi.NodesAnswer{KeepFor: c.bounds.KeepAddressesFor.String()}
	for _, node := range c.service.Addresses(qf.Region(r.URL.Query().Get("region"))) {
		answer.Nodes = append(answer.Nodes, qfapi.NodeAddress{
			Address: node.CallerAddress, AvailabilityZone: string(node.AvailabilityZone), Region: string(node.Region),
		})
	}
	writeJSON(w, http.StatusOK, answer)
}

// serveRequest resumes the answer of a request that was accepted before.
func (c *CallerHandler) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := qf.RequestID(r.PathValue("id"))
	from, err := parseResumePoint(r, nil)
	if err != nil {
		writeError(w, err, id)
		return
	}
	record, err := c.service.Find(r.Context(), id)
	if err != nil {
		writeError(w, err, id)
		return
	}
	if organisation := r.Header.Get(qfapi.HeaderOrganisation); organisation != string(record.Request.Organisation) {
		writeError(w, requestNotFound(id), id) // Another organisation's request must not be revealed.
		return
	}
	c.sendAnswer(w, r, record, from)
}

func requestNotFound(id qf.RequestID) error {
	return qf.NewError(qf.CodeNotFound, qf.StepResume, "", "the request isn't known here: "+string(id))
}

// sendAnswer sends a request's answer in the form that the request specifies.
func (c *CallerHandler) sendAnswer(w http.ResponseWriter, r *http.Request, record *qfrequest.Record, from qfapi.EventID) {
	id := record.Request.ID
	if !c.readers.add(id, c.bounds.MaxReaders) {
		writeError(w, tooManyReaders(c.bounds.MaxReaders), id)
		return
	}
	defer c.readers.remove(id)
	reader := record.Attach()
	defer reader.Detach()
	w.Header().Set(qfapi.HeaderRequestID, string(record.Request.ID))
	switch {
	case record.Request.Kind == qf.KindPlainService:
		sendServiceAnswer(w, r, record, reader)
	case record.Request.Stream:
		streamAnswer(w, r, record, reader, from)
	default:
		sendChatAnswer(w, r, record, reader)
	}
}
