package qfregistry

import (
	"time"

	"quetzalfront/internal/qf"
)

// Row is a decoded row of the store.
type Row struct {
	ID qf.EndpointID
	// Endpoint is nil if the row was removed, or names no endpoint.
	Endpoint *qf.RegisteredEndpoint
	// Version is the row's version in the store's history.
	Version uint64
}

// Change is what a row has changed in the registry.
type Change struct {
	// Row is the row, which is part of those that were applied.
	Row *Row
	// IsNew is set if the row names an endpoint, or an incarnation of one, that wasn't listed before.
	IsNew bool
	// IsLeaving is set if the row is the first one that states that the endpoint leaves.
	IsLeaving bool
	// Dead is the incarnation that ended without notice, or nil.
	Dead *qf.Endpoint
}

// Apply applies the rows of one page of an era, with at most one row for each endpoint, and returns what they have
// changed. Rows that are missing or unreadable have lapsed only, and their endpoints stay for lapseGrace, if the store
// was failing or most rows of an entry disappear together.
func (r *Registry) Apply(now time.Time, rows []Row, era qf.StoreEra) []Change {
	var changes []Change
	var gone []*Row
	var goneIDs []qf.EndpointID
	for i := range rows {
		row := &rows[i]
		change := r.applyRow(now, row, era)
		if row.Endpoint == nil {
			gone, goneIDs = append(gone, row), append(goneIDs, row.ID)
		}
		if change.IsNew || change.IsLeaving || change.Dead != nil {
			changes = append(changes, change)
		}
	}
	mayHaveLapsed := r.isStoreFailing || r.isMass(goneIDs)
	for _, row := range gone {
		r.removeRow(now, row.ID, qf.StorePosition{Era: era, Version: row.Version}, mayHaveLapsed)
	}
	return changes
}

// applyRow lists the endpoint of a row, if it names one.
func (r *Registry) applyRow(now time.Time, row *Row, era qf.StoreEra) Change {
	change := Change{Row: row}
	known := r.endpoints[row.ID]
	if row.Endpoint != nil {
		change.IsNew = r.Set(now, row.Endpoint, qf.StorePosition{Era: era, Version: row.Version})
		listed := r.endpoints[row.ID]
		change.IsLeaving = listed != nil && listed.IsRowLeaving && (known == nil || !known.IsRowLeaving)
	}
	if known != nil && !known.Leaving && (row.Endpoint == nil || r.endpoints[row.ID].Incarnation != known.Incarnation) {
		dead := known.Endpoint
		change.Dead = &dead
	}
	return change
}

// ListMissed returns the endpoints whose rows in a snapshot show that a change up to a position was missed, although all
// changes up to there were read.
func (r *Registry) ListMissed(rows []Row, snapshot, readUpTo qf.StorePosition) []qf.EndpointID {
	if snapshot.Era != readUpTo.Era {
		return nil
	}
	var missed []qf.EndpointID
	present := make(map[qf.EndpointID]bool, len(rows))
	for i := range rows {
		present[rows[i].ID] = true
		at := qf.StorePosition{Era: snapshot.Era, Version: rows[i].Version}
		known := r.endpoints[rows[i].ID]
		if rows[i].Endpoint != nil && at.Compare(readUpTo) <= 0 && (known == nil || known.Position.Compare(at) < 0) {
			missed = append(missed, rows[i].ID)
		}
	}
	if snapshot != readUpTo {
		return missed // What isn't in it may have been removed since.
	}
	for id, known := range r.endpoints {
		if !present[id] && known.lapsedAt.IsZero() {
			missed = append(missed, id)
		}
	}
	return missed
}
