package qffleet

import (
	"fmt"
	"math"
	"time"

	"quetzalfront/internal/qf"
)

// Settings holds the settings of a Planner.
type Settings struct {
	// HoldDown is how long the need must stay lower before VMs are drained.
	HoldDown time.Duration
	// Slack is the fraction of the plan by which the fleet may be too large before VMs
	// are drained.
	Slack float64
	// RefusalBackoff is how long an offer isn't used after the first refused start; it
	// doubles with each further refusal up to MaxRefusalBackoff.
	RefusalBackoff    time.Duration
	MaxRefusalBackoff time.Duration
	// MaxStartsPerPlan bounds the new starts of one plan for an entry.
	MaxStartsPerPlan int
}

// DefaultSettings returns the settings that nodes use.
func DefaultSettings() Settings {
	return Settings{
		HoldDown:          5 * time.Minute,
		Slack:             0.1,
		RefusalBackoff:    30 * time.Second,
		MaxRefusalBackoff: 10 * time.Minute,
		MaxStartsPerPlan:  8,
	}
}

// EntryNeed is the current need of one entry.
type EntryNeed struct {
	Entry   qf.EntryName
	Version qf.Version
	Role    qf.VMRole
	Need    Need
	// MinReplicas and MaxReplicas are the bounds in the catalogue; MaxReplicas 0 means
	// no upper bound.
	MinReplicas int
	MaxReplicas int
}

// View is the input of Planner.Plan. VMs come from the cloud API, which doesn't lag,
// so that a new planner counts the VMs that its predecessor started.
type View struct {
	Now    time.Time
	VMs    []qf.VM
	Prices []qf.Price
	Needs  []EntryNeed
}

// ActionKind says what an action does.
type ActionKind string

// The kinds of actions.
const (
	ActionStart ActionKind = "Start"
	// ActionDrain orders an endpoint to finish its requests and accept no new ones; its
	// VM is stopped once it is idle.
	ActionDrain ActionKind = "Drain"
)

// Action is the start or the drain of one VM.
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

// Planner computes the actions that bring the fleet to its plan. It isn't safe for
// concurrent use. A successor needs none of its state: it sees the VMs in the view.
type Planner struct {
	settings Settings
	// fencing is the fencing number of the lease under which the planner acts; it makes
	// the start tokens of two planners differ.
	fencing  qf.FencingNumber
	sequence int
	refused  map[offerKey]refusal
	rates    *ReclaimRates
	// surplusSince is when an entry's fleet was first found too large.
	surplusSince map[qf.EntryName]time.Time
	// unresolvedStarts holds the starts with an unknown outcome; they are repeated under
	// the same token.
	unresolvedStarts []qf.StartVMRequest
}

// NewPlanner returns a planner that acts under the fencing number of a lease.
func NewPlanner(settings Settings, fencing qf.FencingNumber) *Planner {
	return &Planner{
		settings: settings, fencing: fencing,
		refused:      map[offerKey]refusal{},
		rates:        NewReclaimRates(),
		surplusSince: map[qf.EntryName]time.Time{},
	}
}

// Plan returns the next actions.
func (p *Planner) Plan(view *View) []Action {
	p.rates.Observe(view.Now, view.VMs)
	actions := p.repeatUnresolved()
	for i := range view.Needs {
		actions = append(actions, p.planEntry(view, &view.Needs[i])...)
	}
	return actions
}

func (p *Planner) repeatUnresolved() []Action {
	var actions []Action
	for _, start := range p.unresolvedStarts {
		actions = append(actions, Action{Kind: ActionStart, Start: start, Reason: qf.Reason{Rule: "RepeatUnknownStart"}})
	}
	p.unresolvedStarts = nil
	return actions
}

// RecordStartResult records the outcome of a start.
func (p *Planner) RecordStartResult(now time.Time, start qf.StartVMRequest, certainty qf.Certainty) {
	key := offerKey{zone: start.AvailabilityZone, class: start.Class}
	switch certainty {
	case qf.Done:
		delete(p.refused, key)
	case qf.Unknown:
		p.unresolvedStarts = append(p.unresolvedStarts, start)
	default:
		known := p.refused[key]
		lasts := min(max(2*known.lasted, p.settings.RefusalBackoff), p.settings.MaxRefusalBackoff)
		p.refused[key] = refusal{until: now.Add(lasts), lasted: lasts}
	}
}

// offers returns the offers that can be bought now, with their observed reclaim
// rates.
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
	have := activeVMs(view.VMs, entry)
	if short := p.startMissing(entry, plan, have, need.Replicas); len(short) > 0 {
		delete(p.surplusSince, entry.Entry)
		return short
	}
	return p.drainSurplus(view.Now, entry, plan, have, need.Replicas)
}

// activeVMs returns the entry's VMs that are live or starting.
func activeVMs(vms []qf.VM, entry *EntryNeed) []qf.VM {
	var have []qf.VM
	for i := range vms {
		vm := &vms[i]
		if vm.Entry == entry.Entry && vm.Version == entry.Version && (vm.State == qf.VMLive || vm.State == qf.VMStarting) {
			have = append(have, *vm)
		}
	}
	return have
}

// survivors returns the number of VMs that remain after the loss of the zone with
// the most VMs.
func survivors(have []qf.VM) int {
	byZone := map[qf.AvailabilityZone]int{}
	largest := 0
	for i := range have {
		byZone[have[i].AvailabilityZone]++
		largest = max(largest, byZone[have[i].AvailabilityZone])
	}
	return len(have) - largest
}

// startMissing starts VMs until enough would remain after the loss of a zone. VMs in
// other zones than planned count: they aren't replaced for their price alone.
func (p *Planner) startMissing(entry *EntryNeed, plan []OfferCount, have []qf.VM, replicas int) []Action {
	var actions []Action
	fleet := append([]qf.VM(nil), have...)
	bound := plannedVMs(plan)
	for survivors(fleet) < replicas && len(actions) < p.settings.MaxStartsPerPlan && len(actions) < bound {
		offer, ok := mostMissing(plan, fleet)
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

// plannedVMs returns the number of VMs in a plan.
func plannedVMs(plan []OfferCount) int {
	n := 0
	for _, c := range plan {
		n += c.VMs
	}
	return n
}

// mostMissing returns the offer that is furthest below its planned count.
func mostMissing(plan []OfferCount, fleet []qf.VM) (Offer, bool) {
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

// drainSurplus drains VMs once the fleet has been too large for HoldDown, but never
// one without which the loss of a zone would leave too few.
func (p *Planner) drainSurplus(now time.Time, entry *EntryNeed, plan []OfferCount, have []qf.VM, replicas int) []Action {
	allowed := int(math.Ceil(float64(plannedVMs(plan)) * (1 + p.settings.Slack)))
	if (len(plan) == 0 && replicas > 0) || len(have) <= allowed {
		delete(p.surplusSince, entry.Entry)
		return nil
	}
	since, known := p.surplusSince[entry.Entry]
	if !known {
		p.surplusSince[entry.Entry] = now
		return nil
	}
	if now.Sub(since) < p.settings.HoldDown {
		return nil
	}
	return p.drain(plan, have, replicas)
}

// drain drains VMs one at a time from the offer that is furthest above its planned
// count, so that the zones stay even.
func (p *Planner) drain(plan []OfferCount, have []qf.VM, replicas int) []Action {
	var actions []Action
	fleet := have
	for len(fleet) > plannedVMs(plan) {
		i := mostSurplus(plan, fleet)
		rest := withoutVM(fleet, fleet[i].ID)
		if survivors(rest) < replicas {
			break
		}
		actions = append(actions, Action{Kind: ActionDrain, VM: fleet[i].ID, Reason: qf.Reason{
			Rule:    "Surplus",
			Figures: []qf.Figure{{Name: "VMs", Value: float64(len(fleet))}, {Name: "Planned", Value: float64(plannedVMs(plan))}},
		}})
		fleet = rest
	}
	return actions
}

// mostSurplus returns the index of a VM of the offer that is furthest above its
// planned count.
func mostSurplus(plan []OfferCount, fleet []qf.VM) int {
	over := surplusByOffer(plan, fleet)
	best := 0
	for i := range fleet {
		if over[keyOf(&fleet[i])] > over[keyOf(&fleet[best])] {
			best = i
		}
	}
	return best
}

func keyOf(vm *qf.VM) offerKey { return offerKey{zone: vm.AvailabilityZone, class: vm.Class} }

// surplusByOffer returns by how much each offer is above its planned count.
func surplusByOffer(plan []OfferCount, have []qf.VM) map[offerKey]int {
	over := map[offerKey]int{}
	for i := range have {
		over[keyOf(&have[i])]++
	}
	for _, c := range plan {
		over[offerKey{zone: c.Offer.AvailabilityZone, class: c.Offer.Class}] -= c.VMs
	}
	return over
}

func withoutVM(vms []qf.VM, id qf.VMID) []qf.VM {
	rest := make([]qf.VM, 0, len(vms))
	for i := range vms {
		if vms[i].ID != id {
			rest = append(rest, vms[i])
		}
	}
	return rest
}
