package qfroute

import (
	"math"
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
)

// poolKey identifies a pool. The version is empty for the pool of all versions.
type poolKey struct {
	entry   qf.EntryName
	version qf.Version
}

// pool holds the endpoints of an entry, or of one of its versions, and the estimates of
// their speed.
type pool struct {
	members []*endpoint
	zones   []zoneGroup
	key     poolKey
	// perTokenSeconds is the time to compute a prompt token, betweenToken the time from
	// one token of an answer to the next, and decodeTime that from first token to end.
	perTokenSeconds          float64
	betweenToken, decodeTime time.Duration
	// perTokenSamples is the weight of perTokenSeconds in samples, at most poolSamples. It
	// is low at first, so that the initial guess is soon replaced by what is measured.
	perTokenSamples int
	// slowdown is the moving average of the endpoints' slowdown.
	slowdown float64
	// isUneven is set once a member has stated the noise of its machine. Its members' times are then kept apart by
	// their causes.
	isUneven bool
	// deviation is the moving average of the members' deviations.
	deviation float64
	// serviceSeconds is the part of the time to first token that doesn't depend on the prompt, and serviceCount its
	// weight in answers. Both are 0 unless the pool is uneven.
	serviceSeconds float64
	serviceCount   int
	// meanOthers is the mean number of requests of other nodes at an endpoint of an uneven pool.
	meanOthers float64
	// meanTokens is the mean number of tokens of a request.
	meanTokens float64
	// rate is this node's requests per second, as of rateAt; prefillSeconds is the mean
	// prefill time of a request.
	rate           float64
	rateAt         time.Time
	prefillSeconds float64
}

// zoneGroup holds the members of a pool in one availability zone.
type zoneGroup struct {
	zone    qf.AvailabilityZone
	region  qf.Region
	members []*endpoint
}

func newPool(key poolKey) *pool {
	return &pool{key: key, perTokenSeconds: initialPerToken.Seconds(), betweenToken: initialBetweenToken, decodeTime: initialDecodeTime, slowdown: 1}
}

// serves reports whether the pool's endpoints may answer a query.
func (p *pool) serves(query *qf.RouteQuery) bool {
	return p.key.entry == query.Request.Entry && (query.Version == "" || p.key.version == query.Version)
}

// clear removes the members, but keeps the estimates.
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
	// fullScanLimit is the size up to which every member of a pool is compared.
	fullScanLimit = 128
	// The numbers of endpoints sampled from larger pools for each availability zone: the
	// node's own, others of its region, and those of other regions.
	zoneSample, regionSample, remoteSample = 40, 16, 3
	// maxCandidates bounds the endpoints that one choice compares.
	maxCandidates = 192
)

// sample appends members to the list: all of a small pool, otherwise a random sample of
// each availability zone, larger for the near ones.
func (p *pool) sample(list []*endpoint, query *qf.RouteQuery, random *rand.Rand) []*endpoint {
	if len(p.members) <= fullScanLimit {
		return append(list, p.members...)
	}
	for i := range p.zones {
		z := &p.zones[i]
		count := remoteSample
		switch {
		case z.zone == query.FromZone:
			count = zoneSample
		case z.region == query.FromRegion:
			count = regionSample
		}
		for range min(count, len(z.members), maxCandidates-len(list)) {
			list = append(list, z.members[random.IntN(len(z.members))])
		}
	}
	return list
}

// rateWindow is the time over which a pool's rate of requests is averaged.
const rateWindow = 2 * time.Second

// recordRequest updates the rate and the mean prefill time with one request.
func (p *pool) recordRequest(now time.Time, prefill time.Duration) {
	p.rate = p.requestRate(now) + 1/rateWindow.Seconds()
	p.rateAt = now
	p.prefillSeconds += (prefill.Seconds() - p.prefillSeconds) / prefillSamples
}

// prefillSamples is the number whose inverse is a new sample's weight in prefillSeconds.
const prefillSamples = 64

// requestRate returns the rate with exponential decay since the last request.
func (p *pool) requestRate(now time.Time) float64 {
	return p.rate * math.Exp(-now.Sub(p.rateAt).Seconds()/rateWindow.Seconds())
}
