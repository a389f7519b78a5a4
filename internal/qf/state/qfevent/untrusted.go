package qfevent

// The fields of limits on what clients may make a node hold.
const (
	FieldLimit  = "Limit"
	FieldFigure = "Figure"
)

// The events of clients that reach a limit. At most one line of each is written in a second; metrics count all.
var (
	ClientClosed   = Event{805, warning, "a client's connection was closed to make room", []string{FieldAddress, FieldName, FieldLimit, FieldFigure}, "Find the client if it comes often; see operators/overload.md. It had been longest without a complete request. Name is the port, Figure the limit."}
	ClientRefused  = Event{806, warning, "a client was refused: each connection has a request in progress", []string{FieldAddress, FieldName, FieldLimit, FieldFigure}, "Add nodes, or use larger VMs, if the load is ordinary; see operators/overload.md. Nothing was run. Name is the port, Figure the limit."}
	RequestEvicted = Event{808, warning, "a whole request was refused: its connection was closed to make room", []string{FieldRequest, FieldAddress, FieldName, FieldLimit, FieldFigure}, "As for 805. Nothing was run; the caller got 503, if it still read. Name is the port, Figure the limit."}
	HeadTooLarge   = Event{807, warning, "a request's head was refused as too large", []string{FieldAddress, FieldName, FieldLimit, FieldFigure}, "Find the client; Figure is the limit of the configuration in bytes."}
)
