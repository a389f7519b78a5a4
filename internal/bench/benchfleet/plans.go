package benchfleet

import (
	"fmt"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qffleet"
)

// planned is the plan of the product's planner.
type planned struct{ *qffleet.Planner }

func newPlanned(*Day) plan {
	return &planned{qffleet.NewPlanner(qffleet.DefaultSettings(), 1)}
}

func (*planned) name() string { return "planner" }

func (p *planned) step(view *qffleet.View) []qffleet.Action { return p.Plan(view) }

func (p *planned) recordStart(now time.Time, start qf.StartVMRequest, certainty qf.Certainty) {
	p.RecordStartResult(now, start, certainty)
}

// fixedRule keeps a number of VMs, each in the zone and class that a fixed rule chooses,
// and replaces those that leave. It never drains any.
type fixedRule struct {
	title string
	// choose returns the zone and class of the number-th VM.
	choose func(view *qffleet.View, number int) (qf.AvailabilityZone, qf.VMClass)
	// count returns the number of VMs to keep.
	count  func(view *qffleet.View) int
	starts int
}

func (c *fixedRule) name() string { return c.title }

func (c *fixedRule) recordStart(time.Time, qf.StartVMRequest, qf.Certainty) {}

func (c *fixedRule) step(view *qffleet.View) []qffleet.Action {
	vms := 0
	for i := range view.VMs {
		if view.VMs[i].State != qf.VMLeaving {
			vms++
		}
	}
	var actions []qffleet.Action
	for ; vms < c.count(view); vms++ {
		c.starts++
		zone, class := c.choose(view, c.starts)
		actions = append(actions, qffleet.Action{Kind: qffleet.ActionStart, Start: qf.StartVMRequest{
			Token: fmt.Sprint(c.starts), Entry: "assistant", Version: "v1", Role: qf.RoleModelEngine,
			AvailabilityZone: zone, Class: class,
		}})
	}
	return actions
}

// replicasForZoneLoss returns the number of evenly spread VMs that leaves enough for the
// peak after the loss of a zone.
func replicasForZoneLoss(day *Day) int {
	zones := len(day.Zones)
	return (day.MaxReplicas*zones + zones - 2) / (zones - 1)
}

// newOnDemand returns a plan of on-demand VMs for the peak, evenly spread.
func newOnDemand(day *Day) plan {
	return &fixedRule{
		title: "all on-demand",
		count: func(*qffleet.View) int { return replicasForZoneLoss(day) },
		choose: func(_ *qffleet.View, number int) (qf.AvailabilityZone, qf.VMClass) {
			return day.Zones[number%len(day.Zones)], qf.ClassOnDemand
		},
	}
}

// newCheapest returns a plan of the VMs that are needed now, where they are cheapest.
func newCheapest(*Day) plan {
	return &fixedRule{
		title: "cheapest reclaimable",
		count: func(view *qffleet.View) int { return view.Needs[0].Need.Replicas },
		choose: func(view *qffleet.View, _ int) (qf.AvailabilityZone, qf.VMClass) {
			best := view.Prices[0]
			for _, price := range view.Prices {
				if price.PerHour < best.PerHour {
					best = price
				}
			}
			return best.AvailabilityZone, best.Class
		},
	}
}

// newFixed returns a plan of reclaimable VMs for the peak, evenly spread.
func newFixed(day *Day) plan {
	return &fixedRule{
		title: "fixed spread",
		count: func(*qffleet.View) int { return replicasForZoneLoss(day) },
		choose: func(_ *qffleet.View, number int) (qf.AvailabilityZone, qf.VMClass) {
			return day.Zones[number%len(day.Zones)], qf.ClassReclaimable
		},
	}
}
