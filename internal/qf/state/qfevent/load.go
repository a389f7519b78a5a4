package qfevent

// LoadUnreadable is logged once for each start of an endpoint.
var LoadUnreadable = Event{345, warning, "what an endpoint states of its load can't be read", []string{FieldEndpoint, FieldEntry, FieldName, FieldCount}, "Correct the endpoint. Name is Load, and the node then routes by its own measurements, or Slowdown, and only that figure isn't used. Count is the number of such answers that the node has received from all endpoints."}
