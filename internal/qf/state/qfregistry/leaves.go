package qfregistry

import (
	"slices"
	"strings"
	"time"

	"quetzalfront/internal/qf"
)

// leaveReportedFor is how long the leave of an endpoint that isn't listed is reported to peers: their
// copies of the list may be older.
const leaveReportedFor = 10 * time.Second

// MarkLeaving records that an endpoint has stated in an answer that it leaves. Its row can't take that back;
// only a later incarnation gets requests again. It reports whether that is news, and the endpoint if it is
// listed.
func (r *Registry) MarkLeaving(now time.Time, id qf.EndpointID, incarnation qf.Incarnation) (isNew bool, listed *EndpointRecord) {
	known := r.endpoints[id]
	if stated, ok := r.leaves[id]; ok && stated.incarnation >= incarnation || known != nil && known.Incarnation > incarnation {
		return false, nil
	}
	r.leaves[id] = statedLeave{incarnation: incarnation, at: now}
	if known == nil || known.Leaving {
		return known == nil, nil // What the row says reaches the peers with the row.
	}
	known.Leaving = true
	r.changed = true
	return true, known
}

// withStatedLeave returns a row that also says what the endpoint has stated in an answer.
func (r *Registry) withStatedLeave(row *qf.RegisteredEndpoint) *qf.RegisteredEndpoint {
	stated, ok := r.leaves[row.ID]
	if !ok || row.Incarnation > stated.incarnation {
		delete(r.leaves, row.ID)
		return row
	}
	leaving := *row
	leaving.Leaving = true
	return &leaving
}

// ListLeaves returns the endpoints that have stated that they leave, without those whose rows say so.
func (r *Registry) ListLeaves(now time.Time) []qf.LeavingEndpoint {
	var list []qf.LeavingEndpoint
	for id, stated := range r.leaves {
		known := r.endpoints[id]
		if known == nil && now.Sub(stated.at) < leaveReportedFor || known != nil && !known.IsRowLeaving {
			list = append(list, qf.LeavingEndpoint{Endpoint: id, Incarnation: stated.incarnation})
		}
	}
	slices.SortFunc(list, func(a, b qf.LeavingEndpoint) int { return strings.Compare(string(a.Endpoint), string(b.Endpoint)) })
	return list
}

// dropLeaves forgets the endpoints that have been gone for long.
func (r *Registry) dropLeaves(now time.Time) {
	for id, stated := range r.leaves {
		if r.endpoints[id] == nil && now.Sub(stated.at) >= goneFor {
			delete(r.leaves, id)
		}
	}
}
