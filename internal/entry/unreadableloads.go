package entry

import (
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// maxUnreadableLines is the number of log lines on unreadable loads in one unreadableWindow.
	maxUnreadableLines = 32
	unreadableWindow   = time.Minute
)

// unreadableLoads counts the answers whose load, or a part of it, can't be read.
type unreadableLoads struct {
	// reported holds the incarnations of which there was a log line. It has no other endpoints than those that are
	// listed.
	reported map[qf.EndpointID]qf.Incarnation
	// count is the number of such answers.
	count uint64
	// windowBegan is the start of the current window, and lines the number of log lines in it.
	windowBegan time.Time
	lines       int
}

// unreadableLoad is the content of a log line on an unreadable load.
type unreadableLoad struct {
	endpoint *qf.Endpoint
	part     loadPart
	count    uint64
}

// loadPart is the part of a stated load that can't be read.
type loadPart string

// The parts of a load.
const (
	loadWhole    loadPart = "Load"
	loadSlowdown loadPart = "Slowdown"
)

// unreadablePart returns the part of an answer's load that can't be read, or "".
func unreadablePart(answer *qf.ResponseInfo) loadPart {
	switch {
	case answer.LoadKind == qf.StatedUnreadable:
		return loadWhole
	case answer.Load != nil && answer.Load.SlowdownKind == qf.StatedUnreadable:
		return loadSlowdown
	default:
		return ""
	}
}

// recordAnswer counts an answer whose load can't be read. It returns what is to be logged of it, or nil.
func (u *unreadableLoads) recordAnswer(now time.Time, endpoint *qf.Endpoint, answer *qf.ResponseInfo) *unreadableLoad {
	part := unreadablePart(answer)
	if part == "" {
		return nil
	}
	u.count++
	if incarnation, isKnown := u.reported[endpoint.ID]; isKnown && incarnation == endpoint.Incarnation {
		return nil
	}
	if now.Sub(u.windowBegan) >= unreadableWindow {
		u.windowBegan, u.lines = now, 0
	}
	if u.lines >= maxUnreadableLines {
		return nil
	}
	u.lines++
	if u.reported == nil {
		u.reported = map[qf.EndpointID]qf.Incarnation{}
	}
	u.reported[endpoint.ID] = endpoint.Incarnation
	return &unreadableLoad{endpoint: endpoint, part: part, count: u.count}
}

// keepListed forgets the endpoints that aren't listed any more, or have started again.
func (u *unreadableLoads) keepListed(endpoints []qf.Endpoint) {
	if len(u.reported) == 0 {
		return
	}
	kept := map[qf.EndpointID]qf.Incarnation{}
	for i := range endpoints {
		if incarnation, isKnown := u.reported[endpoints[i].ID]; isKnown && incarnation == endpoints[i].Incarnation {
			kept[endpoints[i].ID] = endpoints[i].Incarnation
		}
	}
	u.reported = kept
}

// observeUnreadableLoad logs that the load that an endpoint states can't be read.
func (e *Entry) observeUnreadableLoad(l *unreadableLoad) {
	qfevent.LoadUnreadable.Log(&e.platform.Logger, l.endpoint.ID, l.endpoint.Entry, l.part, l.count)
}
