package entry

import (
	"time"

	"quetzalfront/internal/qf"
)

const (
	// deadDuration is how long an endpoint that refused a connection gets no requests. By then its
	// row is gone, it listens again, or one more request finds out.
	deadDuration = time.Second
	// maxMisdirectedDuration bounds the time without requests of an endpoint at whose address another
	// one answers. It doubles with each such answer, because the row may stay as it is.
	maxMisdirectedDuration = 8 * time.Second
)

// deadEndpoints holds the endpoints that weren't found at their addresses a short time ago: they
// refused a connection, or another endpoint answered. Their rows last for seconds longer. The
// endpointPicker's lock guards it.
type deadEndpoints map[qf.EndpointID]deadEndpoint

type deadEndpoint struct {
	incarnation qf.Incarnation
	until       time.Time
	// misdirectedFor is the time without requests after the last answer of another endpoint; it is 0 if
	// there was none.
	misdirectedFor time.Duration
}

// record records that an endpoint refused a connection.
func (d deadEndpoints) record(now time.Time, endpoint *qf.Endpoint) {
	known := d[endpoint.ID]
	known.incarnation, known.until = endpoint.Incarnation, now.Add(deadDuration)
	d[endpoint.ID] = known
}

// recordMisdirected records that another endpoint answered at an endpoint's address.
func (d deadEndpoints) recordMisdirected(now time.Time, endpoint *qf.Endpoint) {
	known := d[endpoint.ID]
	if now.Before(known.until) && known.misdirectedFor > 0 {
		return // The request was sent before the last such answer arrived.
	}
	length := min(max(2*known.misdirectedFor, deadDuration), maxMisdirectedDuration)
	d[endpoint.ID] = deadEndpoint{incarnation: endpoint.Incarnation, until: now.Add(length), misdirectedFor: length}
}

// recordFound records that an endpoint answered at its address.
func (d deadEndpoints) recordFound(endpoint qf.EndpointID) {
	if known, isDead := d[endpoint]; isDead && known.misdirectedFor > 0 {
		delete(d, endpoint)
	}
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
