package entry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qffair"
	"quetzalfront/internal/qf/state/qfevent"
)

// fairShares holds the shares of organisations and ranks. A nil one does nothing. The picker's lock guards it.
type fairShares struct {
	shares *qffair.Shares
	// random is a separate generator, so that the draws of other parts stay the same.
	random *rand.Rand
}

func newFairShares(self *qf.Node) *fairShares {
	return &fairShares{
		shares: qffair.NewShares(),
		random: rand.New(rand.NewPCG(xxhash.Sum64String(string(self.ID)), uint64(self.Incarnation))),
	}
}

// reportDemands returns the demands for a tally to a peer.
func (f *fairShares) reportDemands(now time.Time, scope qf.TallyScope, to qf.NodeID) []qf.RankDemand {
	if f == nil {
		return nil
	}
	return f.shares.ReportDemands(now, scope, to)
}

// mergeTally merges the demands of a peer's tally.
func (f *fairShares) mergeTally(now time.Time, source *qf.TallySource, demands []qf.RankDemand) {
	if f != nil {
		f.shares.MergeTally(now, source, demands)
	}
}

// setOrganisations sets the organisations of a configuration.
func (p *endpointPicker) setOrganisations(organisations []qf.OrganisationSettings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fair != nil {
		p.fair.shares.SetOrganisations(organisations)
	}
}

// fairCheck applies the shares to one request. Without fair shares, and for requests that are exempt, it only holds the objective.
type fairCheck struct {
	// fair is nil if the request is exempt.
	fair  *fairShares
	now   time.Time
	key   qffair.Key
	units float64
	// objective is the time within which the first token has to come for the request to be admitted.
	objective time.Duration
	hasPrompt bool
}

// beginFairCheck returns the check of a request. Exempt are retries and moves, which were admitted before, and the requests for endpoints
// that state rates or are brittle: these limits are divided between nodes, and a node refuses a part of the requests also while the fleet has
// room. The caller must hold p.mu.
func (p *endpointPicker) beginFairCheck(query *qf.PickQuery, entry qf.EntryName) fairCheck {
	check := fairCheck{now: query.Now, objective: query.Route.Objective}
	isFirst := query.Entry == "" && len(query.Excluded) == 0 && query.ResumeTokens == 0 && !query.IsRecheck
	if p.fair == nil || !isFirst || p.rooms.IsBrittle(p.clock.fleetTime(query.Now), entry) || slices.Contains(p.rates.ListEntries(), entry) {
		return check
	}
	check.fair, check.units = p.fair, 1
	check.key = qffair.Key{Entry: entry, Rank: query.Rank, Organisation: query.Organisation}
	if prompt := query.Prompt; prompt != nil {
		check.units, check.hasPrompt = max(float64(prompt.Tokens+prompt.MaxAnswerTokens), 1), true
		if check.objective > 0 {
			p.fair.shares.RecordObjective(query.Now, check.key, check.objective)
			check.objective = p.fair.shares.LimitObjective(query.Now, check.key, check.objective)
		}
	}
	return check
}

// check refuses the request if others have to get their shares first. The queue is the predicted one at the best endpoint.
func (c *fairCheck) check(queue, maxQueue time.Duration) error {
	if c.fair == nil {
		return nil
	}
	part := qffair.UnknownQueue // As of plain services.
	if c.hasPrompt && maxQueue > 0 {
		part = queue.Seconds() / maxQueue.Seconds()
	}
	decision := c.fair.shares.DecideRequest(c.now, c.key, part, c.fair.random)
	if decision.IsAdmitted {
		return nil
	}
	c.fair.shares.RecordRequest(c.now, c.key, c.units, qffair.ResultWithheld)
	return &qf.Error{
		Code: qf.CodeOverloaded, Step: qf.StepRoute, Reason: "the entry has too little room, and others have to get their shares", Ran: qf.RanNo,
		RetryAfter: decision.RetryAfter,
		Cause:      fmt.Errorf("%s at %s, rank %d: %s", c.key.Organisation, c.key.Entry, c.key.Rank, decision.String()),
	}
}

// recordRefusal counts the request as refused for want of room, if it was, and returns the error.
func (c *fairCheck) recordRefusal(err error) error {
	if c.fair != nil && errors.Is(err, &qf.Error{Code: qf.CodeOverloaded}) {
		c.fair.shares.RecordRequest(c.now, c.key, c.units, qffair.ResultFull)
	}
	return err
}

// recordAdmission counts the request as admitted.
func (c *fairCheck) recordAdmission() {
	if c.fair != nil {
		c.fair.shares.RecordRequest(c.now, c.key, c.units, qffair.ResultAdmitted)
	}
}

// takeShortages returns the changes of shortages since the last call.
func (p *endpointPicker) takeShortages(now time.Time) []qffair.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fair == nil {
		return nil
	}
	return p.fair.shares.TakeChanges(now)
}

// logShortages logs the shortages that began or ended, and changes of the view from which they are judged.
func (e *Entry) logShortages() {
	for _, change := range e.picker.takeShortages(e.now()) {
		qfevent.EntryShort.Log(&e.platform.Logger, change.Entry, change.Outcome, change.String(), change.Age.String())
	}
}
