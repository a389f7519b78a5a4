package qfevent

// The events of endpoints that are cold.
var (
	EndpointsCold = Event{340, info, "endpoints are cold and get few requests", []string{FieldEntry, FieldReason, FieldCount, FieldEndpoint, FieldRate, FieldTime, FieldAge}, "Nothing; see operators/reclaim.md. Reason says by what: Row, Answer, Peer, New or EvacuationEnded. Endpoint is one of Count; all nodes together send each up to Rate requests a second for Time. Age is that of the oldest statement."}
	ColdRefused   = Event{341, warning, "requests were refused because the endpoints that are left are cold", []string{FieldEntry, FieldCount, FieldRate, FieldTime}, "Nothing if it ends within Time, after which the last of them is warm; more endpoints are needed if it comes with each start. Count requests were refused since the last line; Rate is what the node may send them a second."}
)
