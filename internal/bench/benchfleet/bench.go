// Package benchfleet compares fleet plans on a day of changing demand, prices
// and reclaims. Time is virtual and every draw is seeded.
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

// Day describes a deployment's day.
type Day struct {
	Name string
	// MinReplicas and MaxReplicas are the replicas that are needed at night and at the peak.
	MinReplicas, MaxReplicas int
	Zones                    []qf.AvailabilityZone
	// ReclaimsPerHour and WavesPerDay are the rates of single reclaims of a VM
	// and of reclaims of all reclaimable VMs of a zone.
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
	// ShortMinutes counts minutes with fewer live replicas than needed.
	ShortMinutes int
	// UnsafeMinutes counts minutes in which the loss of a zone would leave too
	// few.
	UnsafeMinutes int
	Starts        int
}

// plan decides on the VMs of one minute.
type plan interface {
	name() string
	step(view *qffleet.View) []qffleet.Action
	started(now time.Time, start qf.StartVMRequest, certainty qf.Certainty)
}

const (
	startTakes  = 4 * time.Minute
	dayLength   = 24 * time.Hour
	stepLength  = time.Minute
	noticeSteps = 1
	onDemand    = 1000.0
	reclaimable = 320.0
)

// Run plays each day with each plan for each seed and returns the sums.
func Run(seeds []uint64) Table {
	var rows Table
	for _, day := range Days() {
		for _, makePlan := range []func(day *Day) plan{newPlanned, newOnDemand, newCheapest, newFixed} {
			total := Row{Day: day.Name}
			for _, seed := range seeds {
				p := makePlan(&day)
				total.Plan = p.name()
				r := play(&day, p, seed)
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

// world is the state of one day.
type world struct {
	day    *Day
	random *rand.Rand
	now    time.Time
	vms    []qf.VM
	// readyAt and goneAt hold when VMs become live and are taken.
	readyAt, goneAt map[qf.VMID]time.Time
	factor          map[qf.AvailabilityZone]float64
	row             Row
	number          int
}

var midnight = time.Date(2026, 4, 1, 0, 0, 0, 0, time.UTC)

func play(day *Day, p plan, seed uint64) Row {
	w := &world{
		day: day, random: rand.New(rand.NewPCG(seed, seed)), now: midnight,
		readyAt: map[qf.VMID]time.Time{}, goneAt: map[qf.VMID]time.Time{},
		factor: map[qf.AvailabilityZone]float64{},
	}
	for _, zone := range day.Zones {
		w.factor[zone] = 0.8 + 0.4*w.random.Float64()
	}
	for w.now.Before(midnight.Add(dayLength)) {
		w.advance()
		view := &qffleet.View{Now: w.now, VMs: w.vms, Prices: w.prices(), Needs: []qffleet.EntryNeed{{
			Entry: "assistant", Version: "v1", Role: qf.RoleModelEngine,
			Need: qffleet.Need{Replicas: w.need(), StartTakes: startTakes},
		}}}
		for _, action := range p.step(view) {
			w.act(p, action)
		}
		w.account()
	}
	return w.row
}

// need follows the time of day, with noise.
func (w *world) need() int {
	hours := w.now.Sub(midnight).Hours()
	wave := (1 - math.Cos(2*math.Pi*hours/24)) / 2
	n := float64(w.day.MinReplicas) + wave*float64(w.day.MaxReplicas-w.day.MinReplicas) + w.random.NormFloat64()*0.3
	return max(w.day.MinReplicas, min(w.day.MaxReplicas, int(math.Ceil(n))))
}

func (w *world) prices() []qf.Price {
	var prices []qf.Price
	for _, zone := range w.day.Zones {
		prices = append(prices,
			qf.Price{AvailabilityZone: zone, Class: qf.ClassOnDemand, Role: qf.RoleModelEngine, PerHour: uint64(onDemand)},
			qf.Price{
				AvailabilityZone: zone, Class: qf.ClassReclaimable, Role: qf.RoleModelEngine,
				PerHour: uint64(reclaimable * w.factor[zone]),
			})
	}
	return prices
}

func (w *world) advance() {
	w.now = w.now.Add(stepLength)
	for _, zone := range w.day.Zones {
		f := w.factor[zone] * math.Exp(w.random.NormFloat64()*0.02)
		w.factor[zone] = max(0.5, min(1.8, f))
	}
	stepHours := stepLength.Hours()
	for _, zone := range w.day.Zones {
		if w.random.Float64() < w.day.ZoneReclaimsPerDay/float64(len(w.day.Zones))*stepHours/24 {
			w.reclaim(func(vm *qf.VM) bool { return vm.AvailabilityZone == zone })
		}
	}
	w.reclaim(func(*qf.VM) bool { return w.random.Float64() < w.day.ReclaimsPerHour*stepHours })
	w.settle()
}

func (w *world) reclaim(hit func(vm *qf.VM) bool) {
	for i := range w.vms {
		vm := &w.vms[i]
		if vm.Class == qf.ClassReclaimable && vm.State != qf.VMLeaving && hit(vm) {
			vm.State = qf.VMLeaving
			w.goneAt[vm.ID] = w.now.Add(noticeSteps * stepLength)
		}
	}
}

func (w *world) settle() {
	kept := w.vms[:0]
	for _, vm := range w.vms {
		if gone, ok := w.goneAt[vm.ID]; ok && !w.now.Before(gone) {
			continue
		}
		if vm.State == qf.VMStarting && !w.now.Before(w.readyAt[vm.ID]) {
			vm.State = qf.VMLive
		}
		kept = append(kept, vm)
	}
	w.vms = kept
}

func (w *world) act(p plan, action qffleet.Action) {
	if action.Kind == qffleet.ActionDrain {
		for i := range w.vms {
			if w.vms[i].ID == action.VM {
				w.vms[i].State = qf.VMLeaving
				w.goneAt[action.VM] = w.now.Add(stepLength)
			}
		}
		return
	}
	s := action.Start
	if s.Class == qf.ClassReclaimable && w.random.Float64() < w.day.RefusedShare {
		p.started(w.now, s, qf.NotDone)
		return
	}
	w.number++
	w.row.Starts++
	id := qf.VMID(fmt.Sprintf("vm-%d", w.number))
	w.vms = append(w.vms, qf.VM{
		ID: id, Incarnation: 1, Entry: s.Entry, Version: s.Version, Role: s.Role,
		AvailabilityZone: s.AvailabilityZone, Class: s.Class, State: qf.VMStarting, Token: s.Token,
	})
	w.readyAt[id] = w.now.Add(startTakes)
	p.started(w.now, s, qf.Done)
}

func (w *world) account() {
	live, byZone, largest := 0, map[qf.AvailabilityZone]int{}, 0
	for i := range w.vms {
		vm := &w.vms[i]
		price := onDemand
		if vm.Class == qf.ClassReclaimable {
			price = reclaimable * w.factor[vm.AvailabilityZone]
		}
		w.row.Cost += price / 1000 * stepLength.Hours()
		if vm.State == qf.VMLive {
			live++
			byZone[vm.AvailabilityZone]++
			largest = max(largest, byZone[vm.AvailabilityZone])
		}
	}
	need := w.need()
	if w.now.Sub(midnight) <= 2*startTakes {
		return // Every plan starts with nothing.
	}
	if live < need {
		w.row.ShortMinutes++
	}
	if live-largest < need {
		w.row.UnsafeMinutes++
	}
}
