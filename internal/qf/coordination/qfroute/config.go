package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
)

// Config holds a predictive router's settings for the deployment.
type Config struct {
	// ZoneDelay and RegionDelay are the one-way delays between availability zones
	// of a region and between regions.
	ZoneDelay, RegionDelay time.Duration
	// TrafficPrice is the price of a gibibyte of traffic between regions, in thousandths of
	// the currency unit.
	TrafficPrice float64
	// UncachedTokenPrice is the price of computing a prompt token that the chosen endpoint
	// doesn't have cached although another may have, in thousandths of the currency unit.
	UncachedTokenPrice float64
	// CacheMaxAge is how long after the last event for a prefix the index assumes that the
	// prefix is still cached.
	CacheMaxAge time.Duration
	// CachePrefixes is the capacity of the prefix index.
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
	// defaultPrice is the hourly price assumed for a VM without a listed price, in
	// thousandths of the currency unit.
	defaultPrice = 2000
	// decodeBatch is the number of requests that share a decode step of a busy engine.
	decodeBatch = 16
	// runningDelay is the time that each running request adds to the time to first token.
	runningDelay = 500 * time.Microsecond

	// The predictions of a pool before its first samples.
	initialPerToken     = 100 * time.Microsecond
	initialBetweenToken = 20 * time.Millisecond
	initialDecodeTime   = 3 * time.Second
)

// latencyPrice returns the cost assigned to a second of time to first token, in
// thousandths of the currency unit. It sets how the router trades latency for cost.
func latencyPrice(class qf.Class) float64 {
	switch class {
	case qf.ClassCritical:
		return 20
	case qf.ClassInteractive:
		return 5
	default:
		return 0.5
	}
}
