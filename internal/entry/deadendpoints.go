package entry

import (
	"time"

	"quetzalfront/internal/qf"
)

// deadDuration is how long an endpoint that refused a connection gets no requests. By then its
// row is gone, it listens again, or one more request finds out.
const deadDuration = time.Second

// deadEndpoints holds the endpoints that refused a connection a short time ago. Their rows last
// for seconds longer. The endpointPicker's lock guards it.
type deadEndpoints map[qf.EndpointID]deadEndpoint

type deadEndpoint struct {
	incarnation qf.Incarnation
	until       time.Time
}

// record records that an endpoint refused a connection.
func (d deadEndpoints) record(now time.Time, endpoint *qf.Endpoint) {
	d[endpoint.ID] = deadEndpoint{incarnation: endpoint.Incarnation, until: now.Add(deadDuration)}
}

// keepListed forgets the endpoints that aren't listed any more, or have started again.
func (d deadEndpoints) keepListed(endpoints []qf.Endpoint) {
	if len(d) == 0 {
		return
	}
	listed := make(map[qf.EndpointID]qf.Incarnation, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].ID] = endpoints[i].Incarnation
	}
	for id, dead := range d {
		if incarnation, isListed := listed[id]; !isListed || incarnation != dead.incarnation {
			delete(d, id)
		}
	}
}

// with returns a list of endpoints with the dead ones added.
func (d deadEndpoints) with(now time.Time, excluded []qf.EndpointID) []qf.EndpointID {
	if len(d) == 0 {
		return excluded
	}
	all := append(make([]qf.EndpointID, 0, len(excluded)+len(d)), excluded...)
	for id, dead := range d {
		if now.Before(dead.until) {
			all = append(all, id)
		}
	}
	return all
}
