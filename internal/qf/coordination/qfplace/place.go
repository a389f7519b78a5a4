// Package qfplace decides in which places requests may be processed: the regions that routes and organisations allow, and
// the availability zones that the operator has evacuated. It does no I/O and reads no clock.
package qfplace

import (
	"slices"

	"quetzalfront/internal/qf"
)

// MayBeIn reports whether a request, its prompt, or a copy of either may be in a region.
func MayBeIn(residency *qf.Residency, region qf.Region) bool {
	return allows(residency.Route, region) && allows(residency.Organisation, region)
}

func allows(regions []qf.Region, region qf.Region) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// IsImpossible reports whether the route and the organisation have no region in common.
func IsImpossible(residency *qf.Residency) bool {
	return residency.IsLimited() && !slices.ContainsFunc(slices.Concat(residency.Route, residency.Organisation), func(region qf.Region) bool {
		return MayBeIn(residency, region)
	})
}

// Conflict is a route and an organisation whose regions have none in common: no request of the one on the other can be
// served.
type Conflict struct {
	Route        string
	Organisation qf.Organisation
	Residency    qf.Residency
}

// ListConflicts returns the conflicts of a configuration. Each is a mistake of the operator.
func ListConflicts(configuration *qf.Configuration) []Conflict {
	var conflicts []Conflict
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		for j := range configuration.Organisations {
			organisation := &configuration.Organisations[j]
			residency := qf.Residency{Route: route.Regions, Organisation: organisation.Regions}
			if IsImpossible(&residency) {
				conflicts = append(conflicts, Conflict{Route: route.Name, Organisation: organisation.Organisation, Residency: residency})
			}
		}
	}
	return conflicts
}
