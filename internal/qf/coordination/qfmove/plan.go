// Package qfmove plans how streams are migrated from endpoints that will be reclaimed:
// which finish where they are, which are moved with their KV cache, which are resumed
// from their text, and to which endpoints they go. It does no I/O and reads no clock.
package qfmove

import (
	"cmp"
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// Method is how a stream is migrated.
type Method string

// The methods.
const (
	// MethodStay leaves the stream where it is, because it ends before the reclaim.
	MethodStay Method = "Stay"
	// MethodExport transfers the KV cache, so that nothing is computed again.
	MethodExport Method = "Export"
	// MethodResume has the destination compute the prompt and the text so far again.
	MethodResume Method = "Resume"
)

// Stream is one answer in progress at a departing endpoint.
type Stream struct {
	Request  qf.RequestID
	Endpoint qf.Endpoint
	Priority int
	// ReclaimAt is when the endpoint is reclaimed.
	ReclaimAt time.Time
	// BytesPerSecond is the part of the endpoint's bandwidth that this node may use.
	BytesPerSecond uint64
	// Computed is the number of tokens in the KV cache: those of the prompt and of
	// the answer so far.
	Computed int
	// Remaining bounds the number of tokens still to be generated.
	Remaining int
	// TokenInterval is the time between two tokens, or 0 if it isn't known yet.
	TokenInterval time.Duration
}

// Destination is an endpoint to which streams may be moved.
type Destination struct {
	Endpoint qf.Endpoint
	// Running is the number of requests that the endpoint is known to run.
	Running int
}

// Network holds the cost of transferring KV cache.
type Network struct {
	BytesPerToken uint64
	// PerExport is the time that each export takes in addition to its bytes.
	PerExport time.Duration
	// Margin is the time before the reclaim by which exports must be complete.
	Margin time.Duration
}

// Move is the plan for one stream.
type Move struct {
	Request qf.RequestID
	Method  Method
	// To is the zero value for MethodStay, or if no destination is known; the router
	// then chooses when the stream is resumed.
	To     qf.Endpoint
	Reason qf.Reason
}

// Plan decides how each stream is migrated. Moves are returned in the order in which they
// must start. Destinations must not include endpoints under notice. A zone with VMs under
// notice is used only if there is no other: a wave of reclaims takes whole zones, and its
// notices arrive one after the other.
func Plan(now time.Time, streams []Stream, destinations []Destination, network Network) []Move {
	p := newPlanner(now, streams, destinations, network)
	ordered := slices.Clone(streams)
	slices.SortStableFunc(ordered, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(network.tokensPerSecond(&b), network.tokensPerSecond(&a)), cmp.Compare(b.Priority, a.Priority),
			cmp.Compare(a.Request, b.Request))
	})
	var moves, resumes []Move
	for i := range ordered {
		move := p.plan(&ordered[i])
		if move.Method == MethodResume {
			resumes = append(resumes, move)
			continue
		}
		moves = append(moves, move)
	}
	// Resumptions don't use the departing endpoint, so all start at once; exports wait for
	// each other.
	return append(resumes, moves...)
}

// tokensPerSecond returns the number of computed tokens that an export saves for each
// second of the endpoint's link.
func (n *Network) tokensPerSecond(s *Stream) float64 {
	took := n.transferTime(s)
	if took <= 0 {
		return 0
	}
	return float64(s.Computed) / took.Seconds()
}

func (n *Network) transferTime(s *Stream) time.Duration {
	if s.BytesPerSecond == 0 {
		return 0
	}
	bytes := float64(s.Computed) * float64(n.BytesPerToken)
	return n.PerExport + time.Duration(bytes/float64(s.BytesPerSecond)*float64(time.Second))
}

// planner holds the state of one call of Plan.
type planner struct {
	now          time.Time
	network      Network
	destinations []Destination
	// assigned counts the streams assigned to each destination.
	assigned map[qf.EndpointID]int
	// exportEnd and importEnd hold the times until which an endpoint's link is reserved.
	exportEnd, importEnd map[qf.EndpointID]time.Time
	// departingZones holds the zones with a departing endpoint.
	departingZones map[qf.AvailabilityZone]bool
}

func newPlanner(now time.Time, streams []Stream, destinations []Destination, network Network) *planner {
	p := &planner{
		now: now, network: network, destinations: destinations, assigned: map[qf.EndpointID]int{},
		exportEnd: map[qf.EndpointID]time.Time{}, importEnd: map[qf.EndpointID]time.Time{},
		departingZones: map[qf.AvailabilityZone]bool{},
	}
	for i := range streams {
		p.departingZones[streams[i].Endpoint.AvailabilityZone] = true
	}
	return p
}

func (p *planner) plan(s *Stream) Move {
	left := s.ReclaimAt.Sub(p.now) - p.network.Margin
	needed := time.Duration(s.Remaining) * s.TokenInterval
	figures := []qf.Figure{
		{Name: "SecondsLeft", Value: left.Seconds()},
		{Name: "SecondsNeeded", Value: needed.Seconds()},
		{Name: "ComputedTokens", Value: float64(s.Computed)},
	}
	if s.TokenInterval > 0 && needed <= left {
		return Move{Request: s.Request, Method: MethodStay, Reason: qf.Reason{Rule: "EndsBeforeReclaim", Figures: figures}}
	}
	if to, ok := p.export(s); ok {
		return Move{Request: s.Request, Method: MethodExport, To: to, Reason: qf.Reason{Rule: "MostTokensPerSecond", Figures: figures}}
	}
	move := Move{Request: s.Request, Method: MethodResume, Reason: qf.Reason{Rule: "NoTimeToExport", Figures: figures}}
	if d := p.choose(s); d != nil {
		move.To = d.Endpoint
		p.assigned[d.Endpoint.ID]++
	}
	return move
}

// export chooses a destination and reserves the links for one export, if it ends in time.
func (p *planner) export(s *Stream) (qf.Endpoint, bool) {
	d := p.choose(s)
	if d == nil || s.BytesPerSecond == 0 {
		return qf.Endpoint{}, false
	}
	begin := p.now
	if end := p.exportEnd[s.Endpoint.ID]; end.After(begin) {
		begin = end
	}
	if end := p.importEnd[d.Endpoint.ID]; end.After(begin) {
		begin = end
	}
	end := begin.Add(p.network.transferTime(s))
	if end.After(s.ReclaimAt.Add(-p.network.Margin)) {
		return qf.Endpoint{}, false
	}
	p.exportEnd[s.Endpoint.ID] = end
	p.importEnd[d.Endpoint.ID] = end
	p.assigned[d.Endpoint.ID]++
	return d.Endpoint, true
}

// choose returns the destination with the fewest requests. Zones without departing
// endpoints come first, the stream's region is preferred by otherRegionPenalty, and ties
// are broken by identifier. KV cache fits only the same version; moves to another version
// are left to the router.
func (p *planner) choose(s *Stream) *Destination {
	var best *Destination
	for i := range p.destinations {
		d := &p.destinations[i]
		e := &d.Endpoint
		if e.Entry != s.Endpoint.Entry || e.Version != s.Endpoint.Version {
			continue
		}
		if best == nil || p.isBetter(s, d, best) {
			best = d
		}
	}
	return best
}

// otherRegionPenalty is how many more requests a destination in the stream's region may
// have than one in another region, to which traffic is slow and charged.
const otherRegionPenalty = 4

func (p *planner) isBetter(s *Stream, a, b *Destination) bool {
	aDeparts, bDeparts := p.departingZones[a.Endpoint.AvailabilityZone], p.departingZones[b.Endpoint.AvailabilityZone]
	if aDeparts != bDeparts {
		return bDeparts
	}
	if c := cmp.Compare(p.load(s, a), p.load(s, b)); c != 0 {
		return c < 0
	}
	return a.Endpoint.ID < b.Endpoint.ID
}

func (p *planner) load(s *Stream, d *Destination) int {
	load := d.Running + p.assigned[d.Endpoint.ID]
	if d.Endpoint.Region != s.Endpoint.Region {
		load += otherRegionPenalty
	}
	return load
}
