package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qffleet"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// sizeKeyPrefix begins the rows that keep how many endpoints an entry needs.
	sizeKeyPrefix = "sizes/"
	// listSettled is how long the list of endpoints must stay as it is before its
	// length counts as what the operator began with.
	listSettled = 1500 * time.Millisecond
	// enoughShare is the part of an entry's endpoints with which it gets along unless
	// first tokens come late.
	enoughShare = 0.67
	// maxOrders bounds the orders of one step.
	maxOrders = 4
)

// mayOrder returns the holder to name in an order of endpoints.
func (d *duties) mayOrder() (qf.DutyHolder, bool) {
	holder, isHeld := d.mayAct()
	holder.Fencing = d.fencing
	return holder, isHeld || d.mayActOn()
}

// orderEndpoints gives the orders of endpoints that are due.
func (d *duties) orderEndpoints(ctx context.Context) {
	table := d.entry.configuration.Get()
	for i := range table.Configuration.Entries {
		traits := &table.Configuration.Entries[i]
		if traits.Scaling == nil || len(traits.Scaling.Prices) == 0 {
			continue
		}
		for range maxOrders {
			if !d.orderEntry(ctx, traits) {
				break
			}
		}
	}
}

func (d *duties) orderEntry(ctx context.Context, traits *qf.EntrySettings) bool {
	e := d.entry
	size, err := d.size(ctx, traits.Entry)
	if err != nil || size == 0 {
		return false
	}
	planner := d.planners[traits.Entry]
	if planner == nil {
		planner = qffleet.NewZonalPlanner(qffleet.DefaultZonalSettings())
		d.planners[traits.Entry] = planner
	}
	order, ok := planner.NextOrder(&qffleet.ZonalView{
		Now: e.now(), Scaling: traits.Scaling, Needed: size, Minimum: d.enough(size), Endpoints: e.endpointsOf(traits.Entry),
	})
	if !ok {
		return false
	}
	holder, ok := d.mayOrder()
	if !ok {
		return false
	}
	result := e.platform.Duties.OrderEndpoints(ctx, holder, qf.EndpointOrder{
		Entry: traits.Entry, Zone: order.Zone, Class: order.Class, Desired: order.Desired,
	})
	isRefused := errors.Is(result.Err, &qf.Error{Code: qf.CodeStaleFencing})
	planner.RecordOrderResult(e.now(), &order, result.Certainty, isRefused)
	if _, isHeld := d.mayAct(); isRefused && !isHeld {
		d.isRefused = true // Perhaps another node holds the lease by now.
	}
	qfevent.EndpointsOrdered.Log(&e.platform.Logger, traits.Entry, order.Zone, order.Class, order.Desired, order.Reason,
		d.fencing, result.Certainty, result.Err)
	return result.Certainty == qf.Done
}

// enough is the number of endpoints for which on-demand ones are paid: what the entry
// would have after the loss of a zone, or all while first tokens come late.
func (d *duties) enough(size int) int {
	if d.entry.placer.isPressed(d.entry.now()) {
		return size
	}
	return int(math.Ceil(float64(size) * enoughShare))
}

// endpointsOf returns the listed endpoints of an entry.
func (e *Entry) endpointsOf(entry qf.EntryName) []qf.RegisteredEndpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	var listed []qf.RegisteredEndpoint
	for _, known := range e.registry.All() {
		if known.Entry == entry {
			listed = append(listed, known.RegisteredEndpoint)
		}
	}
	return listed
}

// size returns how many endpoints an entry needs: as many as the operator began with.
// The first holder writes that down for its successors. It is 0 while it isn't known.
func (d *duties) size(ctx context.Context, entry qf.EntryName) (int, error) {
	if size := d.sizes[entry]; size > 0 {
		return size, nil
	}
	e := d.entry
	key := sizeKeyPrefix + string(entry)
	row, err := e.platform.Table.Read(ctx, key)
	if err == nil {
		var size int
		err = json.Unmarshal(row.Value, &size)
		d.sizes[entry] = size
		return size, err
	}
	if !errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
		return 0, err
	}
	size := e.settledCount(entry)
	if size == 0 {
		return 0, nil
	}
	value, err := json.Marshal(size)
	if err != nil {
		return 0, err
	}
	result := e.platform.Table.Commit(ctx, qf.Transaction{
		ID: qf.TransactionID(key), Conditions: []qf.Condition{{Key: key}}, Writes: []qf.Write{{Key: key, Value: value}},
	})
	if result.Certainty == qf.Done {
		d.sizes[entry] = size
	}
	return d.sizes[entry], result.Err
}

// settledCount counts an entry's endpoints once no new one has come for a while.
func (e *Entry) settledCount(entry qf.EntryName) int {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, known := range e.registry.All() {
		if now.Sub(known.FirstSeenAt) < listSettled {
			return 0
		}
		if known.Entry == entry && !known.Leaving {
			count++
		}
	}
	return count
}
