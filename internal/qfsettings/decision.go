package qfsettings

import (
	"quetzalfront/internal/qf/coordination/qflimit"
	"quetzalfront/internal/qf/coordination/qfroute"
)

// RouterConfig returns the router's configuration.
func (r *RouteSettings) RouterConfig() qfroute.Config {
	return qfroute.Config{
		ZoneDelay: r.ZoneDelay.Value(), RegionDelay: r.RegionDelay.Value(), TrafficPrice: r.TrafficPrice,
		CacheMaxAge: r.CacheFor.Value(), CachePrefixes: r.CachePrefixes,
	}
}

// AdmissionConfig returns the configuration of admission.
func (s *Settings) AdmissionConfig() qflimit.GuardConfig {
	return qflimit.GuardConfig{
		InteractiveQueue: s.Overload.InteractiveQueue.Value(),
		BatchQueue:       s.Overload.BatchQueue.Value(),
		MaxInProgress:    s.Request.MaxInProgress,
	}
}
