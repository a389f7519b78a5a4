// Package benchfleet compares the product's fleet planner with baselines on a simulated
// day of changing demand, prices and reclaims. Time is virtual and the random numbers are
// seeded.
package benchfleet

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qffleet"
)

// Day describes a deployment's demand and reclaims over a day.
type Day struct {
	Name string
	// MinReplicas and MaxReplicas are the replicas needed at night and at the peak.
	MinReplicas, MaxReplicas int
	Zones                    []qf.AvailabilityZone
	// ReclaimsPerHour is the rate of reclaims of each reclaimable VM, ZoneReclaimsPerDay
	// the rate, over all zones, of reclaims of all reclaimable VMs of a zone.
	ReclaimsPerHour    float64
	ZoneReclaimsPerDay float64
	// RefusedShare is the share of reclaimable starts that are refused.
	RefusedShare float64
}

// Days returns the two deployments' days.
func Days() []Day {
	return []Day{
		{
			Name: "lahore", MinReplicas: 5, MaxReplicas: 9, Zones: []qf.AvailabilityZone{"north", "south", "west"},
			ReclaimsPerHour: 0.05, ZoneReclaimsPerDay: 3, RefusedShare: 0.1,
		},
		{
			Name: "lanka", MinReplicas: 6, MaxReplicas: 12, Zones: []qf.AvailabilityZone{"east", "north", "south"},
			ReclaimsPerHour: 0.1, ZoneReclaimsPerDay: 4, RefusedShare: 0.2,
		},
	}
}

// Row is the result of one plan on one day.
type Row struct {
	Day, Plan string
	// Cost is in currency units a day.
	Cost float64
	// ShortMinutes counts the minutes with fewer live replicas than needed.
	ShortMinutes int
	// UnsafeMinutes counts the minutes in which the loss of a zone would leave fewer live
	// replicas than needed.
	UnsafeMinutes int
	Starts        int
}

// plan is a policy that starts and drains VMs, called once a minute. recordStart gives it
// the result of a start.
type plan interface {
	name() string
	step(view *qffleet.View) []qffleet.Action
	recordStart(now time.Time, start qf.StartVMRequest, certainty qf.Certainty)
}

const (
	startDuration = 4 * time.Minute
	dayDuration   = 24 * time.Hour
	stepDuration  = time.Minute
	noticeSteps   = 1
	// Prices are per hour, in thousandths of the currency unit.
	onDemandPrice    = 1000.0
	reclaimablePrice = 320.0
)

// Run simulates each day with each plan and seed. The cost is the mean over the seeds, the
// counts are sums.
func Run(seeds []uint64) Table {
	var rows Table
	for _, day := range Days() {
		for _, newPlan := range []func(day *Day) plan{newPlanned, newOnDemand, newCheapest, newFixed} {
			total := Row{Day: day.Name}
			for _, seed := range seeds {
				p := newPlan(&day)
				total.Plan = p.name()
				r := simulate(&day, p, seed)
				total.Cost += r.Cost / float64(len(seeds))
				total.ShortMinutes += r.ShortMinutes
				total.UnsafeMinutes += r.UnsafeMinutes
				total.Starts += r.Starts
			}
			rows = append(rows, total)
		}
	}
	return rows
}

// Table holds the rows of one run.
type Table []Row

// Print writes the rows as a table.
func (rows Table) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "DAY\tPLAN\tCOST/DAY\tSHORT MIN\tUNSAFE MIN\tSTARTS\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.1f\t%d\t%d\t%d\t\n", r.Day, r.Plan, r.Cost, r.ShortMinutes, r.UnsafeMinutes, r.Starts)
	}
	return t.Flush()
}

// simulation is the state of one simulated day.
type simulation struct {
	day    *Day
	random *rand.Rand
	now    time.Time
	vms    []qf.VM
	// readyAt and goneAt hold the times at which VMs become live and are removed.
	readyAt, goneAt map[qf.VMID]time.Time
	priceFactor     map[qf.AvailabilityZone]float64
	row             Row
	// lastVM is the number in the last VM's id.
	lastVM int
}

var midnight = time.Date(2026, 4, 1, 0, 0, 0, 0, time.UTC)

// simulate runs one plan on one day.
func simulate(day *Day, p plan, seed uint64) Row {
	s := &simulation{
		day: day, random: rand.New(rand.NewPCG(seed, seed)), now: midnight,
		readyAt: map[qf.VMID]time.Time{}, goneAt: map[qf.VMID]time.Time{},
		priceFactor: map[qf.AvailabilityZone]float64{},
	}
	for _, zone := range day.Zones {
		s.priceFactor[zone] = 0.8 + 0.4*s.random.Float64()
	}
	for s.now.Before(midnight.Add(dayDuration)) {
		s.advance()
		view := &qffleet.View{Now: s.now, VMs: s.vms, Prices: s.prices(), Needs: []qffleet.EntryNeed{{
			Entry: "assistant", Version: "v1", Role: qf.RoleModelEngine,
			Need: qffleet.Need{Replicas: s.need(), StartTakes: startDuration},
		}}}
		for _, action := range p.step(view) {
			s.apply(p, action)
		}
		s.account()
	}
	return s.row
}

// need returns the replicas needed now: a daily cosine wave with noise.
func (s *simulation) need() int {
	hours := s.now.Sub(midnight).Hours()
	wave := (1 - math.Cos(2*math.Pi*hours/24)) / 2
	n := float64(s.day.MinReplicas) + wave*float64(s.day.MaxReplicas-s.day.MinReplicas) + s.random.NormFloat64()*0.3
	return max(s.day.MinReplicas, min(s.day.MaxReplicas, int(math.Ceil(n))))
}

// prices returns the current price of each zone and class.
func (s *simulation) prices() []qf.Price {
	var prices []qf.Price
	for _, zone := range s.day.Zones {
		prices = append(prices,
			qf.Price{AvailabilityZone: zone, Class: qf.ClassOnDemand, Role: qf.RoleModelEngine, PerHour: uint64(onDemandPrice)},
			qf.Price{
				AvailabilityZone: zone, Class: qf.ClassReclaimable, Role: qf.RoleModelEngine,
				PerHour: uint64(reclaimablePrice * s.priceFactor[zone]),
			})
	}
	return prices
}

// advance moves the time on by one step, with changes of prices, reclaims and states.
func (s *simulation) advance() {
	s.now = s.now.Add(stepDuration)
	for _, zone := range s.day.Zones {
		f := s.priceFactor[zone] * math.Exp(s.random.NormFloat64()*0.02)
		s.priceFactor[zone] = max(0.5, min(1.8, f))
	}
	stepHours := stepDuration.Hours()
	for _, zone := range s.day.Zones {
		if s.random.Float64() < s.day.ZoneReclaimsPerDay/float64(len(s.day.Zones))*stepHours/24 {
			s.reclaim(func(vm *qf.VM) bool { return vm.AvailabilityZone == zone })
		}
	}
	s.reclaim(func(*qf.VM) bool { return s.random.Float64() < s.day.ReclaimsPerHour*stepHours })
	s.updateStates()
}

// reclaim gives notice to the reclaimable VMs that match.
func (s *simulation) reclaim(matches func(vm *qf.VM) bool) {
	for i := range s.vms {
		vm := &s.vms[i]
		if vm.Class == qf.ClassReclaimable && vm.State != qf.VMLeaving && matches(vm) {
			vm.State = qf.VMLeaving
			s.goneAt[vm.ID] = s.now.Add(noticeSteps * stepDuration)
		}
	}
}

// updateStates removes VMs whose time is over and makes started VMs live.
func (s *simulation) updateStates() {
	kept := s.vms[:0]
	for _, vm := range s.vms {
		if gone, ok := s.goneAt[vm.ID]; ok && !s.now.Before(gone) {
			continue
		}
		if vm.State == qf.VMStarting && !s.now.Before(s.readyAt[vm.ID]) {
			vm.State = qf.VMLive
		}
		kept = append(kept, vm)
	}
	s.vms = kept
}

// apply carries out an action of the plan.
func (s *simulation) apply(p plan, action qffleet.Action) {
	if action.Kind == qffleet.ActionDrain {
		for i := range s.vms {
			if s.vms[i].ID == action.VM {
				s.vms[i].State = qf.VMLeaving
				s.goneAt[action.VM] = s.now.Add(stepDuration)
			}
		}
		return
	}
	start := action.Start
	if start.Class == qf.ClassReclaimable && s.random.Float64() < s.day.RefusedShare {
		p.recordStart(s.now, start, qf.NotDone)
		return
	}
	s.lastVM++
	s.row.Starts++
	id := qf.VMID(fmt.Sprintf("vm-%d", s.lastVM))
	s.vms = append(s.vms, qf.VM{
		ID: id, Incarnation: 1, Entry: start.Entry, Version: start.Version, Role: start.Role,
		AvailabilityZone: start.AvailabilityZone, Class: start.Class, State: qf.VMStarting, Token: start.Token,
	})
	s.readyAt[id] = s.now.Add(startDuration)
	p.recordStart(s.now, start, qf.Done)
}

// account adds one step's cost and shortage to the row.
func (s *simulation) account() {
	live, byZone, largest := 0, map[qf.AvailabilityZone]int{}, 0
	for i := range s.vms {
		vm := &s.vms[i]
		price := onDemandPrice
		if vm.Class == qf.ClassReclaimable {
			price = reclaimablePrice * s.priceFactor[vm.AvailabilityZone]
		}
		s.row.Cost += price / 1000 * stepDuration.Hours()
		if vm.State == qf.VMLive {
			live++
			byZone[vm.AvailabilityZone]++
			largest = max(largest, byZone[vm.AvailabilityZone])
		}
	}
	need := s.need()
	if s.now.Sub(midnight) <= 2*startDuration {
		return // Every plan starts without VMs.
	}
	if live < need {
		s.row.ShortMinutes++
	}
	if live-largest < need {
		s.row.UnsafeMinutes++
	}
}
