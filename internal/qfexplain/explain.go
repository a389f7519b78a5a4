// Package qfexplain explains a request from the log lines of nodes: its attempts, the
// reasons for them, and the events that may have affected it.
package qfexplain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// relatedWithin is the time before and after a request's log line in which events of
	// its endpoints and of feeds are printed with it.
	relatedWithin = 10 * time.Second
)

// logLine holds the fields of a log line that matter for explaining a request.
type logLine struct {
	Time     time.Time `json:"time"`
	Event    int       `json:"Event"`
	Message  string    `json:"message"`
	Request  string    `json:"Request"`
	Route    string    `json:"Route"`
	Revision uint64    `json:"Revision"`
	Status   int       `json:"Status"`
	Attempts string    `json:"Attempts"`
	First    string    `json:"First"`
	Took     string    `json:"Took"`
	Error    string    `json:"Error"`
	Endpoint string    `json:"Endpoint"`
	Reason   string    `json:"Reason"`
	Feed     string    `json:"Feed"`

	Organisation string `json:"Organisation"`

	// Plain and Notable count the log lines that a node dropped: of requests that
	// succeeded at the first attempt, and of all others.
	Plain   int `json:"Plain"`
	Notable int `json:"Notable"`
}

// readLines returns the log lines of nodes. It skips other lines, and the text before the
// JSON of a line, such as the prefix of a log collector.
func readLines(log io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(text[start:]), &l) == nil && l.Event != 0 {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// Explain writes the decisions about a request that are in the log. It returns false if
// the log has no line of the request; it then writes how many lines the nodes dropped.
func Explain(out io.Writer, log io.Reader, request string) (bool, error) {
	lines, err := readLines(log)
	if err != nil {
		return false, err
	}
	isFound := false
	for i := range lines {
		if lines[i].Request != request {
			continue
		}
		isFound = true
		if err := writeRequest(out, &lines[i], lines); err != nil {
			return true, err
		}
	}
	if !isFound {
		return false, writeDropped(out, lines)
	}
	return true, nil
}

// writeDropped writes how many log lines the nodes dropped under load. The request's line
// may be among them.
func writeDropped(out io.Writer, lines []logLine) error {
	plain, notable := 0, 0
	for i := range lines {
		if lines[i].Event == qfevent.RequestsLeftOut.Number {
			plain += lines[i].Plain
			notable += lines[i].Notable
		}
	}
	if plain+notable == 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "nodes dropped %d log lines of requests that succeeded at the first attempt, and %d of others\n", plain, notable)
	return err
}

// writeRequest writes a request's log line and the related events.
func writeRequest(out io.Writer, l *logLine, all []logLine) error {
	text := fmt.Sprintf("%s  event %d: %s\n  route %q, organisation %q, configuration %d, status %d, first byte %s, total %s\n",
		l.Time.Format(time.RFC3339), l.Event, l.Message, l.Route, l.Organisation, l.Revision, l.Status, l.First, l.Took)
	endpoints := []string{}
	for i, attempt := range strings.Split(l.Attempts, "; ") {
		if attempt == "" {
			continue
		}
		text += fmt.Sprintf("  attempt %d: %s\n", i+1, attempt)
		endpoint, _, _ := strings.Cut(attempt, " ")
		endpoints = append(endpoints, endpoint)
	}
	if l.Error != "" {
		text += "  cause: " + l.Error + "\n"
	}
	for i := range all {
		if related := relatedEvent(&all[i], l, endpoints); related != "" {
			text += related
		}
	}
	_, err := io.WriteString(out, text)
	return err
}

// relatedEvent returns the text for a log line that may explain a request: an event of
// one of its endpoints, or the loss or return of a feed, at about the same time. It
// returns an empty string for any other line.
func relatedEvent(other, request *logLine, endpoints []string) string {
	distance := other.Time.Sub(request.Time)
	if distance < -relatedWithin || distance > relatedWithin {
		return ""
	}
	subject := other.Endpoint
	switch {
	case slices.Contains(endpoints, other.Endpoint):
	case other.Event == qfevent.FeedLost.Number || other.Event == qfevent.FeedRegained.Number:
		subject = other.Feed
	default:
		return ""
	}
	return fmt.Sprintf("  %+.1f s: event %d, %s: %s %s\n", distance.Seconds(), other.Event, other.Message, subject, other.Reason+other.Error)
}
