package qffleet

import (
	"fmt"
	"math"
	"time"

	"quetzalfront/internal/qf"
)

// Settings govern a planner.
type Settings struct {
	// HoldDown is how long a lower need must last before VMs are given up.
	HoldDown time.Duration
	// Slack is the share of the plan by which the fleet may be too large before
	// VMs are given up.
	Slack float64
	// RefusedFor is how long an offer is avoided after the first refused start;
	// it doubles with each further one up to RefusedAtMost.
	RefusedFor    time.Duration
	RefusedAtMost time.Duration
	// MaxStartsAtOnce bounds the starts that are under way.
	MaxStartsAtOnce int
}

// DefaultSettings returns the settings of a node.
func DefaultSettings() Settings {
	return Settings{
		HoldDown:        5 * time.Minute,
		Slack:           0.1,
		RefusedFor:      30 * time.Second,
		RefusedAtMost:   10 * time.Minute,
		MaxStartsAtOnce: 8,
	}
}

// EntryNeed is what one entry needs at present.
type EntryNeed struct {
	Entry   qf.EntryName
	Version qf.Version
	Role    qf.VMRole
	Need    Need
	// MinReplicas and MaxReplicas come from the catalogue; MaxReplicas 0 is no
	// bound.
	MinReplicas int
	MaxReplicas int
}

// View is what the planner sees. VMs come from the cloud API, which doesn't lag,
// so that VMs bought by a former planner are never forgotten.
type View struct {
	Now    time.Time
	VMs    []qf.VM
	Prices []qf.Price
	Needs  []EntryNeed
}

// ActionKind says what to do with a VM.
type ActionKind string

// The kinds of actions.
const (
	ActionStart ActionKind = "Start"
	// ActionDrain orders an endpoint to finish its work and take no more; its VM
	// is stopped once it is idle.
	ActionDrain ActionKind = "Drain"
)

// Action is one step towards the plan.
type Action struct {
	Kind  ActionKind
	Start qf.StartVMRequest
	// VM is set for ActionDrain.
	VM     qf.VMID
	Reason qf.Reason
}

type offerKey struct {
	zone  qf.AvailabilityZone
	class qf.VMClass
}

type refusal struct {
	until  time.Time
	lasted time.Duration
}

// Planner turns views into actions. It isn't safe for concurrent use. It keeps
// nothing that a successor would miss: a new one sees the VMs in the view.
type Planner struct {
	settings Settings
	// fencing is the number of the lease under which the planner acts; it makes
	// the tokens of two planners differ.
	fencing  qf.FencingNumber
	sequence int
	refused  map[offerKey]refusal
	rates    *ReclaimRates
	// lowSince is when an entry's fleet was first seen too large.
	lowSince map[qf.EntryName]time.Time
	// open holds the starts whose outcome isn't known; they are repeated under
	// the same token.
	open []qf.StartVMRequest
}

// NewPlanner returns a planner that acts under the lease's fencing number.
func NewPlanner(settings Settings, fencing qf.FencingNumber) *Planner {
	return &Planner{
		settings: settings, fencing: fencing,
		refused:  map[offerKey]refusal{},
		rates:    NewReclaimRates(),
		lowSince: map[qf.EntryName]time.Time{},
	}
}

// Plan returns the next actions.
func (p *Planner) Plan(view *View) []Action {
	p.rates.Observe(view.Now, view.VMs)
	actions := p.repeatOpen()
	for i := range view.Needs {
		actions = append(actions, p.planEntry(view, &view.Needs[i])...)
	}
	return actions
}

func (p *Planner) repeatOpen() []Action {
	var actions []Action
	for _, start := range p.open {
		actions = append(actions, Action{Kind: ActionStart, Start: start, Reason: qf.Reason{Rule: "RepeatUnknownStart"}})
	}
	p.open = nil
	return actions
}

// RecordStartResult takes the outcome of a start.
func (p *Planner) RecordStartResult(now time.Time, start qf.StartVMRequest, certainty qf.Certainty) {
	key := offerKey{zone: start.AvailabilityZone, class: start.Class}
	switch certainty {
	case qf.Done:
		delete(p.refused, key)
	case qf.Unknown:
		p.open = append(p.open, start)
	default:
		known := p.refused[key]
		lasts := min(max(2*known.lasted, p.settings.RefusedFor), p.settings.RefusedAtMost)
		p.refused[key] = refusal{until: now.Add(lasts), lasted: lasts}
	}
}

// offers lists what can be bought now, with the observed reclaim rates.
func (p *Planner) offers(view *View, role qf.VMRole) []Offer {
	var offers []Offer
	for _, price := range view.Prices {
		key := offerKey{zone: price.AvailabilityZone, class: price.Class}
		if price.Role != role || view.Now.Before(p.refused[key].until) {
			continue
		}
		offers = append(offers, Offer{
			AvailabilityZone: price.AvailabilityZone, Class: price.Class,
			PerHour: float64(price.PerHour), ReclaimsPerHour: p.rates.PerHour(price.AvailabilityZone, price.Class),
		})
	}
	return offers
}

func (p *Planner) planEntry(view *View, entry *EntryNeed) []Action {
	need := entry.Need
	need.Replicas = max(need.Replicas, entry.MinReplicas)
	if entry.MaxReplicas > 0 {
		need.Replicas = min(need.Replicas, entry.MaxReplicas)
	}
	plan, _ := Spread(need, p.offers(view, entry.Role))
	have := live(view.VMs, entry)
	if short := p.missing(entry, plan, have, need.Replicas); len(short) > 0 {
		delete(p.lowSince, entry.Entry)
		return short
	}
	return p.surplus(view.Now, entry, plan, have, need.Replicas)
}

// live returns the entry's VMs that aren't leaving.
func live(vms []qf.VM, entry *EntryNeed) []qf.VM {
	var have []qf.VM
	for i := range vms {
		vm := &vms[i]
		if vm.Entry == entry.Entry && vm.Version == entry.Version && (vm.State == qf.VMLive || vm.State == qf.VMStarting) {
			have = append(have, *vm)
		}
	}
	return have
}

// survivors returns the number of VMs that remain after the loss of the largest
// zone.
func survivors(have []qf.VM) int {
	byZone := map[qf.AvailabilityZone]int{}
	largest := 0
	for i := range have {
		byZone[have[i].AvailabilityZone]++
		largest = max(largest, byZone[have[i].AvailabilityZone])
	}
	return len(have) - largest
}

// missing starts VMs while the fleet wouldn't survive the loss of a zone. VMs
// that stand elsewhere than planned count: they are not replaced for their price
// alone.
func (p *Planner) missing(entry *EntryNeed, plan []OfferCount, have []qf.VM, replicas int) []Action {
	var actions []Action
	fleet := append([]qf.VM(nil), have...)
	bound := planned(plan)
	for survivors(fleet) < replicas && len(actions) < p.settings.MaxStartsAtOnce && len(actions) < bound {
		offer, ok := furthestBelow(plan, fleet)
		if !ok {
			break
		}
		p.sequence++
		start := qf.StartVMRequest{
			Token: fmt.Sprintf("%s/%s/%d/%d", entry.Entry, entry.Version, p.fencing, p.sequence),
			Role:  entry.Role, Entry: entry.Entry, Version: entry.Version,
			AvailabilityZone: offer.AvailabilityZone, Class: offer.Class,
		}
		actions = append(actions, Action{Kind: ActionStart, Start: start, Reason: qf.Reason{
			Rule: "SurviveZoneLoss",
			Figures: []qf.Figure{
				{Name: "Survivors", Value: float64(survivors(fleet))},
				{Name: "Replicas", Value: float64(replicas)},
				{Name: "PerHour", Value: offer.PerHour},
			},
		}})
		fleet = append(fleet, qf.VM{AvailabilityZone: offer.AvailabilityZone, Class: offer.Class})
	}
	return actions
}

func planned(plan []OfferCount) int {
	n := 0
	for _, c := range plan {
		n += c.VMs
	}
	return n
}

// furthestBelow returns the offer whose zone and class is furthest below its
// planned count.
func furthestBelow(plan []OfferCount, fleet []qf.VM) (Offer, bool) {
	have := map[offerKey]int{}
	for i := range fleet {
		have[offerKey{zone: fleet[i].AvailabilityZone, class: fleet[i].Class}]++
	}
	best, most := -1, 0
	for i, c := range plan {
		below := c.VMs - have[offerKey{zone: c.Offer.AvailabilityZone, class: c.Offer.Class}]
		if below > most {
			best, most = i, below
		}
	}
	if best < 0 {
		return Offer{}, false
	}
	return plan[best].Offer, true
}

// surplus drains VMs after the fleet was too large for the hold-down time, and
// never one without which the loss of a zone would break the need.
func (p *Planner) surplus(now time.Time, entry *EntryNeed, plan []OfferCount, have []qf.VM, replicas int) []Action {
	allowed := int(math.Ceil(float64(planned(plan)) * (1 + p.settings.Slack)))
	if (len(plan) == 0 && replicas > 0) || len(have) <= allowed {
		delete(p.lowSince, entry.Entry)
		return nil
	}
	since, known := p.lowSince[entry.Entry]
	if !known {
		p.lowSince[entry.Entry] = now
		return nil
	}
	if now.Sub(since) < p.settings.HoldDown {
		return nil
	}
	return p.drain(plan, have, replicas)
}

// drain takes VMs one at a time from the offer that is furthest above its planned
// count, so that the zones stay even on the way down.
func (p *Planner) drain(plan []OfferCount, have []qf.VM, replicas int) []Action {
	var actions []Action
	fleet := have
	for len(fleet) > planned(plan) {
		i := mostExcess(plan, fleet)
		rest := without(fleet, fleet[i].ID)
		if survivors(rest) < replicas {
			break
		}
		actions = append(actions, Action{Kind: ActionDrain, VM: fleet[i].ID, Reason: qf.Reason{
			Rule:    "Surplus",
			Figures: []qf.Figure{{Name: "VMs", Value: float64(len(fleet))}, {Name: "Planned", Value: float64(planned(plan))}},
		}})
		fleet = rest
	}
	return actions
}

// mostExcess returns the index of a VM of the offer that is furthest above its
// planned count.
func mostExcess(plan []OfferCount, fleet []qf.VM) int {
	over := excess(plan, fleet)
	best := 0
	for i := range fleet {
		if over[keyOf(&fleet[i])] > over[keyOf(&fleet[best])] {
			best = i
		}
	}
	return best
}

func keyOf(vm *qf.VM) offerKey { return offerKey{zone: vm.AvailabilityZone, class: vm.Class} }

// excess returns by how much each offer is above its planned count.
func excess(plan []OfferCount, have []qf.VM) map[offerKey]int {
	over := map[offerKey]int{}
	for i := range have {
		over[keyOf(&have[i])]++
	}
	for _, c := range plan {
		over[offerKey{zone: c.Offer.AvailabilityZone, class: c.Offer.Class}] -= c.VMs
	}
	return over
}

func without(vms []qf.VM, id qf.VMID) []qf.VM {
	rest := make([]qf.VM, 0, len(vms))
	for i := range vms {
		if vms[i].ID != id {
			rest = append(rest, vms[i])
		}
	}
	return rest
}
