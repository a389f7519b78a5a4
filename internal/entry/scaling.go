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
	// sizeKeyPrefix begins the keys of the rows that hold how many endpoints an entry needs.
	sizeKeyPrefix = "sizes/"
	// listSettleTime is how long no new endpoint may appear in the list before the number of
	// an entry's endpoints is taken as the operator's initial number.
	listSettleTime = 1500 * time.Millisecond
	// minimumShare is the share of an entry's endpoints that is enough unless first
	// tokens are late.
	minimumShare = 0.67
	// maxOrdersPerStep bounds the orders per entry in one step.
	maxOrdersPerStep = 4
)

// orderHolder returns the holder to name in an order of endpoints.
func (d *duties) orderHolder() (qf.DutyHolder, bool) {
	holder, isHeld := d.leaseHolder()
	holder.Fencing = d.fencing
	return holder, isHeld || d.mayActAfterExpiry()
}

// orderEndpoints sends the orders of endpoints that are due.
func (d *duties) orderEndpoints(ctx context.Context) {
	table := d.entry.configuration.Get()
	for i := range table.Configuration.Entries {
		settings := &table.Configuration.Entries[i]
		if settings.Scaling == nil || len(settings.Scaling.Prices) == 0 {
			continue
		}
		for range maxOrdersPerStep {
			if !d.orderForEntry(ctx, settings) {
				break
			}
		}
	}
}

func (d *duties) orderForEntry(ctx context.Context, settings *qf.EntrySettings) bool {
	e := d.entry
	size, err := d.desiredSize(ctx, settings.Entry)
	if err != nil || size == 0 {
		return false
	}
	planner := d.planners[settings.Entry]
	if planner == nil {
		planner = qffleet.NewZonalPlanner(qffleet.DefaultZonalSettings())
		d.planners[settings.Entry] = planner
	}
	holder, ok := d.orderHolder()
	if !ok {
		return false
	}
	_, isHeld := d.leaseHolder()
	order, ok := planner.NextOrder(&qffleet.ZonalView{
		Now: e.now(), Scaling: settings.Scaling, Needed: qffleet.SizeWithSpare(size, settings.Scaling), Minimum: d.minimumSize(size),
		Endpoints:    e.listEndpoints(settings.Entry),
		OnDemandOnly: !isHeld, Serving: e.picker.servingVersion(settings.Entry),
		Evacuated: e.picker.listEvacuated(e.now(), settings), Least: size,
	})
	if !ok {
		return false
	}
	result := e.platform.Duties.OrderEndpoints(ctx, holder, qf.EndpointOrder{
		Entry: settings.Entry, Zone: order.Zone, Class: order.Class, Desired: order.Desired,
	})
	isRefused := errors.Is(result.Err, &qf.Error{Code: qf.CodeStaleFencing})
	planner.RecordOrderResult(e.now(), &order, result.Certainty, isRefused)
	if _, isHeld := d.leaseHolder(); isRefused && !isHeld {
		d.isOrderRefused = true // Another node may hold the lease by now.
	}
	qfevent.EndpointsOrdered.Log(&e.platform.Logger, settings.Entry, order.Zone, order.Class, order.Desired, order.Reason,
		d.fencing, result.Certainty, result.Err)
	return result.Certainty == qf.Done
}

// minimumSize returns the number of endpoints for which on-demand VMs are worth their price:
// as many as remain after the loss of a zone, or all while first tokens are late.
func (d *duties) minimumSize(size int) int {
	if d.entry.picker.isPressureHigh(d.entry.now()) {
		return size
	}
	return int(math.Ceil(float64(size) * minimumShare))
}

// listEndpoints returns the listed endpoints of an entry.
func (e *Entry) listEndpoints(entry qf.EntryName) []qf.RegisteredEndpoint {
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

// desiredSize returns how many endpoints the operator started an entry with.
// The first lease holder stores that number for its successors. It is 0 while unknown.
func (d *duties) desiredSize(ctx context.Context, entry qf.EntryName) (int, error) {
	if size := d.desiredSizes[entry]; size > 0 && d.storedSizes[entry] {
		return size, nil
	}
	e := d.entry
	key := sizeKeyPrefix + string(entry)
	row, err := e.platform.Table.Read(ctx, key)
	if err == nil {
		var size int
		err = json.Unmarshal(row.Value, &size)
		d.desiredSizes[entry], d.storedSizes[entry] = size, err == nil
		return size, err
	}
	if !errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
		return 0, err
	}
	size := d.desiredSizes[entry]
	if size > 0 {
		qfevent.RowRewritten.Log(&e.platform.Logger, key, row.Era)
	} else {
		size = e.countSettledEndpoints(entry)
	}
	if size == 0 {
		return 0, nil
	}
	value, err := json.Marshal(size)
	if err != nil {
		return 0, err
	}
	result := e.platform.Table.Commit(ctx, qf.Transaction{
		ID: qf.TransactionID(key), Conditions: []qf.Condition{{Key: key, Era: row.Era}}, Writes: []qf.Write{{Key: key, Value: value}},
	})
	if result.Certainty == qf.Done {
		d.desiredSizes[entry], d.storedSizes[entry] = size, true
	}
	return d.desiredSizes[entry], result.Err
}

// countSettledEndpoints counts an entry's endpoints, or returns 0 if any endpoint was first seen
// less than listSettleTime ago.
func (e *Entry) countSettledEndpoints(entry qf.EntryName) int {
	now := e.now()
	serving := e.picker.servingVersion(entry)
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, known := range e.registry.All() {
		if now.Sub(known.FirstSeenAt) < listSettleTime {
			return 0
		}
		if known.Entry == entry && !known.Leaving && (serving == "" || known.Version == serving) {
			count++
		}
	}
	return count
}
