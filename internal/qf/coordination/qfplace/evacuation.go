package qfplace

import (
	"cmp"
	"maps"
	"slices"

	"quetzalfront/internal/qf"
)

// Evacuations holds the availability zones to whose endpoints nothing more may be sent. It isn't safe for concurrent use.
type Evacuations struct {
	// newest holds the newest order of each zone, ends included, so that an older row changes nothing.
	newest map[qf.AvailabilityZone]qf.EvacuationOrder
	// count is the number of zones that are evacuated.
	count int
}

// NewEvacuations returns a table without evacuated zones.
func NewEvacuations() *Evacuations {
	return &Evacuations{newest: map[qf.AvailabilityZone]qf.EvacuationOrder{}}
}

// Apply records an order, and reports whether a zone became evacuated or was given back by it.
func (e *Evacuations) Apply(order qf.EvacuationOrder) bool {
	known, isKnown := e.newest[order.Zone]
	if isKnown && order.Stamp <= known.Stamp {
		return false
	}
	e.newest[order.Zone] = order
	isChanged := order.IsEnded != (!isKnown || known.IsEnded)
	if !isChanged {
		return false
	}
	if order.IsEnded {
		e.count--
	} else {
		e.count++
	}
	return true
}

// EndMissing ends the evacuations whose rows a snapshot no longer has, and returns their zones. An order that is newer than
// the snapshot stays. After the store came back from an older copy the caller passes the stamp at which that era began, so
// that orders of earlier eras, which the store may have lost, stay until the operator writes them again or ends them.
func (e *Evacuations) EndMissing(listed map[qf.AvailabilityZone]bool, from, upTo uint64) []qf.AvailabilityZone {
	var ended []qf.AvailabilityZone
	for zone, order := range e.newest {
		if order.IsEnded || listed[zone] || order.Stamp < from || order.Stamp > upTo {
			continue
		}
		e.Apply(qf.EvacuationOrder{Zone: zone, Stamp: max(order.Stamp+1, upTo), IsEnded: true})
		ended = append(ended, zone)
	}
	return ended
}

// List returns the newest order of each zone, ends included, in the order of the zones' names.
func (e *Evacuations) List() []qf.EvacuationOrder {
	if len(e.newest) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Values(e.newest), func(a, b qf.EvacuationOrder) int { return cmp.Compare(a.Zone, b.Zone) })
}

// Any reports whether any zone is evacuated.
func (e *Evacuations) Any() bool { return e.count > 0 }

// IsEvacuated reports whether nothing may be sent to the endpoints of a zone.
func (e *Evacuations) IsEvacuated(zone qf.AvailabilityZone) bool {
	order, isKnown := e.newest[zone]
	return isKnown && !order.IsEnded
}
