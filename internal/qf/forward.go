package qf

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// RouteKind says whether a route's requests may be repeated.
type RouteKind string

// The kinds of routes.
const (
	// RouteRepeatable requests are idempotent.
	RouteRepeatable RouteKind = "Repeatable"
	// RouteOnceOnly requests run at most once.
	RouteOnceOnly RouteKind = "OnceOnly"
	// RouteStream requests are answered by server-sent events. They run at most
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
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool
	// Generates is set for routes whose requests describe a prompt.
	Generates bool
	// Entries is never empty.
	Entries []WeightedEntry
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *CallerRoute) MayRepeat() bool {
	return r.Kind == RouteRepeatable || r.Kind == RouteStream && r.Resumable
}

// WeightedEntry is an entry with its part of a route's requests.
type WeightedEntry struct {
	Entry EntryName
	// Weight is positive.
	Weight float64
}

// EntryTraits are what the operator tells of an entry's endpoints.
type EntryTraits struct {
	Entry EntryName
	// HealthPath is the path of the endpoints' health check.
	HealthPath string
	// MaxConnections bounds the connections of all nodes to one endpoint.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineTraits
	// Scaling is nil if the number of endpoints isn't ours to order.
	Scaling *ScalingTraits
}

// EngineTraits describe the model engines of an entry.
type EngineTraits struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// KVTokens is the number of tokens for which an engine has memory.
	KVTokens int
}

// ScalingTraits bound the number of an entry's endpoints in each availability zone.
type ScalingTraits struct {
	Min, Max int
	// StartTakes is the time from an order to the first request.
	StartTakes time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint as a share of an
	// on-demand one; 0 means that there are none.
	ReclaimablePrice float64
	// Prices are those of an on-demand endpoint, in the platform's unit.
	Prices map[AvailabilityZone]float64
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// OrganisationTraits are an organisation's keys and quota.
type OrganisationTraits struct {
	Organisation Organisation
	Keys         []string
	// Priority is the rank of the organisation's requests; it is nil if the
	// route's counts.
	Priority *int
	// UnitsPerSecond and Burst are the quota over all nodes; 0 is no limit.
	UnitsPerSecond, Burst float64
	// CountsTokens says that the quota's unit is the token and not the request.
	CountsTokens bool
	// PlainTokens is what a request without a prompt counts then.
	PlainTokens int
}

// Configuration is what the operator wants of all nodes.
type Configuration struct {
	// Revision rises with each change.
	Revision      Revision
	Routes        []CallerRoute
	Entries       []EntryTraits
	Limits        CallerLimits
	Organisations []OrganisationTraits
}

// RolloutOrder asks for an entry's traffic to move to a version.
type RolloutOrder struct {
	Entry  EntryName
	To     Version
	Within time.Duration
	// Stamp is the version of the row that holds the order.
	Stamp uint64
}

// RolloutState is what the operator reads of a rollout.
type RolloutState string

// The states of a rollout.
const (
	RolloutStateRunning   RolloutState = "Running"
	RolloutStateSucceeded RolloutState = "Succeeded"
	RolloutStateTakenBack RolloutState = "TakenBack"
)

// RolloutReporter tells the operator where rollouts stand.
type RolloutReporter interface {
	WriteRolloutState(ctx context.Context, entry EntryName, to Version, state RolloutState) Result[struct{}]
}

// ListedEndpoint is an endpoint as it is registered with the platform.
type ListedEndpoint struct {
	Endpoint
	// Slots is the number of requests that the endpoint runs at once.
	Slots   int
	Leaving bool
	// LeavesIn is how long after its entry was written the endpoint stops; it is 0
	// if that isn't known.
	LeavesIn time.Duration
	// ColdFor is how long after its entry was written the endpoint stays slow.
	ColdFor time.Duration
}

// CallerRequest is what the headers of a caller's request say.
type CallerRequest struct {
	ID RequestID
	// Host has no port.
	Host string
	Path string
	// Key is the caller's key; it is empty if there is none.
	Key string
	// TimeLeft is how long the caller waits; 0 means that it didn't say.
	TimeLeft time.Duration
	// Prompt is nil for requests that don't describe one.
	Prompt *Prompt
	// ResumeAfter is the identifier of the last event that the caller has; it is
	// empty for a stream from its start.
	ResumeAfter string
}

// Prompt describes the size of a generation and the parts it shares with others.
type Prompt struct {
	// Tokens is the length of the prompt, MaxAnswer that of the longest answer.
	Tokens, MaxAnswer int
	Parts             []PromptPart
}

// PromptPart is a piece of a prompt that other prompts may begin with too.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Dispatch is what a node adds to a caller's request at an endpoint.
type Dispatch struct {
	Endpoint     EndpointID
	Organisation Organisation
	TimeLeft     time.Duration
	// Urgency is from 0, the most urgent, to 9. It is negative if it isn't set.
	Urgency int
	// ResumeAfter replaces the caller's own value if it isn't empty.
	ResumeAfter string
}

// AnswerTraits are what the headers of an endpoint's answer say.
type AnswerTraits struct {
	// ID is the request that is answered; it is empty if the endpoint didn't say.
	ID RequestID
	// NotRun is the endpoint's statement that it didn't run the request.
	NotRun bool
	// Signed says that the answer bears the endpoint's signature.
	Signed bool
	// Load is nil if the endpoint didn't tell it.
	Load *AnswerLoad
}

// AnswerLoad is the load that an endpoint tells with an answer.
type AnswerLoad struct {
	Running, Waiting, Slots int
}

// CallerProtocol reads and writes the headers of requests and answers. Source: the
// platform.
type CallerProtocol interface {
	// Request decodes a caller's headers. An *Error with CodeInvalid names the field.
	Request(r *http.Request) (CallerRequest, error)
	// Outgoing returns the headers for an endpoint.
	Outgoing(caller http.Header, dispatch *Dispatch) http.Header
	// Answer decodes an endpoint's headers.
	Answer(header http.Header) AnswerTraits
	// AnswerHeader returns the headers that a caller gets of an endpoint's answer.
	AnswerHeader(header http.Header) http.Header
	// Refuse sets the headers of an answer of the node's own. The caller may come
	// back after retryAfter; 0 gives no advice.
	Refuse(header http.Header, id RequestID, retryAfter time.Duration)
}

// ExchangeRequest is one request to an endpoint.
type ExchangeRequest struct {
	ID       RequestID
	Endpoint Endpoint
	Method   string
	// Target is the path and the query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection.
	Fresh bool
}

// ExchangeAnswer is an endpoint's answer. Body returns io.EOF only if the answer is
// complete, and must be closed; closing it earlier cancels the request.
type ExchangeAnswer struct {
	Status int
	Header http.Header
	Traits AnswerTraits
	Body   io.ReadCloser
}

// HasBody reports whether an answer with a status to a method has a body.
func HasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// Exchanger sends requests to endpoints. An *Error has RanNo if it is proven that
// the endpoint didn't get the request.
type Exchanger interface {
	Exchange(ctx context.Context, request *ExchangeRequest) (*ExchangeAnswer, error)
}

// FeedName names a set of rows that nodes follow.
type FeedName string

// The feeds.
const (
	// FeedOperator holds the configuration and the orders of rollouts.
	FeedOperator FeedName = "Operator"
	// FeedEndpoints holds the registered endpoints.
	FeedEndpoints FeedName = "Endpoints"
	// FeedNodes holds the entry nodes.
	FeedNodes FeedName = "Nodes"
)

// FeedRow is a row of a feed.
type FeedRow struct {
	Key     string
	Version uint64
	Value   []byte
	// Removed rows have no value.
	Removed bool
}

// FeedPage is the answer of a feed.
type FeedPage struct {
	Rows []FeedRow
	// Version is the one as of which the answer holds.
	Version uint64
}

// RowFeed lets nodes follow rows of the platform's store.
type RowFeed interface {
	// Snapshot returns all rows of a feed.
	Snapshot(ctx context.Context, feed FeedName) (FeedPage, error)
	// Changes returns what changed after a version; it waits for a change for some
	// time. An *Error with CodeStaleRevision says that the history is gone.
	Changes(ctx context.Context, feed FeedName, after uint64, wait time.Duration) (FeedPage, error)
}

// RowCodec decodes the rows of feeds.
type RowCodec interface {
	// IsConfigurationKey reports whether a row of the operator's feed holds the
	// configuration.
	IsConfigurationKey(key string) bool
	Configuration(value []byte) (*Configuration, error)
	// Rollout returns false for rows that hold something else.
	Rollout(row *FeedRow) (RolloutOrder, bool, error)
	// Endpoint fails for rows that name no endpoint to use.
	Endpoint(row *FeedRow) (ListedEndpoint, error)
}

// UsageReport is how many requests of each organisation began to run in a window.
type UsageReport struct {
	// Window is the number of the window since the start of 1970.
	Window int64
	Counts map[Organisation]int
}

// EndpointOrder asks for a number of endpoints of an entry in a zone.
type EndpointOrder struct {
	Entry   EntryName
	Zone    AvailabilityZone
	Class   VMClass
	Desired int
}

// DutyHolder names the node that acts for all, and the number of its lease.
type DutyHolder struct {
	Node    NodeID
	Fencing FencingNumber
}

// Duties are the platform's calls that one node makes for all. A result is NotDone
// with CodeStaleFence if a newer holder has acted.
type Duties interface {
	ReportUsage(ctx context.Context, holder DutyHolder, report UsageReport) Result[struct{}]
	OrderEndpoints(ctx context.Context, holder DutyHolder, order EndpointOrder) Result[struct{}]
}

// PlaceQuery asks for an endpoint for one attempt of a caller's request.
type PlaceQuery struct {
	Now          time.Time
	Route        *CallerRoute
	Organisation Organisation
	Prompt       *Prompt
	// Deadline is when the request gets its final answer.
	Deadline time.Time
	// Excluded endpoints must not be chosen.
	Excluded []EndpointID
	// ResumeTokens estimates the answer so far, which must be read again.
	ResumeTokens int
	// Entry keeps a repeat at the entry that was drawn before; it is empty for a
	// first attempt.
	Entry EntryName
}

// Placement is an endpoint that was chosen, and why.
type Placement struct {
	Endpoint Endpoint
	// StartedAt and Tokens name the attempt to the router.
	StartedAt time.Time
	Tokens    int
	// FirstToken is the predicted time to the first token; 0 is unknown. Objective is
	// the time that it should take.
	FirstToken, Objective time.Duration
	// Route is the name of the request's route.
	Route string
	// Began is the time to the first token, or to the answer of a plain service; it is 0
	// before that.
	Began  time.Duration
	Reason Reason
}

// AttemptEnd says how an attempt at an endpoint ended.
type AttemptEnd string

// The ends of attempts.
const (
	// AttemptAnswered means that a whole answer came, which isn't a failure.
	AttemptAnswered AttemptEnd = "Answered"
	// AttemptFailed means that the endpoint ran the request and says that it failed.
	AttemptFailed AttemptEnd = "Failed"
	// AttemptNotRun means that it is proven that the request didn't run.
	AttemptNotRun AttemptEnd = "NotRun"
	// AttemptBroken means that nothing proves whether the request ran.
	AttemptBroken AttemptEnd = "Broken"
	// AttemptCancelled means that the caller left or the time was over.
	AttemptCancelled AttemptEnd = "Cancelled"
)

// Placer chooses endpoints and learns from what becomes of attempts. It is safe for
// concurrent use.
type Placer interface {
	// Place picks an endpoint and counts the attempt there, or returns an *Error
	// that says when to come back.
	Place(query *PlaceQuery) (Placement, error)
	// Began reports the first token, or the answer of a plain service.
	Began(at time.Time, placement *Placement)
	// Ended reports the end of the attempt.
	Ended(at time.Time, placement *Placement, end AttemptEnd)
	// Told takes the load that an endpoint told with an answer.
	Told(at time.Time, endpoint EndpointID, load AnswerLoad)
}

// QuotaVerdict says whether a request is within its organisation's quota, and from what
// that was decided.
type QuotaVerdict struct {
	IsAdmitted bool
	// RetryAfter is when to come back; it is 0 if the request is admitted.
	RetryAfter time.Duration
	// Left is what the node takes to be left of the quota, Part what it may use itself
	// while all keep to their parts. They are below 0 while more was used.
	Left, Part float64
	// Heard is the number of nodes whose uses are known, this one included, of Nodes.
	Heard, Nodes int
	// NewsAge is the age of the newest news of others; it is 0 if there is none.
	NewsAge time.Duration
}

// String implements fmt.Stringer.
func (v *QuotaVerdict) String() string {
	return fmt.Sprintf("%.0f left, own part %.0f, %d of %d nodes heard, news %v old", v.Left, v.Part, v.Heard, v.Nodes, v.NewsAge)
}

// Governor bounds what is accepted and repeated. It is safe for concurrent use.
type Governor interface {
	// Admit takes units from an organisation's quota, or says why it doesn't.
	Admit(now time.Time, organisation *OrganisationTraits, units float64) QuotaVerdict
	// Arrived counts a request for an entry.
	Arrived(now time.Time, entry EntryName)
	// MayRepeat takes one repeat from the entry's budget if there is one.
	MayRepeat(now time.Time, entry EntryName) bool
	// Began counts a request of an organisation that began to run.
	Began(now time.Time, organisation Organisation)
}

// RequestContent is what a request asks for, by which it is known again.
type RequestContent struct {
	ID           RequestID
	Organisation Organisation
	Method, Host string
	Target       string
	Body         []byte
}

// Screen keeps requests that crash endpoints apart. It is safe for concurrent use.
type Screen interface {
	// Judge returns an *Error with CodeSuspect for a request that must not run.
	Judge(now time.Time, content *RequestContent) error
	// Ended takes how an attempt ended.
	Ended(now time.Time, content *RequestContent, endpoint *Endpoint, end AttemptEnd, err error)
}
