package qf

import "time"

// Reason records which rule chose an action and the figures it used. The log, the
// trace and the operators' report all use the same reason.
type Reason struct {
	// Rule names the rule, such as "LeastPredictedTime".
	Rule string
	// Figures are name and value pairs, in the order in which the rule used them.
	Figures []Figure
}

// Figure is one named input value of a decision.
type Figure struct {
	Name  string
	Value float64
}

// RouteQuery holds the inputs of a router's choice.
type RouteQuery struct {
	Now          time.Time
	Request      *Request
	FromZone     AvailabilityZone
	FromRegion   Region
	PromptTokens int
	// ResumeTokens is the length of the answer so far, which must be prefilled.
	ResumeTokens int
	// Prefixes are the hashes of the prompt's blocks, shortest prefix first.
	Prefixes []uint64
	// Affinity identifies the shared part of the prompt, and AffinityTokens is its
	// length. Nodes use it to send requests with the same part to the same endpoint of a
	// zone without coordination. It is 0 if nothing is shared.
	Affinity       uint64
	AffinityTokens int
	// Version restricts the choice to one version, if it is set.
	Version Version
	// Excluded endpoints must not be chosen.
	Excluded []EndpointID
	// MayUse reports whether an endpoint takes another request; nil means that all do.
	MayUse func(EndpointID) bool
	// IsCold reports whether an endpoint is slow after a cold start; nil means that none is.
	IsCold func(EndpointID) bool
	// MaxQueue is the longest predicted queue at which the request can be served in time. An
	// endpoint with a longer one is chosen only if all have longer ones. 0 means no bound.
	MaxQueue time.Duration
}

// RouteChoice is a router's decision.
type RouteChoice struct {
	Endpoint Endpoint
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Prediction holds the figures behind the choice. Its Figures method builds
	// the reason's figures, so that the choice itself allocates nothing.
	Prediction Prediction
	// Forced means that no endpoint of the requested version was available.
	Forced bool
	// Load is the endpoint's last reported number of requests.
	Load   int
	Reason Reason
}

// Prediction is a router's estimate of a request's latency and cost at an endpoint.
type Prediction struct {
	// Queue, Prefill and Link add up to the time to the first token.
	Queue, Prefill, Link time.Duration
	// BetweenToken is the time from one token to the next.
	BetweenToken time.Duration
	// PrefillTokens are the tokens that the endpoint is expected to compute.
	PrefillTokens int
	// Cost is in thousandths of the currency unit.
	Cost float64
	// Candidates is the number of endpoints that were compared.
	Candidates int
}

// Completion returns the predicted time to the last token of an answer of the given
// length.
func (p *Prediction) Completion(tokens int) time.Duration {
	return p.Queue + p.Prefill + p.Link + time.Duration(tokens)*p.BetweenToken
}

// Figures returns the prediction as the figures of a Reason.
func (p *Prediction) Figures() []Figure {
	return []Figure{
		{Name: "QueueSeconds", Value: p.Queue.Seconds()},
		{Name: "PrefillSeconds", Value: p.Prefill.Seconds()},
		{Name: "LinkSeconds", Value: p.Link.Seconds()},
		{Name: "PrefillTokens", Value: float64(p.PrefillTokens)},
		{Name: "Cost", Value: p.Cost},
		{Name: "Candidates", Value: float64(p.Candidates)},
	}
}

// HealthState is the state of an endpoint's circuit breaker.
type HealthState string

// The states of an endpoint's health, as observed by one node.
const (
	HealthGood HealthState = "Good"
	// HealthEjected endpoints get no requests unless no other endpoint is left.
	HealthEjected HealthState = "Ejected"
	// HealthHalfOpen endpoints get one attempt at a time, which tests whether they have
	// recovered.
	HealthHalfOpen HealthState = "Trial"
)

// HealthCause is the reason why an endpoint was ejected.
type HealthCause string

// The causes of ejection.
const (
	// CauseDown means that peers' attempts at the endpoint fail too.
	CauseDown HealthCause = "Down"
	// CauseUnreachable means that peers still get answers from the endpoint, so that
	// only this node can't reach it.
	CauseUnreachable HealthCause = "Unreachable"
	// CauseFailing means that no peer reports answers or failures at the endpoint.
	CauseFailing HealthCause = "Failing"
	// CauseSlow means that the endpoint answers too slowly.
	CauseSlow HealthCause = "Slow"
)

// HealthChange records a change of an endpoint's health state.
type HealthChange struct {
	At       time.Time
	Endpoint EndpointID
	State    HealthState
	// Cause is set exactly if State is HealthEjected.
	Cause HealthCause
}

// Router chooses an endpoint for each request and updates its predictions from the
// results of attempts. It does no I/O and reads no clock.
type Router interface {
	// SetEndpoints replaces the candidates.
	SetEndpoints(endpoints []Endpoint)
	// ChooseEndpoint chooses an endpoint, or returns an *Error with CodeNoEndpoint.
	ChooseEndpoint(query RouteQuery) (RouteChoice, error)
	// PredictEndpoint chooses like ChooseEndpoint, but changes no state.
	PredictEndpoint(query RouteQuery) (RouteChoice, error)
	// RecordStart, RecordFirstToken and RecordEnd record the stages of an attempt.
	RecordStart(at time.Time, endpoint EndpointID, tokens int)
	RecordFirstToken(at time.Time, endpoint EndpointID, took time.Duration)
	RecordEnd(at time.Time, endpoint EndpointID, tokens int, ok bool)
	// RecordLoadReport records an endpoint's load report.
	RecordLoadReport(at time.Time, report LoadReport)
	// MarkDeparting marks a VM as departing; its endpoints get no new requests from
	// now on.
	MarkDeparting(vm VMID, incarnation Incarnation)
	// RecordPeerLoad records another node's load in progress at an endpoint.
	RecordPeerLoad(load InFlightLoad)
	// ApplyCacheEvent applies a reported change of an engine's prefix cache.
	ApplyCacheEvent(event CacheEvent)
	// RecordObservation records the times of an attempt that has ended.
	RecordObservation(observation Observation)
	// SetPrices replaces the prices of VMs.
	SetPrices(prices []Price)
	// ReportInFlight returns this node's load in progress at endpoints, to be sent
	// to peers.
	ReportInFlight(now time.Time) []InFlightLoad
	// ReportSpeeds returns the lasting speeds that this node has measured of endpoints that state how long work takes
	// at the moment, to be sent to peers.
	ReportSpeeds(now time.Time) []EndpointSpeed
	// RecordPeerSpeeds records the measurements of another node, in place of its last ones of the same endpoints.
	RecordPeerSpeeds(node NodeID, speeds []EndpointSpeed)
	// TakeHealthChanges returns the changes of endpoints' health since the last call.
	TakeHealthChanges() []HealthChange
}

// AdmitQuery holds the inputs of a limiter's decision.
type AdmitQuery struct {
	Now     time.Time
	Request *Request
	// Tokens estimates the tokens of prompt and answer.
	Tokens int
	// Predicted is the predicted time to completion at the chosen endpoint, and
	// Queue the part of it that is spent before the endpoint starts. Both are
	// zero if nothing is known.
	Predicted time.Duration
	Queue     time.Duration
	// InProgress is the node's number of requests in progress.
	InProgress int
}

// Admission is a limiter's decision.
type Admission struct {
	Admitted bool
	// Code and RetryAfter are set exactly if Admitted is false.
	Code       Code
	RetryAfter time.Duration
	Reason     Reason
}

// Limiter admits or refuses requests. It does no I/O and reads no clock.
type Limiter interface {
	// AdmitRequest decides whether a request may proceed, and counts it if so.
	AdmitRequest(query AdmitQuery) Admission
	// ReleaseRequest records the end of an admitted request and the tokens it used.
	ReleaseRequest(now time.Time, request *Request, tokens int)
	// SetLimits replaces the limits when the catalogue changes.
	SetLimits(limits []Limit)
	// ReportUses returns this node's use and demand, to be sent to peers.
	ReportUses(now time.Time) []LimitUse
	// RecordPeerUses records another node's use and demand.
	RecordPeerUses(now time.Time, uses []LimitUse)
	// SetNodes sets the live nodes among which limits are shared.
	SetNodes(now time.Time, self NodeID, live []NodeID)
}

// Limit bounds the requests of an organisation at an entry. An empty
// Organisation stands for all together, an empty Class for every class.
type Limit struct {
	Name              string
	Entry             EntryName
	Organisation      Organisation
	Class             Class
	Concurrency       int
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Weight is the organisation's share under contention; at least 1.
	Weight float64
}

// VersionQuery holds the inputs for choosing the version that serves a new request.
type VersionQuery struct {
	Now          time.Time
	Entry        EntryName
	Organisation Organisation
	Region       Region
	Class        Class
	OnceOnly     bool
	// Draw is uniform in [0, 1).
	Draw float64
}

// Observation describes one finished attempt. Routers and the comparison of
// versions in a rollout use it.
type Observation struct {
	At           time.Time
	Request      RequestID
	Entry        EntryName
	Version      Version
	Organisation Organisation
	Region       Region
	Class        Class
	Failed       bool
	FirstToken   time.Duration
	BetweenToken time.Duration
	Tokens       int
	// Took is the time from the attempt's start to its end.
	Took     time.Duration
	Complete bool
	// Load is the endpoint's number of running requests at the start.
	Load int
	// EndpointRegion is the region of the endpoint.
	EndpointRegion Region
	// Endpoint served the attempt, which began at StartedAt.
	Endpoint  EndpointID
	StartedAt time.Time
	OnceOnly  bool
	// Forced means that the attempt ran at another version than the drawn one,
	// because no endpoint of the drawn version was available.
	Forced bool
	// Cut means that the attempt ended for a reason unrelated to the version, such
	// as a hand-over or an announced departure.
	Cut bool
}

// VersionChooser splits an entry's traffic between versions during a rollout and
// compares them. It does no I/O and reads no clock.
type VersionChooser interface {
	// ChooseVersion returns the version for a new request, and the reason.
	ChooseVersion(query VersionQuery) (Version, Reason)
	// RecordObservation records a finished attempt.
	RecordObservation(observation Observation)
	// ApplyStop applies a stop received from a peer and reports whether it was new.
	ApplyStop(stop RolloutStop) bool
	// ListStops returns the last stop of each entry that this node has, also if a
	// newer plan overrides it.
	ListStops() []RolloutStop
}
