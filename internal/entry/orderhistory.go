package entry

import "quetzalfront/internal/qf"

// stampsPerEra bounds the stamps of the orders of one era of the store.
const stampsPerEra = 1 << 40

// stampOf returns the stamp of an order whose row was read in an era. Stamps rise from era to
// era, although the store gives out versions again.
func stampOf(era qf.StoreEra, rowVersion uint64) uint64 { return uint64(era)*stampsPerEra + rowVersion }

// eraOfStamp returns the era in which an order's row was read.
func eraOfStamp(stamp uint64) qf.StoreEra { return qf.StoreEra(stamp / stampsPerEra) }

// orderHistory holds the stamp of the last order of each version that was seen, to tell a new
// order from one that is written again, or shows up again, after the store came back older.
type orderHistory map[orderKey]uint64

type orderKey struct {
	entry qf.EntryName
	to    qf.Version
}

// record records an order, and reports whether it is one that was seen before: the same row, or
// the first row for its version in a later era.
func (h orderHistory) record(order *qf.RolloutOrder) (wasSeen bool) {
	key := orderKey{entry: order.Entry, to: order.To}
	last, isKnown := h[key]
	h[key] = max(last, order.Stamp)
	return isKnown && (order.Stamp <= last || eraOfStamp(order.Stamp) > eraOfStamp(last))
}

// isPlanOf reports whether a plan is of an order that was written again in a later era: a node
// that has started since knows the plan from its peers, and the order from the store.
func isPlanOf(plan *qf.RolloutPlan, order *qf.RolloutOrder) bool {
	return plan.To == order.To && eraOfStamp(plan.Generation) < eraOfStamp(order.Stamp)
}
