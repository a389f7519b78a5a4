// Package standflood is a stand-in for a server in trouble: it answers each connection with bytes
// that have no end, until the connection is closed.
package standflood

import (
	"io"
	"net"
	"strings"
)

// Flood is what arrives without end.
type Flood string

// The floods. Each begins like the part of a response that it is named for.
const (
	StatusLine  Flood = "StatusLine"
	HeaderField Flood = "HeaderField"
	HeaderLines Flood = "HeaderLines"
	// HeaderNames are header fields without a value, each with another name.
	HeaderNames Flood = "HeaderNames"
	NoResponse  Flood = "NoResponse"
	Interim     Flood = "Interim"
	ChunkSize   Flood = "ChunkSize"
	Trailer     Flood = "Trailer"
	Body        Flood = "Body"
	ChunkedBody Flood = "ChunkedBody"
	LengthBody  Flood = "LengthBody"
	// StaleBody is the body of a response to another request.
	StaleBody Flood = "StaleBody"
	// JSON is a JSON document whose text doesn't end, Message a message of a peer that is far
	// too long, LongMessage one of nearly the largest length.
	JSON Flood = "JSON"
	// JSONRows is a JSON document whose list of rows doesn't end.
	JSONRows    Flood = "JSONRows"
	Message     Flood = "Message"
	LongMessage Flood = "LongMessage"
	// Event is an event of a stream that doesn't end, Events are events without end.
	Event  Flood = "Event"
	Events Flood = "Events"
)

// All lists the floods.
func All() []Flood {
	return []Flood{
		StatusLine, HeaderField, HeaderLines, HeaderNames, NoResponse, Interim, ChunkSize, Trailer, Body, ChunkedBody, LengthBody, StaleBody, JSON, JSONRows, Message, LongMessage, Event, Events,
	}
}

const (
	ok    = "HTTP/1.1 200 OK\r\n"
	block = 16 << 10
)

// parts returns what is sent once and what is sent again and again. The header fields go into
// each response.
func (f Flood) parts(fields string) (once, again string) {
	line := strings.Repeat("x", block)
	switch f {
	case StatusLine:
		return "HTTP/1.1 200 ", line
	case HeaderField:
		return ok + fields + "X-Long: ", line
	case HeaderLines:
		return ok + fields, strings.Repeat("X-Some: some\r\n", block/14)
	case HeaderNames:
		return ok + fields, distinctNames()
	case Interim:
		return "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: some\r\n\r\n", 100)
	case ChunkSize:
		return ok + fields + "Transfer-Encoding: chunked\r\n\r\n4;x=", line
	case Trailer:
		return ok + fields + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Long: ", line
	case Body:
		return ok + fields + "\r\n", line
	case ChunkedBody:
		return ok + fields + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + line + "\r\n"
	case LengthBody:
		return ok + fields + "Content-Length: 1000000000000\r\n\r\n", line
	case StaleBody:
		return ok + "X-Request-Id: another\r\nContent-Length: 1000000000000\r\n\r\n", line
	case JSON:
		return ok + fields + "Content-Type: application/json\r\n\r\n{\"rows\":\"", line
	case Message:
		return "\xfc\x7f\xff\xff\xff", line
	case JSONRows:
		return ok + fields + "Content-Type: application/json\r\n\r\n{\"rows\":[", strings.Repeat("{},", block/3)
	case LongMessage:
		return "\xfc\x01\xff\xff\xff", line
	case Event:
		return ok + fields + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", line
	case Events:
		return ok + fields + "Content-Type: text/event-stream\r\n\r\n", strings.Repeat("id: 1\ndata: some\n\n", 100)
	default:
		return "", line
	}
}

// distinctNames returns a block of short header fields, each with another name.
func distinctNames() string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var block strings.Builder
	for _, a := range letters {
		for _, b := range letters {
			for _, c := range letters[:4] {
				block.WriteString(string([]rune{a, b, c}) + ":\r\n")
			}
		}
	}
	return block.String()
}

// Server floods the connections of a listener.
type Server struct {
	Flood Flood
	// Fields are header fields of the responses, each with its line end.
	Fields string
	// Pause is called between two writes; it may be nil.
	Pause func()
	// Most bounds the bytes that are sent on one connection, which then stays open and silent; 0 means no bound.
	Most int
	// Closed is called when a client has closed its connection; it may be nil.
	Closed func()
}

// Serve serves a listener until it is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go s.flood(connection)
	}
}

// flood reads the beginning of a request and writes until the client closes the connection.
func (s *Server) flood(connection net.Conn) {
	defer connection.Close() //nolint:errcheck // The flood is over.
	request := make([]byte, block)
	if _, err := connection.Read(request); err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, connection) // The rest of the request isn't needed.
	}()
	once, again := s.Flood.parts(s.Fields)
	sent := 0
	for text := once + again; ; text = again {
		if sent += len(text); s.Most > 0 && sent > s.Most {
			<-ended
		}
		if _, err := io.WriteString(connection, text); err != nil {
			if s.Closed != nil {
				s.Closed()
			}
			return
		}
		if s.Pause != nil {
			s.Pause()
		}
	}
}
