package benchfleet

import (
	"fmt"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qffleet"
)

// planned is the product's planner.
type planned struct{ *qffleet.Planner }

func newPlanned(*Day) plan {
	return &planned{qffleet.NewPlanner(qffleet.DefaultSettings(), 1)}
}

func (*planned) name() string { return "planner" }

func (p *planned) step(view *qffleet.View) []qffleet.Action { return p.Plan(view) }

func (p *planned) started(now time.Time, start qf.StartVMRequest, certainty qf.Certainty) {
	p.RecordStartResult(now, start, certainty)
}

// constant buys a fixed number of VMs by a fixed rule and replaces what is lost.
type constant struct {
	title  string
	wanted func(view *qffleet.View, number int) (qf.AvailabilityZone, qf.VMClass)
	count  func(view *qffleet.View) int
	starts int
}

func (c *constant) name() string { return c.title }

func (c *constant) started(time.Time, qf.StartVMRequest, qf.Certainty) {}

func (c *constant) step(view *qffleet.View) []qffleet.Action {
	have := 0
	for i := range view.VMs {
		if view.VMs[i].State != qf.VMLeaving {
			have++
		}
	}
	var actions []qffleet.Action
	for ; have < c.count(view); have++ {
		c.starts++
		zone, class := c.wanted(view, c.starts)
		actions = append(actions, qffleet.Action{Kind: qffleet.ActionStart, Start: qf.StartVMRequest{
			Token: fmt.Sprint(c.starts), Entry: "assistant", Version: "v1", Role: qf.RoleModelEngine,
			AvailabilityZone: zone, Class: class,
		}})
	}
	return actions
}

// enough is the number of VMs, evenly spread, that survive the loss of a zone.
func enough(day *Day) int {
	zones := len(day.Zones)
	return (day.MaxReplicas*zones + zones - 2) / (zones - 1)
}

// newOnDemand buys on-demand VMs for the peak, evenly spread.
func newOnDemand(day *Day) plan {
	return &constant{
		title: "all on-demand",
		count: func(*qffleet.View) int { return enough(day) },
		wanted: func(_ *qffleet.View, number int) (qf.AvailabilityZone, qf.VMClass) {
			return day.Zones[number%len(day.Zones)], qf.ClassOnDemand
		},
	}
}

// newCheapest buys what is needed now where it is cheapest.
func newCheapest(*Day) plan {
	return &constant{
		title: "cheapest reclaimable",
		count: func(view *qffleet.View) int { return view.Needs[0].Need.Replicas },
		wanted: func(view *qffleet.View, _ int) (qf.AvailabilityZone, qf.VMClass) {
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

// newFixed buys reclaimable VMs for the peak, evenly spread.
func newFixed(day *Day) plan {
	return &constant{
		title: "fixed spread",
		count: func(*qffleet.View) int { return enough(day) },
		wanted: func(_ *qffleet.View, number int) (qf.AvailabilityZone, qf.VMClass) {
			return day.Zones[number%len(day.Zones)], qf.ClassReclaimable
		},
	}
}
