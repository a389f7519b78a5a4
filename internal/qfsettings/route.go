package qfsettings

import (
	"quetzalfront/internal/qf/coordination/qfroute"
	"quetzalfront/internal/qf/state/qfdocument"
)

// RouteSettings describe the links and the prices that routing weighs.
type RouteSettings struct {
	// ZoneDelay and RegionDelay are the one-way delays between availability zones
	// of a region and between regions.
	ZoneDelay   qfdocument.Duration `validate:"gte=0"`
	RegionDelay qfdocument.Duration `validate:"gte=0"`
	// TrafficPrice is the price of a gibibyte between regions, in thousandths of
	// the currency unit.
	TrafficPrice float64 `validate:"gte=0"`
	// CacheFor is how long a cached prefix is believed in without news of it.
	CacheFor qfdocument.Duration `validate:"gt=0"`
	// CachePrefixes is the number of prefixes that the index has room for.
	CachePrefixes int `validate:"min=1,max=1048576"`
}

// Config returns the router's configuration.
func (r *RouteSettings) Config() qfroute.Config {
	return qfroute.Config{
		ZoneDelay: r.ZoneDelay.Value(), RegionDelay: r.RegionDelay.Value(), TrafficPrice: r.TrafficPrice,
		CacheFor: r.CacheFor.Value(), CachePrefixes: r.CachePrefixes,
	}
}
