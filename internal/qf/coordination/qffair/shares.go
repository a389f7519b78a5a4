package qffair

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// minHeadroom is the part by which more is let through of what is granted less than it asks for, so that room that becomes free is noticed. It grows to
	// maxHeadroom while everything that is let through finds room, and doubles in headroomDoubling.
	minHeadroom      = 0.03
	maxHeadroom      = 1.0
	headroomDoubling = time.Second
	// roomyRefusals is the part of what is let through that may be refused for want of room while there is room for more.
	roomyRefusals = 0.004
	// spareQueue is the part of the longest queue in which a request may wait up to which there is room for all.
	spareQueue = 0.03
	// targetQueue is the part at which a request is admitted with just the fraction that the division gives. It follows the queue by queueGain,
	// so that queues are full enough to use the room and no request of those who get their shares finds them too long.
	targetQueue = 0.15
	queueGain   = 3.0
	// leastRoom is the room, as a part of what is asked for, that is assumed even if nothing found any.
	leastRoom = 0.1
	// planLifetime is how long a division is used before it is computed again.
	planLifetime = 200 * time.Millisecond
	// newsLifetime is the age from which tallies aren't used.
	newsLifetime = 3 * time.Second
	// demandLifetime is how many windows after its last request a demand counts.
	demandLifetime = 3
	// objectiveLifetime is how long an objective is used after a request with it.
	objectiveLifetime = 5 * time.Second
	// shortageHold is how long nothing must be withheld until a shortage has ended.
	shortageHold = 5 * time.Second

	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Result is what became of a request.
type Result string

// The results of requests.
const (
	// ResultAdmitted means that it found room, ResultFull that it didn't.
	ResultAdmitted Result = "Admitted"
	ResultFull     Result = "Full"
	// ResultWithheld means that it was refused so that others get their shares.
	ResultWithheld Result = "Withheld"
)

// Rule is the reason of a decision.
type Rule string

// The rules of decisions.
const (
	// RuleNoShortage means that there is room for all that the organisation asks for at the rank.
	RuleNoShortage Rule = "WithinShare"
	// RuleSpare means that the queue is so short that there is room for all.
	RuleSpare Rule = "SpareRoom"
	// RuleShare means that the organisation asks for more than the level of its rank, RuleRank that more urgent
	// ranks leave too little.
	RuleShare Rule = "AboveFairShare"
	RuleRank  Rule = "BehindMoreUrgent"
)

// View says from which nodes' counts a decision was made.
type View string

// The views.
const (
	ViewFleet View = "Fleet"
	ViewOwn   View = "Own"
)

// Decision says whether a request may look for room, and why.
type Decision struct {
	IsAdmitted bool
	Rule       Rule
	// Fraction is the part of such requests that is admitted.
	Fraction float64
	// Level is what the rank's organisations get for a weight of 1, Share what this organisation gets and Demand what
	// it asks for, in units per second as counted by the nodes of the view.
	Level, Share, Demand float64
	View                 View
	// Age is the age of the newest tally; it is negative if there is none.
	Age time.Duration
	// RetryAfter is set if the request isn't admitted.
	RetryAfter time.Duration
}

// String renders the decision for the log.
func (d *Decision) String() string {
	news := "no news of other nodes"
	if d.Age >= 0 {
		news = fmt.Sprintf("news %v old", d.Age.Round(time.Millisecond))
	}
	return fmt.Sprintf("%s: level %.1f, share %.1f of %.1f asked for per second, %.3f admitted, view %s, %s",
		d.Rule, d.Level, d.Share, d.Demand, d.Fraction, d.View, news)
}

// Outcome is what has changed about a shortage.
type Outcome string

// The outcomes. The last two mean that a shortage that goes on is judged from another view.
const (
	OutcomeBegan     Outcome = "Began"
	OutcomeEnded     Outcome = "Ended"
	OutcomeOwnView   Outcome = "OwnView"
	OutcomeFleetView Outcome = "FleetView"
)

// Change says that a shortage has begun or ended, or that its view has changed.
type Change struct {
	Entry   qf.EntryName
	Outcome Outcome
	// Asked, Admitted and Withheld are units per second as counted by the nodes of the view.
	Asked, Admitted, Withheld float64
	View                      View
	// Age is the age of the newest tally; it is negative if there is none.
	Age time.Duration
}

// String renders the figures for the log.
func (c *Change) String() string {
	return fmt.Sprintf("%.1f units per second asked for, %.1f admitted, %.1f withheld, view %s", c.Asked, c.Admitted, c.Withheld, c.View)
}

// plan is the division of an entry's room.
type plan struct {
	at time.Time
	// short holds the demands that are granted less than they ask for.
	short map[Key]Decision
	// objectives holds the shortest recent objective of each rank.
	objectives map[int]time.Duration
	// sum is that of all demands in the window.
	sum      amounts
	window   time.Duration
	view     View
	headroom float64
	// isShort is true from the first withheld demand until shortageHold after the last, at shortAt.
	isShort bool
	shortAt time.Time
}

// Shares decides which requests are admitted in a shortage. It isn't safe for concurrent use.
type Shares struct {
	tallies tallies
	weights map[qf.Organisation]float64
	plans   map[qf.EntryName]*plan
	changes []Change
}

// NewShares returns shares without demands and with equal weights.
func NewShares() *Shares {
	return &Shares{tallies: newTallies(), plans: map[qf.EntryName]*plan{}}
}

// SetOrganisations sets the weights: the rates of the quotas if all have one in the same unit, else they are equal.
func (s *Shares) SetOrganisations(organisations []qf.OrganisationSettings) {
	s.weights = nil
	sum := 0.0
	for i := range organisations {
		o := &organisations[i]
		if o.UnitsPerSecond <= 0 || o.CountsTokens != organisations[0].CountsTokens {
			return
		}
		sum += o.UnitsPerSecond
	}
	s.weights = make(map[qf.Organisation]float64, len(organisations))
	for i := range organisations {
		o := &organisations[i]
		s.weights[o.Organisation] = o.UnitsPerSecond * float64(len(organisations)) / sum
	}
}

// weight returns an organisation's weight. The mean is 1.
func (s *Shares) weight(organisation qf.Organisation) float64 {
	if weight, ok := s.weights[organisation]; ok {
		return weight
	}
	return 1
}

// RecordRequest counts a request and what became of it.
func (s *Shares) RecordRequest(now time.Time, key Key, units float64, result Result) {
	counted := amounts{asked: units}
	switch result {
	case ResultAdmitted:
		counted.admitted = units
	case ResultWithheld:
		counted.withheld = units
	}
	s.tallies.record(now, key, counted)
}

// MergeTally adds the demands of a received tally.
func (s *Shares) MergeTally(now time.Time, from *qf.TallySource, demands []qf.RankDemand) {
	s.tallies.merge(now, from, demands)
}

// ReportDemands returns the demands for a tally to a node.
func (s *Shares) ReportDemands(now time.Time, scope qf.TallyScope, to qf.NodeID) []qf.RankDemand {
	return s.tallies.report(now, scope, to)
}

// LimitObjective returns the time within which a request's first token has to come for it to be admitted. In a shortage that is no longer than
// what requests of the same or a more urgent rank have asked for, or those that can wait longer would fill the queues first.
func (s *Shares) LimitObjective(now time.Time, key Key, objective time.Duration) time.Duration {
	p := s.currentPlan(now, key.Entry)
	if !p.isShort {
		return objective
	}
	for rank, shortest := range p.objectives {
		if rank <= key.Rank {
			objective = min(objective, shortest)
		}
	}
	return objective
}

// RecordObjective records the objective of a request.
func (s *Shares) RecordObjective(now time.Time, key Key, objective time.Duration) {
	d := s.tallies.demand(key)
	if objective <= d.objective || now.Sub(d.objectiveAt) > objectiveLifetime {
		d.objective, d.objectiveAt = objective, now
	}
}

// UnknownQueue is the queue of requests for which none is predicted.
const UnknownQueue = -1.0

// DecideRequest decides whether a request is admitted. The queue is the predicted one as a part of the longest in which it may wait. It draws from the generator only if the fleet can't serve all that the organisation asks for.
func (s *Shares) DecideRequest(now time.Time, key Key, queue float64, random *rand.Rand) Decision {
	p := s.currentPlan(now, key.Entry)
	decision, isShort := p.short[key]
	if !isShort {
		return Decision{IsAdmitted: true, Rule: RuleNoShortage, Fraction: 1, View: p.view, Age: s.newsAge(now)}
	}
	decision.View, decision.Age = p.view, s.newsAge(now)
	if queue >= 0 {
		decision.Fraction = min(decision.Fraction*math.Exp(queueGain*(targetQueue-queue)), 1)
	}
	decision.IsAdmitted = random.Float64() < decision.Fraction
	if !decision.IsAdmitted && queue >= 0 && queue < spareQueue {
		decision.IsAdmitted, decision.Rule = true, RuleSpare
	}
	if !decision.IsAdmitted {
		decision.RetryAfter = p.retryAfter(random)
	}
	return decision
}

// retryAfter returns a time within that in which the room would serve what was refused a short time ago.
func (p *plan) retryAfter(random *rand.Rand) time.Duration {
	refused := p.sum.asked - p.sum.admitted
	needed := p.window.Seconds() * refused / max(p.sum.admitted, leastRoom*p.sum.asked)
	spread := min(max(time.Duration(needed*float64(time.Second)), minRetryAfter), maxRetryAfter-minRetryAfter)
	return minRetryAfter + time.Duration(random.Float64()*float64(spread))
}

// newsAge returns the age of the newest tally, or a negative time if there is none.
func (s *Shares) newsAge(now time.Time) time.Duration {
	if s.tallies.heardAt.IsZero() {
		return -1
	}
	return now.Sub(s.tallies.heardAt)
}

// currentPlan returns the division of an entry's room, and computes it again if it is old.
func (s *Shares) currentPlan(now time.Time, entry qf.EntryName) *plan {
	p := s.plans[entry]
	if p == nil {
		p = &plan{headroom: minHeadroom}
		s.plans[entry] = p
	}
	if p.at.IsZero() || now.Sub(p.at) >= planLifetime {
		s.updatePlan(now, entry, p)
	}
	return p
}

func (s *Shares) updatePlan(now time.Time, entry qf.EntryName, p *plan) {
	view := p.view
	p.view, p.window = ViewOwn, ownWindow
	if age := s.newsAge(now); age >= 0 && age <= newsLifetime {
		p.view, p.window = ViewFleet, fleetWindow
	}
	demands := s.listDemands(now, entry, p)
	p.setHeadroom(now)
	room := max(p.sum.admitted, p.sum.asked*leastRoom)
	p.at, p.short = now, nil
	if p.sum.asked > room*(1+p.headroom) {
		p.divide(entry, room, demands)
		p.shortAt = now
	}
	wasShort := p.isShort
	p.isShort = len(p.short) > 0 || wasShort && now.Sub(p.shortAt) < shortageHold
	switch {
	case p.isShort && !wasShort:
		s.recordChange(now, entry, OutcomeBegan)
	case wasShort && !p.isShort:
		s.recordChange(now, entry, OutcomeEnded)
	case p.isShort && view != p.view && p.view == ViewOwn:
		s.recordChange(now, entry, OutcomeOwnView)
	case p.isShort && view != p.view:
		s.recordChange(now, entry, OutcomeFleetView)
	}
}

func (s *Shares) recordChange(now time.Time, entry qf.EntryName, outcome Outcome) {
	p := s.plans[entry]
	seconds := p.window.Seconds()
	s.changes = append(s.changes, Change{
		Entry: entry, Outcome: outcome, View: p.view, Age: s.newsAge(now),
		Asked: p.sum.asked / seconds, Admitted: p.sum.admitted / seconds, Withheld: p.sum.withheld / seconds,
	})
}

// listDemands returns the demands of an entry as known in the plan's view, and sets their sum.
func (s *Shares) listDemands(now time.Time, entry qf.EntryName, p *plan) []Demand {
	var demands []Demand
	var keys []Key
	for key, d := range s.tallies.demands {
		if key.Entry == entry && now.Sub(d.askedAt) <= demandLifetime*p.window {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys) // Sums of floats depend on the order.
	p.sum, p.objectives = amounts{}, map[int]time.Duration{}
	for _, key := range keys {
		d := s.tallies.demands[key]
		if shortest, ok := p.objectives[key.Rank]; d.objective > 0 && now.Sub(d.objectiveAt) <= objectiveLifetime && (!ok || d.objective < shortest) {
			p.objectives[key.Rank] = d.objective
		}
		sum := &d.fleet
		if p.view == ViewOwn {
			sum = &d.own
		}
		sum.decay(now, p.window)
		if sum.asked <= 0 {
			continue
		}
		p.sum.add(sum.amounts)
		demands = append(demands, Demand{Rank: key.Rank, Organisation: key.Organisation, Weight: s.weight(key.Organisation), Asked: sum.asked})
	}
	return demands
}

// setHeadroom raises the headroom while all that is let through finds room.
func (p *plan) setHeadroom(now time.Time) {
	if p.sum.refusedPart() > roomyRefusals || p.at.IsZero() {
		p.headroom = minHeadroom
		return
	}
	doublings := now.Sub(p.at).Seconds() / headroomDoubling.Seconds()
	p.headroom = min(p.headroom*math.Pow(2, doublings), maxHeadroom)
}

// divide sets the demands that are granted less than they ask for.
func (p *plan) divide(entry qf.EntryName, room float64, demands []Demand) {
	levels := DivideRoom(room, demands)
	asked, granted := map[int]float64{}, map[int]float64{}
	for i := range demands {
		asked[demands[i].Rank] += demands[i].Asked
		granted[demands[i].Rank] += demands[i].Granted
	}
	p.short = map[Key]Decision{}
	for i := range demands {
		d := &demands[i]
		if d.Granted*(1+p.headroom) >= d.Asked {
			continue
		}
		decision := Decision{
			Rule: RuleShare, Fraction: d.Granted * (1 + p.headroom) / d.Asked,
			Level: levels[d.Rank] / p.window.Seconds(), Share: d.Granted / p.window.Seconds(), Demand: d.Asked / p.window.Seconds(),
		}
		if isFirst := d.Rank == demands[0].Rank; !isFirst && d.Granted*asked[d.Rank] >= granted[d.Rank]*d.Asked {
			decision.Rule = RuleRank
		}
		p.short[Key{Entry: entry, Rank: d.Rank, Organisation: d.Organisation}] = decision
	}
}

// TakeChanges returns the shortages that began or ended since the last call.
func (s *Shares) TakeChanges(now time.Time) []Change {
	for entry, p := range s.plans {
		if p.isShort {
			s.currentPlan(now, entry) // One that nobody asks for any more ends too.
		}
	}
	changes := s.changes
	s.changes = nil
	return changes
}
