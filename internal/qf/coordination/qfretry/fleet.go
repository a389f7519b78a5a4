package qfretry

import (
	"time"

	"quetzalfront/internal/qf"
)

// FleetBounds bounds the retries of all nodes together at one entry within a window.
type FleetBounds struct {
	// Share is the number of retries for each request of the window, Slack the number
	// of retries allowed in addition.
	Share, Slack float64
	Window       time.Duration
}

// usedShare is the part of the bounds that the nodes use. The rest covers nodes that
// started within the window with a budget of their own.
const usedShare = 0.6

// FleetBudget is one node's part of the retry budget of the whole fleet at each entry.
// Nodes don't exchange their uses: each earns a share of its own requests and has an
// even part of the slack. It isn't safe for concurrent use.
type FleetBudget struct {
	bounds FleetBounds
	nodes  int
	// budgets holds the budget of each entry.
	budgets map[qf.EntryName]*entryBudget
}

type entryBudget struct {
	// left is the number of retries left at the time at.
	left float64
	at   time.Time
}

// NewFleetBudget returns the budget of a node without peers.
func NewFleetBudget(bounds FleetBounds) *FleetBudget {
	return &FleetBudget{bounds: bounds, nodes: 1, budgets: map[qf.EntryName]*entryBudget{}}
}

// SetNodes sets the number of nodes, this one included.
func (f *FleetBudget) SetNodes(nodes int) { f.nodes = max(nodes, 1) }

// slack returns this node's part of the slack in one window.
func (f *FleetBudget) slack() float64 { return f.bounds.Slack * usedShare / float64(f.nodes) }

func (f *FleetBudget) budget(now time.Time, entry qf.EntryName) *entryBudget {
	b := f.budgets[entry]
	if b == nil {
		b = &entryBudget{left: f.slack() / 2, at: now}
		f.budgets[entry] = b
	}
	// Half of the slack is available at once, the other half accrues over the window.
	if elapsed := now.Sub(b.at); elapsed > 0 && f.bounds.Window > 0 {
		earned := f.slack() / 2 * elapsed.Seconds() / f.bounds.Window.Seconds()
		b.left = min(b.left+earned, max(f.slack()/2, b.left))
	}
	b.at = now
	return b
}

// CountRequest counts a request for an entry, which earns a share of a retry.
func (f *FleetBudget) CountRequest(now time.Time, entry qf.EntryName) {
	b := f.budget(now, entry)
	b.left = min(b.left+f.bounds.Share*usedShare, max(f.slack(), 1))
}

// TakeRetry takes one retry from the budget and reports whether one was left.
func (f *FleetBudget) TakeRetry(now time.Time, entry qf.EntryName) bool {
	b := f.budget(now, entry)
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
