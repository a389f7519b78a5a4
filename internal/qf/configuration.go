package qf

import (
	"time"
)

// RouteKind states whether a route's requests may be repeated.
type RouteKind string

// The kinds of routes.
const (
	// RouteRepeatable requests are idempotent.
	RouteRepeatable RouteKind = "Repeatable"
	// RouteOnceOnly requests run at most once.
	RouteOnceOnly RouteKind = "OnceOnly"
	// RouteStream requests are answered with server-sent events. They run at most
	// once unless the route is resumable.
	RouteStream RouteKind = "Stream"
)

// CallerRoute maps the paths of one host to the entries that serve them.
type CallerRoute struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout bounds the time from a request's arrival to its final answer.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event, is
	// on time. PauseObjective bounds the pauses between a stream's events.
	Objective, PauseObjective time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Attempts bounds the endpoints on which one request may run; it is at least 1.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another endpoint after the last event sent.
	Resumable bool
	// Generates is set for routes whose requests describe a prompt.
	Generates bool
	// Entries is never empty.
	Entries []WeightedEntry
	// Regions are those in which the route's requests may be processed and stored; none means all.
	Regions []Region
}

// MayRepeat reports whether a request on the route may run more than once.
func (r *CallerRoute) MayRepeat() bool {
	return r.Kind == RouteRepeatable || r.Kind == RouteStream && r.Resumable
}

// WeightedEntry is an entry with its share of a route's requests.
type WeightedEntry struct {
	Entry EntryName
	// Weight is positive.
	Weight float64
}

// EntrySettings are the operator's settings for an entry's endpoints.
type EntrySettings struct {
	Entry EntryName
	// HealthPath is the path of the endpoints' health check.
	HealthPath string
	// MaxConnections bounds the connections of all nodes to one endpoint.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineCapacity
	// Scaling is nil if nodes don't control the number of endpoints.
	Scaling *ScalingSettings
	// Cold is zero for an entry whose endpoints have no cold starts.
	Cold ColdSettings
}

// ColdSettings describe endpoints that are slow, and take few requests, for some time after a cold start.
type ColdSettings struct {
	// For is how long an endpoint stays cold after its start.
	For time.Duration
	// PerSecond is the number of requests a second that a cold endpoint takes from all nodes together.
	PerSecond float64
}

// IsSet reports whether endpoints of the entry have cold starts that limit them.
func (s ColdSettings) IsSet() bool { return s.PerSecond > 0 }

// EngineCapacity is the capacity of each model engine of an entry.
type EngineCapacity struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// KVTokens is the size of an engine's KV cache in tokens.
	KVTokens int
	// CanMoveRuns means that a running request can be moved to another engine.
	CanMoveRuns bool
}

// ScalingSettings bound the number of an entry's endpoints in each availability zone.
type ScalingSettings struct {
	Min, Max int
	// StartTakes is the time from the order of an endpoint to its first request.
	StartTakes time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint as a fraction of the
	// on-demand price; 0 means that no reclaimable endpoints are available.
	ReclaimablePrice float64
	// Prices are the prices of an on-demand endpoint, in the platform's unit.
	Prices map[AvailabilityZone]float64
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// OrganisationSettings are an organisation's keys and quota.
type OrganisationSettings struct {
	Organisation Organisation
	Keys         []string
	// Priority is the rank of the organisation's requests; nil means that the
	// route's priority applies.
	Priority *int
	// UnitsPerSecond and Burst are the quota over all nodes; 0 is no limit.
	UnitsPerSecond, Burst float64
	// CountsTokens means that the quota is in tokens rather than requests.
	CountsTokens bool
	// PlainTokens is the number of tokens charged for a request without a prompt, if
	// the quota is in tokens.
	PlainTokens int
	// Regions are those in which the organisation's requests may be processed and stored; none means all.
	Regions []Region
}

// Configuration holds the operator's settings for all nodes.
type Configuration struct {
	// Revision rises with each change.
	Revision      Revision
	Routes        []CallerRoute
	Entries       []EntrySettings
	Limits        CallerLimits
	Organisations []OrganisationSettings
}
