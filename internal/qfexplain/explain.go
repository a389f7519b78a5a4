// Package qfexplain reads the log lines of nodes and tells what decided one request.
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
	// maxLine bounds a log line.
	maxLine = 1 << 20
	// around is how long before and after a request's line the news of its endpoints
	// matter.
	around = 10 * time.Second
)

// line is a log line; fields that aren't named here are of no use for a request.
type line struct {
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

	// Plain and Notable count lines that were left out.
	Plain   int `json:"Plain"`
	Notable int `json:"Notable"`
}

// read returns the lines of a log. What isn't a line of a node, such as a prefix that a
// collector puts before it, is left out.
func read(log io.Reader) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l line
		if json.Unmarshal([]byte(text[start:]), &l) == nil && l.Event != 0 {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// Explain writes the chain of decisions of a request, as the log tells it. It returns
// false if the log has no line of the request, and writes then how many were left out.
func Explain(out io.Writer, log io.Reader, request string) (bool, error) {
	lines, err := read(log)
	if err != nil {
		return false, err
	}
	isFound := false
	for i := range lines {
		if lines[i].Request != request {
			continue
		}
		isFound = true
		if err := explainOne(out, &lines[i], lines); err != nil {
			return true, err
		}
	}
	if !isFound {
		return false, tellLeftOut(out, lines)
	}
	return true, nil
}

// tellLeftOut says how many lines nodes left out under load, among which the request's may be.
func tellLeftOut(out io.Writer, lines []line) error {
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
	_, err := fmt.Fprintf(out, "nodes left out %d lines of requests that were answered at once, and %d of others\n", plain, notable)
	return err
}

func explainOne(out io.Writer, l *line, all []line) error {
	text := fmt.Sprintf("%s  event %d: %s\n  route %q, organisation %q, configuration %d, status %d, first byte %s, whole %s\n",
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
		if news := newsOf(&all[i], l, endpoints); news != "" {
			text += news
		}
	}
	_, err := io.WriteString(out, text)
	return err
}

// newsOf tells of an event close to a request that may bear on it.
func newsOf(other, request *line, endpoints []string) string {
	distance := other.Time.Sub(request.Time)
	if distance < -around || distance > around {
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
