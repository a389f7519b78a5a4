package qfsettings

import (
	"quetzalfront/internal/qf/coordination/qflimit"
	"quetzalfront/internal/qf/coordination/qfroute"
)

// Config returns the router's configuration.
func (r *RouteSettings) Config() qfroute.Config {
	return qfroute.Config{
		ZoneDelay: r.ZoneDelay.Value(), RegionDelay: r.RegionDelay.Value(), TrafficPrice: r.TrafficPrice,
		CacheMaxAge: r.CacheFor.Value(), CachePrefixes: r.CachePrefixes,
	}
}

// GuardConfig returns the configuration of admission.
func (s *Settings) GuardConfig() qflimit.GuardConfig {
	return qflimit.GuardConfig{
		InteractiveQueue: s.Overload.InteractiveQueue.Value(),
		BatchQueue:       s.Overload.BatchQueue.Value(),
		MaxInProgress:    s.Request.MaxInProgress,
	}
}
