// Package qfforward forwards callers' requests to endpoints unchanged: it checks them
// against the configuration, makes the attempts that the route allows, and delivers one
// complete answer or an error that states whether the request may have run.
package qfforward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfconfig"
	"quetzalfront/internal/qf/state/qfresponse"
)

// Ports holds the dependencies of a forwarder. No field may be nil.
type Ports struct {
	Clock         qf.Clock
	Protocol      qf.CallerProtocol
	Endpoints     qf.EndpointClient
	Picker        qf.EndpointPicker
	Admission     qf.AdmissionController
	PoisonFilter  qf.PoisonFilter
	Configuration *qfconfig.Current
	Startup       Startup
	Mover         qf.RunMover
	// Peers sends requests through the nodes that Router chooses.
	Peers   qf.EndpointClient
	Router  qf.PeerRouter
	Monitor qf.AttemptMonitor
	Callers qf.CallerPresence
	// Self is this node.
	Self qf.NodeID
	// ObserveMove is called with the result of each move of a stream to another endpoint.
	ObserveMove func(request qf.RequestID, from, to qf.EndpointID, certainty qf.Certainty, err error)
	// Observe is called with the outcome of each request.
	Observe func(*Outcome)
	// Answers bounds what the answers in progress take.
	Answers *qfresponse.Budget
	// IsLeaving reports whether the node is leaving, so that callers should open their
	// next connection to another node.
	IsLeaving func() bool
	// ServesUntil returns when a node that is stopping aborts what is still in progress. It is zero while the node accepts
	// requests whatever time they may take.
	ServesUntil func() time.Time
}

const (
	// defaultTimeout bounds requests of routes without a timeout.
	defaultTimeout = 30 * time.Second
	// bodyTimeout bounds the reading of a request's body, and defaultMaxBodyBytes its size if
	// the configuration doesn't.
	bodyTimeout         = 10 * time.Second
	defaultMaxBodyBytes = 16 << 20
	// notReadyRetryAfter is the Retry-After of a node without a configuration.
	notReadyRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a node that is stopping: others serve at once.
	stoppingRetryAfter = 10 * time.Millisecond
)

// Forwarder is an http.Handler that forwards callers' requests to endpoints.
type Forwarder struct {
	ports   Ports
	streams *streamTable
}

// New returns a forwarder.
func New(ports Ports) *Forwarder { return &Forwarder{ports: ports, streams: newStreamTable()} }

// call is one request of a caller in progress.
type call struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	incoming  *http.Request
	request   qf.CallerRequest
	route     *qf.CallerRoute
	// settings are those of the caller's organisation; nil means that there is none.
	settings *qf.OrganisationSettings
	body     []byte
	// isRead is true once the body was read.
	isRead    bool
	arrivedAt time.Time
	deadline  time.Time
	outcome   Outcome
	// isCounted is true once the request was counted as run, by this node or by one that it passed the request to.
	isCounted bool
	// isPartlySent is true while the caller has a part of an answer that nothing but the rest of that answer can
	// follow.
	isPartlySent bool
	// hop is set if another node has passed the request on.
	hop *qf.PeerHop
	// room is what the answer takes, headRoom the part of its head and buffered its buffered body.
	room     *qfresponse.Share
	headRoom *qfresponse.Part
	buffered heldBuffer
}

// ServeHTTP implements http.Handler for callers.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.serve(w, r, nil) }

func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request, hop *qf.PeerHop) {
	now := f.ports.Clock.Now()
	c := &call{forwarder: f, writer: w, incoming: r, arrivedAt: now, deadline: now.Add(defaultTimeout), hop: hop}
	c.room = f.ports.Answers.Open()
	defer c.room.Close()
	c.headRoom, c.buffered.room = c.room.NewPart(), c.room.NewPart()
	if hop != nil {
		c.outcome.FromPeer = hop.From
	}
	defer c.recoverPanic()
	c.boundDelivery()
	if f.ports.IsLeaving() {
		w.Header().Set("Connection", "close")
		w.Header().Del("Keep-Alive")
	}
	if err := c.accept(); err != nil {
		c.refuse(err)
	} else {
		c.run()
	}
	c.observe()
}

// recoverPanic ends a request in whose handling the node has panicked: with an answer, or with an abort if one has begun.
func (c *call) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler { //nolint:errorlint // The value of a panic.
		panic(cause)
	}
	err := &qf.Error{
		Code: qf.CodeInternal, Step: qf.StepAttempt, Reason: "the node failed while it handled the request", Ran: qf.RanUnknown,
		Cause: fmt.Errorf("panic: %v\n%s", cause, debug.Stack()),
	}
	if c.outcome.Status != 0 {
		c.outcome.Err = errors.Join(c.outcome.Err, err)
		c.abort()
	}
	c.refuse(err)
	c.observe()
}

// observe reports the request's outcome.
func (c *call) observe() {
	c.outcome.Took = c.forwarder.ports.Clock.Now().Sub(c.arrivedAt)
	c.recordDeparture()
	c.forwarder.ports.Observe(&c.outcome)
}

// refusal returns the error for a request that is refused before it runs.
func refusal(code qf.Code, field, reason string, retryAfter time.Duration) *qf.Error {
	return &qf.Error{Code: code, Step: qf.StepAccept, Field: field, Reason: reason, Ran: qf.RanNo, RetryAfter: retryAfter}
}

// accept checks the request against the configuration and reads its body.
func (c *call) accept() error {
	request, invalid := c.forwarder.ports.Protocol.DecodeRequest(c.incoming)
	c.request, c.outcome.Request = request, request.ID
	if err := c.awaitReady(); err != nil {
		return err
	}
	table := c.forwarder.ports.Configuration.Get()
	if table == nil {
		return refusal(qf.CodeUnavailable, "", "the node has no configuration yet", notReadyRetryAfter)
	}
	c.outcome.Revision = table.Configuration.Revision
	if invalid != nil {
		return invalid
	}
	if c.route = table.Route(c.request.Host, c.request.Path); c.route == nil {
		return refusal(qf.CodeNotFound, "Path", "no route has this host and path", 0)
	}
	c.outcome.Route = c.route.Name
	if err := c.identify(table); err != nil {
		return err
	}
	c.setDeadline()
	if until := c.forwarder.ports.ServesUntil(); !until.IsZero() && c.deadline.After(until) {
		return refusal(qf.CodeUnavailable, "", "the node is stopping, and the request may take longer", stoppingRetryAfter)
	}
	if err := c.readBody(table.Configuration.Limits.MaxBodyBytes); err != nil {
		return err
	}
	if err := c.forwarder.ports.PoisonFilter.CheckRequest(c.forwarder.ports.Clock.Now(), c.content()); err != nil {
		return err
	}
	if c.hasLeft() {
		return errCallerLeft()
	}
	if c.hop != nil {
		return c.acceptFromPeer()
	}
	return c.admit()
}

// hasLeft reports whether the caller, or the node that passed the request on, has left.
func (c *call) hasLeft() bool { return c.forwarder.ports.Callers.HasLeft(c.incoming.Context()) }

// isWanted reports whether anybody still waits for the answer.
func (c *call) isWanted() bool { return !c.hasLeft() }

// errCallerLeft returns the error of a request that isn't run because nobody waits for its answer.
func errCallerLeft() *qf.Error {
	err := refusal(qf.CodeUnavailable, "", "the caller has left", 0)
	err.Cause = qf.ErrCallerLeft
	return err
}

// content returns the content by which requests that crash endpoints are found.
func (c *call) content() *qf.RequestContent {
	content := &qf.RequestContent{
		ID: c.request.ID, Organisation: c.organisation(), Method: c.incoming.Method, Host: c.request.Host,
		Target: c.incoming.RequestURI, Body: c.body, Entries: c.route.Entries,
	}
	if prompt := c.request.Prompt; prompt != nil && len(prompt.Parts) > 0 {
		content.SharedParts = prompt.Parts[:len(prompt.Parts)-1]
	}
	return content
}

// identify looks up the organisation of the caller's key.
func (c *call) identify(table *qfconfig.Index) error {
	if !table.HasOrganisations() || c.route.Public && c.request.Key == "" {
		return nil
	}
	c.settings = table.Organisation(c.request.Key)
	if c.settings == nil && !c.route.Public {
		return refusal(qf.CodeForbidden, "Key", "no organisation holds this key", 0)
	}
	c.outcome.Organisation = c.organisation()
	return nil
}

func (c *call) organisation() qf.Organisation {
	if c.settings == nil {
		return ""
	}
	return c.settings.Organisation
}

// residency returns the regions in which the request may be.
func (c *call) residency() qf.Residency {
	residency := qf.Residency{Route: c.route.Regions}
	if c.settings != nil {
		residency.Organisation = c.settings.Regions
	}
	return residency
}

func (c *call) setDeadline() {
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if left := c.request.TimeLeft; left > 0 && left < timeout {
		timeout = left
	}
	c.deadline = c.arrivedAt.Add(timeout)
	c.boundDelivery()
}

// deliveryTime is how long after the request's deadline a caller may take to read what was answered before it.
const deliveryTime = 10 * time.Second

// boundDelivery bounds how long a caller that doesn't read its answer holds it, and the connection.
func (c *call) boundDelivery() {
	_ = http.NewResponseController(c.writer).SetWriteDeadline(c.deadline.Add(deliveryTime)) // Not every writer supports deadlines.
}

func (c *call) readBody(limit int64) error {
	if c.isRead {
		if limit > 0 && int64(len(c.body)) > limit {
			return errTooLarge()
		}
		return nil
	}
	c.isRead = true
	if c.incoming.Body == nil || c.incoming.Body == http.NoBody {
		return nil
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.incoming.ContentLength > limit {
		return errTooLarge()
	}
	control := http.NewResponseController(c.writer)
	_ = control.SetReadDeadline(c.arrivedAt.Add(bodyTimeout)) // Not every writer supports deadlines.
	body, err := readAll(http.MaxBytesReader(c.writer, c.incoming.Body, limit), c.incoming.ContentLength)
	_ = control.SetReadDeadline(time.Time{}) // As above.
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errTooLarge()
	case err != nil:
		return &qf.Error{Code: qf.CodeInvalid, Step: qf.StepAccept, Field: "Body", Reason: "the body can't be read", Ran: qf.RanNo, Cause: err}
	}
	c.body = body
	return nil
}

func errTooLarge() error {
	return refusal(qf.CodeTooLarge, "Body", "the body is larger than the configuration allows", 0)
}

// firstBodyBytes bounds what is allocated for a body before any of it has arrived.
const firstBodyBytes = 64 << 10

// readAll reads a body; a negative length means that its length is unknown.
func readAll(source io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(source)
	}
	body := bytes.NewBuffer(make([]byte, 0, min(length, firstBodyBytes)+bytes.MinRead))
	_, err := body.ReadFrom(source)
	return body.Bytes(), err
}

// admit takes the request's units from its organisation's quota, or refuses the request.
func (c *call) admit() error {
	if c.settings == nil || c.settings.UnitsPerSecond <= 0 {
		return nil
	}
	decision := c.takeQuota()
	if decision.IsAdmitted {
		return nil
	}
	err := refusal(qf.CodeLimited, "Organisation", "the organisation's quota is spent", decision.RetryAfter)
	err.Cause = errors.New(decision.String())
	return err
}

// units returns the units that the request takes from the quota.
func (c *call) units() float64 {
	switch {
	case !c.settings.CountsTokens:
		return 1
	case c.request.Prompt == nil:
		return float64(c.settings.PlainTokens)
	default:
		return float64(c.request.Prompt.Tokens + c.request.Prompt.MaxAnswerTokens)
	}
}

// priority returns the request's priority at the endpoint, from 0, the most urgent; it is
// -1 for routes that don't generate.
func (c *call) priority() int {
	if !c.route.Generates {
		return -1
	}
	return c.rank()
}

// rank returns how urgent the request is, from 0, the most urgent: its organisation's priority goes before its route's.
func (c *call) rank() int {
	const least = 9
	rank := c.route.Priority
	if c.settings != nil && c.settings.Priority != nil {
		rank = *c.settings.Priority
	}
	return min(max(rank, 0), least)
}

// statuses maps the codes of the node's own errors to HTTP statuses.
var statuses = map[qf.Code]int{
	qf.CodeInvalid: http.StatusBadRequest, qf.CodeForbidden: http.StatusUnauthorized, qf.CodeNotFound: http.StatusNotFound,
	qf.CodeTooLarge: http.StatusRequestEntityTooLarge, qf.CodeLimited: http.StatusTooManyRequests,
	qf.CodeUnavailable: http.StatusServiceUnavailable, qf.CodeNoEndpoint: http.StatusServiceUnavailable,
	qf.CodeOverloaded: http.StatusServiceUnavailable, qf.CodeSuspect: http.StatusServiceUnavailable,
	qf.CodeDeadline: http.StatusGatewayTimeout, qf.CodeBroken: http.StatusBadGateway,
}

// refuse answers with an error of the node itself.
func (c *call) refuse(err error) {
	var known *qf.Error
	if !errors.As(err, &known) {
		known = &qf.Error{Code: qf.CodeBroken, Step: qf.StepAccept, Cause: err}
	}
	status, ok := statuses[known.Code]
	if !ok {
		status = http.StatusBadGateway
	}
	c.outcome.Status, c.outcome.Err = status, err
	c.forwarder.ports.Protocol.SetRefusalHeader(c.writer.Header(), c.request.ID, known.RetryAfter)
	if c.hop != nil {
		setPeerRefusal(c.writer.Header(), known)
	}
	http.Error(c.writer, known.Reason, status)
}

// The causes for which a request's context ends, besides its caller's leaving.
var (
	errCallerDeadline = fmt.Errorf("the caller's time was over: %w", context.DeadlineExceeded)
	errRouteTimeout   = fmt.Errorf("the route's timeout was reached: %w", context.DeadlineExceeded)
)

// context returns the request's context with its deadline.
func (c *call) context() (context.Context, context.CancelFunc) {
	cause := errRouteTimeout
	if c.request.TimeLeft > 0 && !c.arrivedAt.Add(c.request.TimeLeft).After(c.deadline) {
		cause = errCallerDeadline
	}
	return context.WithDeadlineCause(c.incoming.Context(), c.deadline, cause)
}
