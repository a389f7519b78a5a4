package qf

import "time"

// Reason says which rule chose an action and the figures that it saw. The same
// reason feeds the log, the trace and the operators' report.
type Reason struct {
	// Rule names the rule, such as "LeastPredictedTime".
	Rule string
	// Figures are name and value pairs, in the order in which the rule used them.
	Figures []Figure
}

// Figure is one named value that a decision saw.
type Figure struct {
	Name  string
	Value float64
}

// RouteQuery is what a router is asked.
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
	// Affinity names the part of the prompt that others share, and AffinityTokens is its
	// length. Nodes that don't know each other's choices send the same part to the same
	// endpoint of a zone. It is 0 if nothing is shared.
	Affinity       uint64
	AffinityTokens int
	// Version restricts the choice to one version, if it is set.
	Version Version
	// Excluded endpoints must not be chosen.
	Excluded []EndpointID
}

// RouteChoice is a router's answer.
type RouteChoice struct {
	Endpoint Endpoint
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Prediction holds the figures behind the choice. Its Figures method builds
	// the reason's figures, so that the choice itself allocates nothing.
	Prediction Prediction
	// Forced means that no endpoint of the version asked for was available.
	Forced bool
	// Load is the endpoint's last reported number of requests.
	Load   int
	Reason Reason
}

// Prediction is what a router expects of a request at an endpoint.
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

// Completion returns the time to the last of so many tokens.
func (p *Prediction) Completion(tokens int) time.Duration {
	return p.Queue + p.Prefill + p.Link + time.Duration(tokens)*p.BetweenToken
}

// Figures lists the prediction for a reason.
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

// HealthState says whether an endpoint gets work.
type HealthState string

// The states of an endpoint's health, as one node sees it.
const (
	HealthGood HealthState = "Good"
	// HealthEjected endpoints get no work unless nothing else is left.
	HealthEjected HealthState = "Ejected"
	// HealthHalfOpen endpoints get one attempt at a time.
	HealthHalfOpen HealthState = "Trial"
)

// HealthCause says why an endpoint was ejected.
type HealthCause string

// The causes of ejection.
const (
	// CauseDown means that peers fail there too.
	CauseDown HealthCause = "Down"
	// CauseUnreachable means that peers get answers from there.
	CauseUnreachable HealthCause = "Unreachable"
	// CauseFailing means that nothing is known from peers.
	CauseFailing HealthCause = "Failing"
	CauseSlow    HealthCause = "Slow"
)

// HealthChange is news of an endpoint's health.
type HealthChange struct {
	At       time.Time
	Endpoint EndpointID
	State    HealthState
	// Cause is set exactly if State is HealthEjected.
	Cause HealthCause
}

// Router picks an endpoint and learns from what becomes of attempts. It does
// no I/O and reads no clock.
type Router interface {
	// SetEndpoints replaces the candidates.
	SetEndpoints(endpoints []Endpoint)
	// ChooseEndpoint picks an endpoint, or returns an *Error with CodeNoEndpoint.
	ChooseEndpoint(query RouteQuery) (RouteChoice, error)
	// PredictEndpoint answers like Choose, but remembers nothing.
	PredictEndpoint(query RouteQuery) (RouteChoice, error)
	// RecordStart, FirstToken and Ended report the life of an attempt.
	RecordStart(at time.Time, endpoint EndpointID, tokens int)
	RecordFirstToken(at time.Time, endpoint EndpointID, took time.Duration)
	RecordEnd(at time.Time, endpoint EndpointID, tokens int, ok bool)
	// RecordLoadReport takes a load report.
	RecordLoadReport(at time.Time, report LoadReport)
	// MarkDeparting takes news that a VM leaves; it gets no new work from now on.
	MarkDeparting(vm VMID, incarnation Incarnation)
	// RecordPeerLoad takes what another node has in progress.
	RecordPeerLoad(load InFlightLoad)
	// ApplyCacheEvent takes a cache event.
	ApplyCacheEvent(event CacheEvent)
	// RecordObservation takes the times of an attempt that has ended.
	RecordObservation(observation Observation)
	// SetPrices replaces the prices of VMs.
	SetPrices(prices []Price)
	// ReportInFlight returns what this node has in progress at endpoints, for peers.
	ReportInFlight(now time.Time) []InFlightLoad
	// TakeHealthChanges returns the news of endpoints' health since the last call.
	TakeHealthChanges() []HealthChange
}

// AdmitQuery is what a limiter is asked.
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

// Admission is a limiter's answer.
type Admission struct {
	Admitted bool
	// Code and RetryAfter are set exactly if Admitted is false.
	Code       Code
	RetryAfter time.Duration
	Reason     Reason
}

// Limiter admits or refuses requests. It does no I/O and reads no clock.
type Limiter interface {
	AdmitRequest(query AdmitQuery) Admission
	// ReleaseRequest reports the end of an admitted request and the tokens it used.
	ReleaseRequest(now time.Time, request *Request, tokens int)
	// SetLimits replaces the limits when the catalogue changes.
	SetLimits(limits []Limit)
	// ReportUses returns this node's use and demand for peers.
	ReportUses(now time.Time) []LimitUse
	// RecordPeerUses takes another node's use and demand.
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

// VersionQuery asks a rollout for the version of a new request.
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

// Observation reports one finished attempt to rollout judgement.
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
	// EndpointRegion is where the endpoint stands.
	EndpointRegion Region
	// Endpoint served the attempt, which began at StartedAt.
	Endpoint  EndpointID
	StartedAt time.Time
	OnceOnly  bool
	// Forced means that the version wasn't drawn: no endpoint of the drawn one
	// was available.
	Forced bool
	// Cut means that the attempt ended for a reason that says nothing about the
	// version, such as a hand-over or an announced departure.
	Cut bool
}

// VersionChooser splits traffic between versions and judges them. It does no
// I/O and reads no clock.
type VersionChooser interface {
	ChooseVersion(query VersionQuery) (Version, Reason)
	RecordObservation(observation Observation)
	// ApplyStop takes a stop from a peer; it returns whether the stop was news.
	ApplyStop(stop RolloutStop) bool
	// ListStops returns the stops that this node knows.
	ListStops() []RolloutStop
}
