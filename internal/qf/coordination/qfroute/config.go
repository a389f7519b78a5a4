package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
)

// Config holds what a predictive router is told about the deployment.
type Config struct {
	// ZoneDelay and RegionDelay are the one-way delays between availability zones
	// of a region and between regions.
	ZoneDelay, RegionDelay time.Duration
	// TrafficPrice is the price of a gibibyte between regions, in thousandths of
	// the currency unit.
	TrafficPrice float64
	// UncachedTokenPrice is the price of a token that has to be computed although some endpoint
	// has it cached, in thousandths of the currency unit.
	UncachedTokenPrice float64
	// CacheMaxAge is how long the prefix index trusts what it last saw.
	CacheMaxAge time.Duration
	// CachePrefixes is the number of prefixes that the index has room for.
	CachePrefixes int
}

// DefaultConfig returns a configuration for three regions and small fleets.
func DefaultConfig() Config {
	return Config{
		ZoneDelay: 1500 * time.Microsecond, RegionDelay: 30 * time.Millisecond,
		TrafficPrice: 80, CacheMaxAge: 5 * time.Minute, CachePrefixes: 1 << 15,
	}
}

const (
	gibibyte      = 1 << 30
	bytesPerToken = 4
	// defaultPrice is the price of an hour of a VM whose price isn't known.
	defaultPrice = 2000
	// decodeBatch is the number of requests that share an engine's decode steps
	// when it is busy.
	decodeBatch = 16
	// runningCost is the time that each running request adds to a first token.
	runningCost = 500 * time.Microsecond

	initialPerToken     = 100 * time.Microsecond
	initialBetweenToken = 20 * time.Millisecond
	initialHold         = 3 * time.Second
)

// secondPrice is what a second of waiting for the first token is worth, in
// thousandths of the currency unit. It decides how much time a router spends to
// save money.
func secondPrice(class qf.Class) float64 {
	switch class {
	case qf.ClassCritical:
		return 20
	case qf.ClassInteractive:
		return 5
	default:
		return 0.5
	}
}
