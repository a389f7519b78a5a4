// Package qfevent defines the numbered events that a node logs. docs/EVENTS.md
// lists them; a test compares the two.
package qfevent

import "github.com/rs/zerolog"

// Event is one kind of log line.
type Event struct {
	// Number never changes and is never reused.
	Number  int
	Level   zerolog.Level
	Message string
	// Fields are the names of the fields besides Event.
	Fields []string
	// Action is what an operator should do.
	Action string
}

// The names of fields.
const (
	FieldNode             = "Node"
	FieldRequest          = "Request"
	FieldEntry            = "Entry"
	FieldVersion          = "Version"
	FieldEndpoint         = "Endpoint"
	FieldVM               = "VM"
	FieldRevision         = "Revision"
	FieldPeer             = "Peer"
	FieldCount            = "Count"
	FieldOutcome          = "Outcome"
	FieldReason           = "Reason"
	FieldError            = "Error"
	FieldAddress          = "Address"
	FieldOperator         = "Operator"
	FieldTime             = "Time"
	FieldAvailabilityZone = "AvailabilityZone"
	FieldName             = "Name"
	FieldTrace            = "Trace"
	FieldSpan             = "Span"
	FieldParent           = "Parent"
	FieldTook             = "Took"
	FieldDetails          = "Details"
	FieldAge              = "Age"
	FieldEra              = "Era"
	FieldBefore           = "Before"
	FieldDuty             = "Duty"
	FieldFencing          = "Fencing"
	FieldRoute            = "Route"
	FieldOrganisation     = "Organisation"
	FieldStatus           = "Status"
	FieldAttempts         = "Attempts"
	FieldFirst            = "First"
	FieldFeed             = "Feed"
	FieldWindow           = "Window"
	FieldPlain            = "Plain"
	FieldNotable          = "Notable"
	FieldSource           = "Source"
	FieldBytes            = "Bytes"
	FieldInProgress       = "InProgress"
	FieldParts            = "Parts"
	FieldRate             = "Rate"
	FieldOpen             = "Open"
	FieldIdle             = "Idle"
	FieldIsQueued         = "IsQueued"
	FieldUnread           = "Unread"
	FieldAccepted         = "Accepted"
	FieldAnswered         = "Answered"
	FieldAborted          = "Aborted"
)

const (
	info    = zerolog.InfoLevel
	warning = zerolog.WarnLevel
	failure = zerolog.ErrorLevel
)

// The events, by number. The hundreds digit is the area: 1 node, 2 request, 3
// catalogue, 4 peers, 5 platform, 6 rollouts, 7 fleet, 8 security.
var (
	NodeStarted       = Event{101, info, "node started", []string{FieldNode, FieldAddress}, "Nothing."}
	NodeLeaving       = Event{102, info, "node is leaving", []string{FieldNode, FieldReason}, "Nothing; clients reconnect to other nodes."}
	NodeDrained       = Event{103, info, "node drained", []string{FieldNode, FieldCount}, "Nothing; Count requests were handed over."}
	NodeStopped       = Event{104, info, "node stopped", []string{FieldNode}, "Nothing."}
	AcceptFailed      = Event{109, warning, "a connection could not be accepted", []string{FieldAddress, FieldError}, "Look at the number of open descriptors; the listener goes on."}
	PortDrained       = Event{111, info, "a port of a stopping node was drained", []string{FieldName, FieldOpen, FieldIdle, FieldIsQueued, FieldUnread, FieldAccepted, FieldAnswered, FieldAborted, FieldTook}, "Look at the requests in progress if Aborted isn't 0. Open connections at the start, Idle of them without a request, Unread of those with bytes that the node hadn't read; IsQueued says whether connections waited to be accepted. Accepted connections and Answered requests came after it."}
	ServerFailed      = Event{105, failure, "a listener failed", []string{FieldAddress, FieldError}, "Check the address in the settings; the node stops."}
	SpanEnded         = Event{151, info, "span ended", []string{FieldName, FieldTrace, FieldSpan, FieldParent, FieldTime, FieldTook, FieldDetails, FieldError}, "Nothing; follow Trace to see a request's hops over all nodes."}
	RequestEnded      = Event{201, zerolog.DebugLevel, "request ended", []string{FieldRequest, FieldEntry, FieldOutcome}, "Nothing."}
	RequestRefused    = Event{202, zerolog.DebugLevel, "request refused as not run", []string{FieldEntry, FieldReason}, "Look at limits and load if there are many."}
	RequestUnknown    = Event{203, warning, "request ended with unknown outcome", []string{FieldRequest, FieldEntry, FieldError}, "Run report explain with the request."}
	RequestTaken      = Event{204, info, "requests taken over from a peer", []string{FieldCount}, "Nothing."}
	HandOverFailed    = Event{205, warning, "hand-over to a peer failed", []string{FieldPeer, FieldError}, "Nothing at once; another peer is tried."}
	LedgerSwept       = Event{206, zerolog.DebugLevel, "expired once-only records deleted", []string{FieldCount}, "Nothing."}
	SuspectTried      = Event{207, warning, "a request suspected of crashing endpoints is tried in isolation", []string{FieldRequest, FieldEntry}, "Run report explain with the request."}
	SuspectRefused    = Event{208, warning, "a request suspected of crashing endpoints is refused", []string{FieldRequest, FieldEntry}, "Find its caller; look at the endpoints' logs."}
	EndpointDied      = Event{209, warning, "an endpoint died with requests in progress", []string{FieldEndpoint, FieldReason, FieldCount, FieldParts}, "Nothing if it is rare. Parts are the fingerprints of the shared prompt parts in progress there, Count their number; a part that stands in the lines of all endpoints and in no answer crashes them."}
	PartRefused       = Event{210, warning, "requests with a part of a prompt are refused", []string{FieldRequest, FieldParts, FieldCount, FieldAge}, "Find its caller; look at the endpoints' logs. Count endpoints died with the part in progress and no answer on it came since; Age is the time until a request with it is tried."}
	PartTried         = Event{211, warning, "a request is tried although requests with one of its parts are refused", []string{FieldRequest, FieldParts, FieldCount}, "Nothing; if it is answered the part is allowed again."}
	SuspicionsNotKept = Event{212, warning, "the requests and parts of prompts that crash endpoints could not be stored or read", []string{FieldName, FieldError}, "Nothing at once; nodes get them from each other. They are lost if all nodes start anew meanwhile."}
	ShadowAdopted     = Event{220, info, "request taken over from its replica", []string{FieldRequest, FieldPeer, FieldCount}, "Nothing; the peer is gone and Count tokens were kept."}
	ShadowFailed      = Event{221, warning, "replication of requests to a peer failed", []string{FieldPeer, FieldError}, "Nothing at once; another peer is used."}
	NodeAborted       = Event{225, warning, "node ended at a second signal", []string{FieldNode}, "Answers in progress were cut; unset Node.SecondSignalAborts if that isn't wanted."}
	StreamsMoving     = Event{223, info, "responses in progress are moved from an endpoint", []string{FieldEndpoint, FieldCount}, "Nothing."}
	ExportFailed      = Event{224, warning, "KV cache could not be moved", []string{FieldRequest, FieldEndpoint, FieldError}, "Nothing; the answer is resumed from its text."}
	OwnershipLost     = Event{222, info, "another node owns the request", []string{FieldRequest, FieldPeer}, "Nothing; the work here was stopped."}
	CatalogueInUse    = Event{301, info, "catalogue revision in force", []string{FieldRevision, FieldOperator}, "Nothing."}
	CatalogueFailed   = Event{302, warning, "catalogue could not be read", []string{FieldError}, "Check the table service; the last revision stays in force."}
	CatalogueStale    = Event{310, warning, "the catalogue is stale; risky actions are suspended", []string{FieldRevision, FieldAge}, "See operators/store-outage.md."}
	CatalogueFresh    = Event{311, info, "the catalogue is fresh again", []string{FieldRevision}, "Nothing."}
	PeerFailed        = Event{401, zerolog.DebugLevel, "exchange with a peer failed", []string{FieldPeer, FieldError}, "Look at the peer if it lasts."}
	NodePaused        = Event{410, warning, "the node was paused", []string{FieldNode, FieldTime}, "Look at the VM's load if it comes often."}
	NodeCutOff        = Event{411, warning, "the node receives no messages from its peers", []string{FieldNode}, "Look at the node's links; callers that reach it are served."}
	NodeReconnected   = Event{412, info, "the node receives messages from its peers again", []string{FieldNode}, "Nothing."}
	DepartureKnown    = Event{402, info, "a VM will leave", []string{FieldVM, FieldTime}, "Nothing; it gets no new work."}
	LeaseTaken        = Event{601, info, "lease taken", []string{FieldDuty, FieldFencing}, "Nothing."}
	LeaseLost         = Event{602, warning, "lease lost", []string{FieldDuty, FieldReason}, "Nothing; another node takes over. Check the table service if it recurs."}
	RolloutChanged    = Event{610, info, "rollout changed its phase", []string{FieldEntry, FieldVersion, FieldOutcome, FieldReason}, "Run report rollouts."}
	RolloutStopped    = Event{611, warning, "a version is stopped", []string{FieldEntry, FieldVersion, FieldReason}, "Run report rollouts; fix the version."}
	RolloutLate       = Event{612, warning, "a rollout will be late", []string{FieldEntry, FieldVersion, FieldReason}, "Move the deadline, or see operators/rollouts.md."}
	RolloutFailed     = Event{613, warning, "a rollout's plan could not be kept", []string{FieldEntry, FieldError}, "Check the table service; shares hold meanwhile."}
	PortUnprotected   = Event{801, warning, "certificates are off", []string{FieldAddress, FieldName}, "Set the certificate files in [Security] unless this is a trial."}
	PortRefused       = Event{802, warning, "a connection without a valid certificate was refused", []string{FieldAddress, FieldName, FieldError}, "Find the client that connects from Address; see operators/certificates.md."}
	IdentityLoaded    = Event{803, info, "certificates were loaded", []string{FieldName}, "Nothing."}
	IdentityFailed    = Event{804, failure, "certificates could not be loaded", []string{FieldError}, "Fix the files; those that were loaded before stay in use."}
	PlatformFailed    = Event{501, warning, "the platform could not be reached", []string{FieldError}, "See operators/store-outage.md."}
	VMStarted         = Event{701, info, "VM started", []string{FieldVM, FieldEntry, FieldVersion, FieldReason}, "Nothing."}
	VMDrained         = Event{702, info, "VM is drained to be stopped", []string{FieldVM, FieldReason}, "Nothing; it is stopped once it is idle."}
	StartFailed       = Event{703, warning, "start of a VM failed", []string{FieldAvailabilityZone, FieldOutcome, FieldError}, "Nothing at once; other zones are used. See operators/reclaim.md if it lasts."}
)

// The events of endpoint health and of engine orders.
var (
	EndpointEjected  = Event{240, warning, "an endpoint was ejected", []string{FieldEndpoint, FieldReason}, "See operators/overload.md; it is tried again automatically."}
	EndpointTrial    = Event{241, info, "an ejected endpoint is tried again", []string{FieldEndpoint}, "Nothing."}
	EndpointReturned = Event{242, info, "an ejected endpoint was readmitted", []string{FieldEndpoint}, "Nothing."}
	OrderGiven       = Event{704, info, "order sent to an engine", []string{FieldEndpoint, FieldVersion, FieldReason, FieldOutcome}, "Nothing; many for one engine mean that another client sends it orders."}
)

// The events of forwarding and of the feeds that a node follows.
var (
	ForwardEnded     = Event{260, info, "request forwarded", []string{FieldRequest, FieldRoute, FieldOrganisation, FieldRevision, FieldStatus, FieldAttempts, FieldFirst, FieldTook, FieldPeer}, "Nothing; Attempts lists each endpoint, why it was chosen, how the attempt ended and what followed. Peer is the node that passed the request on, or empty."}
	ForwardFailed    = Event{261, warning, "request refused or failed", []string{FieldRequest, FieldRoute, FieldOrganisation, FieldRevision, FieldStatus, FieldAttempts, FieldFirst, FieldTook, FieldError, FieldPeer}, "See OPERATIONS.md for how to find the cause of a request's failure."}
	CallerLeft       = Event{263, info, "a caller left before its answer", []string{FieldRequest, FieldRoute, FieldOrganisation, FieldRevision, FieldOutcome, FieldAttempts, FieldFirst, FieldTook, FieldPeer}, "Nothing, unless many leave: look at 110 and at the times in the lines of other requests. Outcome says how far the request had come, Took how long after it was read."}
	RunMoved         = Event{262, info, "a running request was to be moved from a leaving endpoint", []string{FieldRequest, FieldEndpoint, FieldPeer, FieldOutcome, FieldError}, "Nothing; Peer is the endpoint at which it goes on if Outcome is Done. Otherwise it ends where it runs."}
	NodeLate         = Event{110, warning, "the node came late to its work", []string{FieldTook, FieldInProgress}, "Look at the node's processor time and memory if it comes often; callers that leave meanwhile have 263. Took is how late it came."}
	RequestsLeftOut  = Event{108, warning, "log lines of requests were dropped", []string{FieldPlain, FieldNotable}, "Nothing; the load is high. Metrics count all requests."}
	LinesLeftOut     = Event{106, warning, "log lines were dropped", []string{FieldCount}, "Nothing; the log's reader is too slow or the load is high."}
	SettingsReloaded = Event{107, info, "settings were read again", []string{FieldOutcome}, "Nothing, unless Outcome names a fault; then the settings in use stay."}
	FeedLost         = Event{320, warning, "a feed of the platform's store is lost", []string{FieldFeed, FieldError}, "See operators/store-outage.md; the last data stays in use."}
	FirstReadFailed  = Event{324, warning, "a feed could not be read at the start; the relay is tried next", []string{FieldFeed, FieldError}, "Nothing at once; see 320 if it lasts."}
	FeedRegained     = Event{321, info, "a feed of the platform's store answers again", []string{FieldFeed, FieldAge}, "Nothing."}
	RowUnreadable    = Event{322, warning, "a row can't be read", []string{FieldFeed, FieldName, FieldVersion, FieldError}, "Look for its writer; the row is left out."}
	StoreRestored    = Event{325, warning, "the store came back from an older copy", []string{FieldEra, FieldBefore}, "Nothing at once; 326 and 327 show what is read and written again. See operators/store-outage.md."}
	FeedRestored     = Event{326, info, "a feed was read anew after the store came back from an older copy", []string{FieldFeed, FieldEra, FieldVersion, FieldBefore, FieldCount}, "Nothing; Before is the version that was read last, Count the number of rows."}
	RowRewritten     = Event{327, info, "a row that the store has lost is written again", []string{FieldName, FieldEra}, "Nothing."}
	ConfigInForce    = Event{323, info, "configuration in force", []string{FieldRevision, FieldPeer, FieldCount}, "Nothing; Peer is empty if it came from the store."}
	TransferEnded    = Event{328, info, "rows of a feed or a configuration were read", []string{FieldName, FieldSource, FieldPeer, FieldBytes, FieldTook, FieldInProgress, FieldOutcome, FieldError}, "Nothing if it is rare; only large and failed reads are logged. InProgress counts the other reads of the node. See OPERATIONS.md if a node stays at an old revision."}
	FeedMoved        = Event{329, info, "a feed is read from another source", []string{FieldFeed, FieldSource, FieldPeer, FieldAge, FieldError}, "Nothing; Age is the time since the feed's last answer, Error why the relay wasn't used."}
	EndpointListed   = Event{330, info, "an endpoint is listed", []string{FieldEndpoint, FieldEntry, FieldVersion, FieldAvailabilityZone, FieldAddress}, "Nothing."}
	EndpointLeaving  = Event{331, info, "an endpoint leaves", []string{FieldEndpoint, FieldReason, FieldVersion}, "Nothing; it gets no new work. Version is the row's at the store, the same at all nodes."}
	RateStated       = Event{332, info, "the rate that an endpoint states has changed", []string{FieldEndpoint, FieldRate, FieldBefore}, "Look at the endpoint if it lasts: it takes Rate requests a second from all nodes together; 0 stands for no stated rate."}
	EndpointsDiffer  = Event{336, warning, "the list of endpoints differed from what the store holds", []string{FieldCount, FieldEndpoint, FieldVersion}, "Report it: a change was missed. The list is right again; Count endpoints differed, Endpoint is one of them."}
	EndpointPaused   = Event{335, info, "an endpoint wants no requests of this node for some time", []string{FieldEndpoint, FieldEntry, FieldTime}, "Nothing: others get them. If many endpoints of an entry do so, it has too few."}
	EndpointsBrittle = Event{334, warning, "the endpoints of an entry state that they are brittle", []string{FieldEntry, FieldRate}, "Nothing at once: nodes send no more than there are places. Each endpoint fails if it rejects more than Rate requests in a second."}
	ReachChanged     = Event{333, warning, "the node reaches the endpoints of an entry no more, or again", []string{FieldEntry, FieldOutcome, FieldCount, FieldAge}, "Look at the node's links; until it reaches them again its requests go through other nodes. Count endpoints were checked, Age is how long the state before lasted."}
	PeerLost         = Event{420, warning, "heartbeats of a peer are missing", []string{FieldPeer, FieldAge}, "Look at the peer if it lasts."}
	PeerRegained     = Event{421, info, "heartbeats of a peer are received", []string{FieldPeer, FieldAddress}, "Nothing."}
	UsageReported    = Event{520, info, "usage reported", []string{FieldWindow, FieldFencing, FieldOutcome, FieldError}, "Nothing; a window whose Outcome isn't Done is tried again."}
	EndpointsOrdered = Event{705, info, "a number of endpoints was ordered", []string{FieldEntry, FieldAvailabilityZone, FieldName, FieldCount, FieldReason, FieldFencing, FieldOutcome, FieldError}, "Nothing; Name is the class of the endpoints."}
)

// All lists every event.
func All() []Event {
	return []Event{
		NodeStarted, NodeLeaving, NodeDrained, NodeStopped, PortDrained, ServerFailed, AcceptFailed, SpanEnded, RequestEnded,
		RequestRefused, RequestUnknown, RequestTaken, HandOverFailed, LedgerSwept, SuspectTried, SuspectRefused,
		EndpointDied, PartRefused, PartTried, SuspicionsNotKept, ShadowAdopted, ShadowFailed, NodeAborted, StreamsMoving,
		ExportFailed, OwnershipLost, CatalogueInUse, CatalogueFailed, CatalogueStale, CatalogueFresh, PeerFailed,
		NodePaused, NodeCutOff, NodeReconnected, DepartureKnown, LeaseTaken, LeaseLost, RolloutChanged, RolloutStopped,
		RolloutLate, RolloutFailed, PortUnprotected, PortRefused, IdentityLoaded, IdentityFailed, PlatformFailed,
		VMStarted, VMDrained, StartFailed, EndpointEjected, EndpointTrial, EndpointReturned, OrderGiven, RequestsLeftOut,
		ForwardEnded, ForwardFailed, CallerLeft, NodeLate, RunMoved, LinesLeftOut, SettingsReloaded, FeedLost,
		FeedRegained, FirstReadFailed, RowUnreadable, StoreRestored, FeedRestored, RowRewritten, ConfigInForce,
		TransferEnded, FeedMoved, EndpointListed, EndpointsDiffer, EndpointLeaving, RateStated, ReachChanged,
		EndpointsBrittle, EndpointPaused, PeerLost, PeerRegained, UsageReported, EndpointsOrdered,
		ZoneEvacuated, RegionsDiffer, EndpointsCold, ColdRefused, ClientClosed, ClientRefused, RequestEvicted, HeadTooLarge, EntryShort, LoadUnreadable,
	}
}

// fieldNumber is the name of the field that holds the event's number.
const fieldNumber = "Event"

// Log writes a log line of the event. The values are those of the event's fields,
// in the same order.
func (e Event) Log(logger *zerolog.Logger, values ...any) {
	line := logger.WithLevel(e.Level).Int(fieldNumber, e.Number)
	for i, value := range values {
		if err, ok := value.(error); ok {
			value = err.Error()
		}
		line = line.Interface(e.Fields[i], value)
	}
	line.Msg(e.Message)
}
