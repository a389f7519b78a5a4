package qfretry

import (
	"time"

	"quetzalfront/internal/qf"
)

// FleetBounds bound the repeats of all nodes at an entry within a window.
type FleetBounds struct {
	// Share is the part of the window's requests, Slack the number besides.
	Share, Slack float64
	Window       time.Duration
}

// repeatReserve is the part of the bounds that is used. The rest covers nodes that
// started within the window with a budget of their own.
const repeatReserve = 0.6

// FleetBudget is one node's part of the repeats at each entry. Nodes need no news of each
// other: each earns a share of its own requests and has an even part of the slack. It
// isn't safe for concurrent use.
type FleetBudget struct {
	bounds FleetBounds
	nodes  int
	// budgets holds what is left at each entry.
	budgets map[qf.EntryName]*repeatBudget
}

type repeatBudget struct {
	left float64
	at   time.Time
}

// NewFleetBudget returns the budgets of a node that knows no peers.
func NewFleetBudget(bounds FleetBounds) *FleetBudget {
	return &FleetBudget{bounds: bounds, nodes: 1, budgets: map[qf.EntryName]*repeatBudget{}}
}

// SetNodes sets the number of nodes, this one included.
func (r *FleetBudget) SetNodes(nodes int) { r.nodes = max(nodes, 1) }

// slack is this node's part of the slack in one window.
func (r *FleetBudget) slack() float64 { return r.bounds.Slack * repeatReserve / float64(r.nodes) }

func (r *FleetBudget) budget(now time.Time, entry qf.EntryName) *repeatBudget {
	b := r.budgets[entry]
	if b == nil {
		b = &repeatBudget{left: r.slack() / 2, at: now}
		r.budgets[entry] = b
	}
	// Half of the slack comes at once and the other half over the window.
	if elapsed := now.Sub(b.at); elapsed > 0 && r.bounds.Window > 0 {
		earned := r.slack() / 2 * elapsed.Seconds() / r.bounds.Window.Seconds()
		b.left = min(b.left+earned, max(r.slack()/2, b.left))
	}
	b.at = now
	return b
}

// CountRequest counts a request for an entry, which earns a share of a repeat.
func (r *FleetBudget) CountRequest(now time.Time, entry qf.EntryName) {
	b := r.budget(now, entry)
	b.left = min(b.left+r.bounds.Share*repeatReserve, max(r.slack(), 1))
}

// TakeRetry takes one repeat, if there is one.
func (r *FleetBudget) TakeRetry(now time.Time, entry qf.EntryName) bool {
	b := r.budget(now, entry)
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
