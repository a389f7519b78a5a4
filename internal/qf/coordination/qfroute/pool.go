package qfroute

import (
	"math"
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
)

type poolKey struct {
	entry   qf.EntryName
	version qf.Version
}

// pool holds the endpoints of an entry, or of one of its versions, with what was
// learned about their speed.
type pool struct {
	members []*endpoint
	zones   []zoneGroup
	key     poolKey
	// perTokenSeconds is the time to compute a prompt token, betweenToken the time
	// from one token of an answer to the next, hold that from first token to end.
	perTokenSeconds    float64
	betweenToken, hold time.Duration
	// slow is the mean of the endpoints' slowness.
	slow float64
	// rate is this node's requests per second, as of rateAt; prefill the mean
	// time that a request needs for prefill, in seconds.
	rate    float64
	rateAt  time.Time
	prefill float64
}

// zoneGroup holds the members of a pool in one availability zone.
type zoneGroup struct {
	zone    qf.AvailabilityZone
	region  qf.Region
	members []*endpoint
}

func newPool(key poolKey) *pool {
	return &pool{key: key, perTokenSeconds: initialPerToken.Seconds(), betweenToken: initialBetweenToken, hold: initialHold, slow: 1}
}

// serves reports whether the pool's endpoints may answer a query.
func (p *pool) serves(query *qf.RouteQuery) bool {
	return p.key.entry == query.Request.Entry && (query.Version == "" || p.key.version == query.Version)
}

// clear empties the pool, but keeps what was learned.
func (p *pool) clear() {
	p.members = p.members[:0]
	p.zones = p.zones[:0]
}

func (p *pool) add(e *endpoint) {
	p.members = append(p.members, e)
	for i := range p.zones {
		if p.zones[i].zone == e.AvailabilityZone {
			p.zones[i].members = append(p.zones[i].members, e)
			return
		}
	}
	p.zones = append(p.zones, zoneGroup{zone: e.AvailabilityZone, region: e.Region, members: []*endpoint{e}})
}

const (
	// scanAtMost is the size up to which every member of a pool is compared.
	scanAtMost = 128
	// The samples of larger pools, for each availability zone.
	sampleZone, sampleRegion, sampleElsewhere = 40, 16, 3
	// maxCandidates bounds the endpoints that one choice compares.
	maxCandidates = 192
)

// sample fills the list with members: all of a small pool, else some of each
// availability zone and more of the near ones.
func (p *pool) sample(list []*endpoint, query *qf.RouteQuery, random *rand.Rand) []*endpoint {
	if len(p.members) <= scanAtMost {
		return append(list, p.members...)
	}
	for i := range p.zones {
		z := &p.zones[i]
		count := sampleElsewhere
		switch {
		case z.zone == query.FromZone:
			count = sampleZone
		case z.region == query.FromRegion:
			count = sampleRegion
		}
		for range min(count, len(z.members), maxCandidates-len(list)) {
			list = append(list, z.members[random.IntN(len(z.members))])
		}
	}
	return list
}

// rateWindow is the time over which a pool's rate of requests is averaged.
const rateWindow = 2 * time.Second

// count notes one request.
func (p *pool) count(now time.Time, prefill time.Duration) {
	p.rate = p.rateOf(now) + 1/rateWindow.Seconds()
	p.rateAt = now
	p.prefill += (prefill.Seconds() - p.prefill) / prefillSamples
}

const prefillSamples = 64

func (p *pool) rateOf(now time.Time) float64 {
	return p.rate * math.Exp(-now.Sub(p.rateAt).Seconds()/rateWindow.Seconds())
}
