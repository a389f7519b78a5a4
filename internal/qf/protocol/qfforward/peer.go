package qfforward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
)

// The headers that nodes add to the requests and answers that they pass to each other.
const (
	headerFrom    = "X-Quetzalfront-From"
	headerRuns    = "X-Quetzalfront-Runs"
	headerEntry   = "X-Quetzalfront-Entry"
	headerCounted = "X-Quetzalfront-Counted"
	// headerRan and headerCode are set in refusals of the node itself, and never in an endpoint's
	// answer.
	headerRan  = "X-Quetzalfront-Ran"
	headerCode = "X-Quetzalfront-Code"
)

// peerHeaders are all headers that only nodes may set.
var peerHeaders = []string{headerFrom, headerRuns, headerEntry, headerCounted, headerRan, headerCode}

const (
	// maxPeers bounds the nodes to which one request is passed.
	maxPeers = 3
	// unreachedBeforePeer is the number of attempts without a connection after which a request is
	// passed to another node, although this one isn't known to be cut off.
	unreachedBeforePeer = 2
	// peerFirstByteFactor is the multiple of an attempt's time for its first byte that a peer may
	// take, because it makes attempts in turn itself.
	peerFirstByteFactor = 2.5
	// peerBusyRetryAfter is the Retry-After of a node that takes no more requests from peers.
	peerBusyRetryAfter = 200 * time.Millisecond
)

// ServePeer serves requests that other nodes pass on because they don't reach the endpoints.
func (f *Forwarder) ServePeer(w http.ResponseWriter, r *http.Request) {
	info := &qf.PeerHop{From: qf.NodeID(r.Header.Get(headerFrom)), Entry: qf.EntryName(r.Header.Get(headerEntry)), IsCounted: r.Header.Get(headerCounted) != ""}
	info.Runs, _ = strconv.Atoi(r.Header.Get(headerRuns)) // Missing means none.
	for _, name := range peerHeaders {
		r.Header.Del(name)
	}
	f.serve(w, r, info)
}

// acceptFromPeer refuses a request from a peer that this node can't serve either, so that the peer
// passes it to another one.
func (c *call) acceptFromPeer() error {
	router := c.forwarder.ports.Router
	switch {
	case router.IsCutOff(c.route.Entries):
		return errNoLink()
	case !router.MayAccept():
		return refusal(qf.CodeUnavailable, "", "the node takes no more requests from others", peerBusyRetryAfter)
	default:
		return nil
	}
}

func errNoLink() *qf.Error {
	return refusal(qf.CodeUnavailable, "", "the node doesn't reach the endpoints", notReadyRetryAfter)
}

// setPeerRefusal adds what the peer has to know to a refusal.
func setPeerRefusal(header http.Header, err *qf.Error) {
	ran := err.Ran
	if ran != qf.RanNo {
		ran = qf.RanUnknown
	}
	header.Set(headerRan, string(ran))
	header.Set(headerCode, string(err.Code))
}

// shouldUsePeer reports whether the next attempt is left to another node.
func (c *call) shouldUsePeer(p *progress) bool {
	return c.mayUsePeer(p) && (p.unreached >= unreachedBeforePeer || c.forwarder.ports.Router.IsCutOff(c.route.Entries))
}

// isOutOfReach reports whether an attempt had no connection, the node is cut off, and no other node is known that isn't: another attempt
// would only hold the request.
func (c *call) isOutOfReach(p *progress) bool {
	return c.hop == nil && p.unreached > 0 && c.forwarder.ports.Router.IsCutOff(c.route.Entries)
}

// mayUsePeer reports whether the request may be passed to another node.
func (c *call) mayUsePeer(p *progress) bool { return c.hop == nil && len(p.peers) < maxPeers }

// tryOtherNode passes a request for which this node has no endpoint to one that may have, if there is a
// reason to expect it. It returns nil otherwise.
func (c *call) tryOtherNode(ctx context.Context, p *progress, s *relay, entry qf.EntryName, err error) *attempt {
	if p.unreached > 0 && qf.CodeOf(err) != qf.CodeOverloaded {
		return c.tryPeer(ctx, p, s, entry)
	}
	if len(p.peers) > 0 {
		return nil
	}
	node, ok := c.forwarder.ports.Router.PickHolder(c.peerQuery(p))
	if !ok {
		return nil
	}
	return c.passTo(ctx, p, s, &node, entry)
}

// tryPeer passes the request to a node that reaches the endpoints. It returns nil if there is none.
func (c *call) tryPeer(ctx context.Context, p *progress, s *relay, entry qf.EntryName) *attempt {
	node, ok := c.forwarder.ports.Router.PickPeer(c.peerQuery(p))
	if !ok {
		return nil
	}
	return c.passTo(ctx, p, s, &node, entry)
}

// peerQuery returns the query for a node that the request may be passed to.
func (c *call) peerQuery(p *progress) *qf.PeerQuery {
	return &qf.PeerQuery{Now: c.forwarder.ports.Clock.Now(), Entries: c.route.Entries, Residency: c.residency(), Excluded: p.peers}
}

// passTo passes the request to a node.
func (c *call) passTo(ctx context.Context, p *progress, s *relay, node *qf.Node, entry qf.EntryName) *attempt {
	ports := &c.forwarder.ports
	now := ports.Clock.Now()
	p.peers = append(p.peers, node.ID)
	a := &attempt{peer: node.ID, startedAt: now}
	c.sendToPeer(ctx, p, s, a, node, entry)
	isUsable := a.end != qf.AttemptBroken && (a.end != qf.AttemptNotRun || a.refusal != nil && a.refusal.Code != qf.CodeUnavailable)
	ports.Router.RecordPeerEnd(ports.Clock.Now(), node.ID, isUsable)
	return a
}

// sendToPeer sends the request to a node and reads or relays its answer.
func (c *call) sendToPeer(ctx context.Context, p *progress, s *relay, a *attempt, node *qf.Node, entry qf.EntryName) {
	ports := &c.forwarder.ports
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := c.watchPeer(p, cancel)
	header := ports.Protocol.BuildPeerHeader(c.incoming.Header, c.deadline.Sub(ports.Clock.Now()), s.lastEvent)
	header.Set(headerFrom, string(ports.Self))
	header.Set(headerRuns, strconv.Itoa(p.runs))
	header.Set(headerEntry, string(entry))
	if c.isCounted {
		header.Set(headerCounted, "1")
	}
	answer, err := ports.Peers.SendRequest(ctx, &qf.EndpointRequest{
		ID: c.request.ID, Method: c.incoming.Method, Target: c.incoming.RequestURI, Host: c.incoming.Host, Body: c.body, Header: header, IsWanted: c.isWanted,
		HeadRoom: c.headRoom,
		Endpoint: qf.Endpoint{ID: qf.EndpointID(node.ID), Address: node.PeerAddress, Incarnation: node.Incarnation},
	})
	if err != nil {
		watch.Stop()
		c.classifyFailure(ctx, a, err)
		return
	}
	defer answer.Body.Close() //nolint:errcheck // An error on close changes nothing.
	a.answer = answer
	if a.refusal = c.decodeRefusal(answer, node.ID); a.refusal != nil {
		watch.Stop()
		a.end, a.err = qf.AttemptBroken, a.refusal
		if a.refusal.Ran == qf.RanNo {
			a.end = qf.AttemptNotRun
		}
		c.isCounted = c.isCounted || a.refusal.Ran != qf.RanNo // The peer has counted what may have run.
		return
	}
	a.setVerdict(judgePeerAnswer(answer, s.headerSent))
	if a.flaw != nil {
		watch.Stop()
		c.recordFirstByte(a)
		return // What follows the head changes nothing.
	}
	if a.end == qf.AttemptAnswered && c.route.Kind == qf.RouteStream && answer.Status == http.StatusOK {
		err = s.relayStream(a, watch)
	} else {
		err = c.read(a, watch)
	}
	if err != nil {
		c.classifyFailure(ctx, a, err)
	}
	p.delivered = s.headerSent
}

// watchPeer cancels an attempt through a peer that doesn't begin to answer, if the request may be
// repeated through another one.
func (c *call) watchPeer(p *progress, cancel context.CancelCauseFunc) *qftimer.Alarm {
	if !c.route.MayRepeat() || p.runs+1 >= c.route.Attempts || p.delivered {
		return &qftimer.Alarm{}
	}
	timeout := max(time.Duration(float64(c.route.Objective)*firstByteTimeoutShare*peerFirstByteFactor), minPeerTimeout)
	return c.cancelAfter(timeout, cancel)
}

// minPeerTimeout is the least time in which a peer has to begin its answer.
const minPeerTimeout = 500 * time.Millisecond

// decodeRefusal returns the refusal of a node, or nil for an endpoint's answer.
func (c *call) decodeRefusal(answer *qf.EndpointResponse, node qf.NodeID) *qf.Error {
	ran := qf.Ran(answer.Header.Get(headerRan))
	if ran == "" {
		return nil
	}
	err := &qf.Error{
		Code: qf.Code(answer.Header.Get(headerCode)), Step: qf.StepPeer, Peer: string(node), Reason: "the node that was asked refused the request", Ran: ran,
	}
	if after, parseErr := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); parseErr == nil && after > 0 {
		err.RetryAfter = time.Duration(after * float64(time.Second))
	}
	return err
}

// nextAfterPeer returns the step that follows an attempt through a peer. What the peer has found out by
// attempts of its own is final.
func (c *call) nextAfterPeer(p *progress, a *attempt) nextStep {
	now := c.forwarder.ports.Clock.Now()
	p.end, p.timeLeft, p.isPartlySent = a.end, c.deadline.Sub(now), c.isPartlySent
	mayRetry := p.hasTime() && len(p.peers) < maxPeers
	switch {
	case p.isPartlySent:
		return nextAbort
	case a.end == qf.AttemptAnswered:
		return nextDone
	case a.end == qf.AttemptFailed:
		return p.deliverFailure()
	case a.end == qf.AttemptNotRun && isFinalRefusal(a.refusal) && p.runs == 0 && !p.delivered:
		return nextPassRefusal
	case a.end == qf.AttemptNotRun && mayRetry && !isFinalRefusal(a.refusal):
		return p.retryStep()
	case a.end == qf.AttemptNotRun:
		c.outcome.Err = a.err
		return p.giveUp()
	}
	p.runs++
	isFinal := a.end == qf.AttemptCancelled || a.refusal != nil || !mayRetry || !p.mayRetry()
	if isFinal || !c.forwarder.ports.Admission.TakeRetry(now, c.route.Entries[0].Entry) {
		return p.giveUp()
	}
	return p.retryStep()
}

// isFinalRefusal reports whether no other node would serve the request either. A node may not have
// the newest configuration.
func isFinalRefusal(refusal *qf.Error) bool {
	if refusal == nil {
		return false
	}
	switch refusal.Code {
	case qf.CodeUnavailable, qf.CodeNotFound, qf.CodeForbidden, qf.CodeTooLarge, qf.CodeInvalid:
		return false
	default:
		return true
	}
}
