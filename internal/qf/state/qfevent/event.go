// Package qfevent numbers the events that a node logs. docs/EVENTS.md lists
// them; a test compares the two.
package qfevent

import "github.com/rs/zerolog"

// Event is one kind of log line.
type Event struct {
	// Number never changes and is never used again.
	Number  int
	Level   zerolog.Level
	Message string
	// Fields are the names of the fields besides Event.
	Fields []string
	// Action says what an operator does.
	Action string
}

// The names of fields.
const (
	FieldNode     = "Node"
	FieldRequest  = "Request"
	FieldEntry    = "Entry"
	FieldVersion  = "Version"
	FieldEndpoint = "Endpoint"
	FieldVM       = "VM"
	FieldRevision = "Revision"
	FieldPeer     = "Peer"
	FieldCount    = "Count"
	FieldOutcome  = "Outcome"
	FieldReason   = "Reason"
	FieldError    = "Error"
	FieldAddress  = "Address"
	FieldOperator = "Operator"
	FieldTime     = "Time"
	FieldAge      = "Age"
	FieldDuty     = "Duty"
	FieldFencing  = "Fencing"
)

const (
	info    = zerolog.InfoLevel
	warning = zerolog.WarnLevel
	failure = zerolog.ErrorLevel
)

// The events, by number. Hundreds stand for parts: 1 node, 2 request, 3
// catalogue, 4 peers, 5 platform, 6 rollouts, 7 fleet, 8 security.
var (
	NodeStarted     = Event{101, info, "node started", []string{FieldNode, FieldAddress}, "Nothing."}
	NodeLeaving     = Event{102, info, "node is leaving", []string{FieldNode, FieldReason}, "Nothing; callers move on their own."}
	NodeDrained     = Event{103, info, "node drained", []string{FieldNode, FieldCount}, "Nothing; Count requests were handed over."}
	NodeStopped     = Event{104, info, "node stopped", []string{FieldNode}, "Nothing."}
	ServerFailed    = Event{105, failure, "a listener failed", []string{FieldAddress, FieldError}, "Check the address in the settings; the node stops."}
	RequestEnded    = Event{201, zerolog.DebugLevel, "request ended", []string{FieldRequest, FieldEntry, FieldOutcome}, "Nothing."}
	RequestRefused  = Event{202, zerolog.DebugLevel, "request refused as not run", []string{FieldEntry, FieldReason}, "Look at limits and load if there are many."}
	RequestUnknown  = Event{203, warning, "request ended with unknown outcome", []string{FieldRequest, FieldEntry, FieldError}, "Run report explain with the request."}
	RequestTaken    = Event{204, info, "requests taken over from a peer", []string{FieldCount}, "Nothing."}
	HandOverFailed  = Event{205, warning, "hand-over to a peer failed", []string{FieldPeer, FieldError}, "Nothing at once; another peer is tried."}
	CatalogueInUse  = Event{301, info, "catalogue revision in force", []string{FieldRevision, FieldOperator}, "Nothing."}
	CatalogueFailed = Event{302, warning, "catalogue could not be read", []string{FieldError}, "Check the table service; the last revision stays in force."}
	CatalogueStale  = Event{310, warning, "no news of the catalogue; no risky actions", []string{FieldRevision, FieldAge}, "See operators/store-outage.md."}
	CatalogueFresh  = Event{311, info, "news of the catalogue again", []string{FieldRevision}, "Nothing."}
	PeerFailed      = Event{401, zerolog.DebugLevel, "exchange with a peer failed", []string{FieldPeer, FieldError}, "Look at the peer if it lasts."}
	DepartureKnown  = Event{402, info, "a VM will leave", []string{FieldVM, FieldTime}, "Nothing; it gets no new work."}
	LeaseTaken      = Event{601, info, "lease taken", []string{FieldDuty, FieldFencing}, "Nothing."}
	LeaseLost       = Event{602, warning, "lease lost", []string{FieldDuty, FieldReason}, "Nothing; another node takes over. Check the table service if it recurs."}
	RolloutChanged  = Event{610, info, "rollout changed its phase", []string{FieldEntry, FieldVersion, FieldOutcome, FieldReason}, "Run report rollouts."}
	RolloutStopped  = Event{611, warning, "a version is stopped", []string{FieldEntry, FieldVersion, FieldReason}, "Run report rollouts; mend the version."}
	RolloutLate     = Event{612, warning, "a rollout will be late", []string{FieldEntry, FieldVersion, FieldReason}, "Move the deadline, or see operators/rollouts.md."}
	RolloutFailed   = Event{613, warning, "a rollout's plan could not be kept", []string{FieldEntry, FieldError}, "Check the table service; shares hold meanwhile."}
	PlatformFailed  = Event{501, warning, "the platform could not be reached", []string{FieldError}, "See operators/store-outage.md."}
)

// All lists every event.
func All() []Event {
	return []Event{
		NodeStarted, NodeLeaving, NodeDrained, NodeStopped, ServerFailed,
		RequestEnded, RequestRefused, RequestUnknown, RequestTaken, HandOverFailed,
		CatalogueInUse, CatalogueFailed, CatalogueStale, CatalogueFresh, PeerFailed, DepartureKnown, LeaseTaken, LeaseLost, RolloutChanged, RolloutStopped, RolloutLate, RolloutFailed, PlatformFailed,
	}
}

// fieldNumber is the name of the field with the event's number.
const fieldNumber = "Event"

// Log writes a log line of the event. The values belong to the event's fields,
// in their order.
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
