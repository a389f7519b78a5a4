package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfreach"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// monitorInterval is the time between two looks at the attempts in progress.
	monitorInterval = 200 * time.Millisecond
	// silentAfter is the least time without bytes after which an attempt is silent, and silentFactor
	// the multiple of its predicted time to the first token.
	silentAfter  = 500 * time.Millisecond
	silentFactor = 3
	// abandonAfterCut and abandonAfterSilence are how long the node must have been cut off from an entry,
	// and an attempt there silent, until the attempt is abandoned: a slow endpoint, or a check that
	// failed once, is no reason to end an answer.
	abandonAfterCut     = 1200 * time.Millisecond
	abandonAfterSilence = 2 * time.Second
	// checkTimeout bounds the opening of a connection of a check.
	checkTimeout = 300 * time.Millisecond
	// lateAfter is how late a step is logged: half of the time in which work for a caller that left must end.
	lateAfter = 250 * time.Millisecond
)

// attemptMonitor implements qf.AttemptMonitor. It finds endpoints that are silent, and entries that the
// node doesn't reach.
type attemptMonitor struct {
	entry *Entry

	mu      sync.Mutex
	tracker *qfreach.Tracker
	watches map[*attemptWatch]struct{}
	// heardAt is when bytes of an entry's endpoints were last received.
	heardAt map[qf.EntryName]time.Time
	silent  silentEndpoints
	// steppedAt is when the last step began. Only step uses it.
	steppedAt time.Time
}

// attemptWatch implements qf.AttemptWatch.
type attemptWatch struct {
	monitor  *attemptMonitor
	endpoint qf.Endpoint
	// silentAfter is the time without bytes after which the attempt is silent.
	silentAfter time.Duration
	abandon     func()
	// lastBytes is when bytes were last received, in nanoseconds of Unix time; at first it is when
	// the attempt began. hasBytes is set once there were any.
	lastBytes atomic.Int64
	hasBytes  atomic.Bool
}

func newAttemptMonitor(e *Entry) *attemptMonitor {
	return &attemptMonitor{
		entry: e, tracker: qfreach.NewTracker(), watches: map[*attemptWatch]struct{}{}, heardAt: map[qf.EntryName]time.Time{},
		silent: silentEndpoints{},
	}
}

// BeginAttempt implements qf.AttemptMonitor.
func (m *attemptMonitor) BeginAttempt(now time.Time, picked *qf.PickedEndpoint, abandon func()) qf.AttemptWatch {
	w := &attemptWatch{
		monitor: m, endpoint: picked.Endpoint, abandon: abandon, silentAfter: max(silentAfter, silentFactor*picked.FirstToken),
	}
	w.lastBytes.Store(now.UnixNano())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watches[w] = struct{}{}
	return w
}

// RecordBytes implements qf.AttemptWatch.
func (w *attemptWatch) RecordBytes(now time.Time) {
	w.lastBytes.Store(now.UnixNano())
	w.hasBytes.Store(true)
}

// End implements qf.AttemptWatch.
func (w *attemptWatch) End(now time.Time, contact qf.Contact) {
	m := w.monitor
	m.mu.Lock()
	delete(m.watches, w)
	m.silent.recordHeard(w)
	if last := w.lastHeard(); last.After(m.heardAt[w.endpoint.Entry]) {
		m.heardAt[w.endpoint.Entry] = last
	}
	if contact != qf.ContactMade {
		m.tracker.RecordMiss(w.endpoint.Entry)
	}
	m.mu.Unlock()
	if contact == qf.ContactNone {
		m.entry.picker.recordUnreached(now, &w.endpoint)
	}
	if contact != qf.ContactMade {
		m.startChecks(now)
	}
}

func (w *attemptWatch) lastHeard() time.Time { return time.Unix(0, w.lastBytes.Load()) }

func (w *attemptWatch) isSilent(now time.Time) bool { return now.Sub(w.lastHeard()) >= w.silentAfter }

// setEndpoints sets the endpoints that may get requests.
func (m *attemptMonitor) setEndpoints(endpoints []qf.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.SetEndpoints(endpoints)
	m.silent.keepListed(endpoints)
}

// step looks for silent endpoints, and begins the checks that are due.
func (m *attemptMonitor) step(context.Context) {
	now := m.entry.now()
	isLate := m.observeLateness(now) >= lateAfter
	var lost []*attemptWatch
	m.mu.Lock()
	unheard := m.followAttempts(now)
	due := m.silent.dueChecks(now)
	if !isLate { // What has come meanwhile is read before the next step.
		lost = m.findLost(now)
	}
	m.mu.Unlock()
	m.closeIdle(unheard)
	for _, w := range lost {
		w.abandon()
	}
	for i := range due {
		endpoint := &due[i]
		m.entry.background.Go(func() { m.checkSilent(endpoint) })
	}
	m.startChecks(now)
}

// observeLateness records how late the step is: a node that is short of processor time, or stands still, comes late to
// requests and closed connections by as much.
func (m *attemptMonitor) observeLateness(now time.Time) time.Duration {
	last := m.steppedAt
	m.steppedAt = now
	if last.IsZero() {
		return 0
	}
	late := max(now.Sub(last)-monitorInterval, 0)
	if telemetry := m.entry.platform.Telemetry; telemetry != nil {
		telemetry.RecordLateness(late)
	}
	if late >= lateAfter {
		qfevent.NodeLate.Log(&m.entry.platform.Logger, late.String(), m.entry.inProgress.Load())
	}
	return late
}

// closeIdle closes the idle connections to endpoints: they may never carry anything again.
func (m *attemptMonitor) closeIdle(endpoints []qf.EndpointID) {
	for _, id := range endpoints {
		m.entry.exchanger.CloseIdleConnections(id)
	}
}

// followAttempts updates the silent endpoints, and records entries of which nothing was received for as
// long. It returns their endpoints. The caller must hold m.mu.
func (m *attemptMonitor) followAttempts(now time.Time) (unheard []qf.EndpointID) {
	missed := map[qf.EntryName]bool{}
	for w := range m.watches {
		name := w.endpoint.Entry
		missed[name] = missed[name] || w.isSilent(now)
		if last := w.lastHeard(); last.After(m.heardAt[name]) {
			m.heardAt[name] = last
		}
	}
	m.silent.update(now, m.watches)
	for name, isMissed := range missed {
		if isMissed && now.Sub(m.heardAt[name]) >= silentAfter {
			m.tracker.RecordMiss(name)
			unheard = append(unheard, m.tracker.ListEndpoints(name)...)
		}
	}
	return unheard
}

// checkSilent finds out whether an endpoint that is silent has died: it accepts no connection, and others
// do.
func (m *attemptMonitor) checkSilent(endpoint *qf.Endpoint) {
	if m.countConnected([]qf.Endpoint{*endpoint}) > 0 || !m.provesDeath(endpoint) {
		return
	}
	now := m.entry.now()
	m.entry.picker.recordUnreached(now, endpoint)
	m.entry.poisonFilter.recordDeath(now, endpoint, "it is silent and accepts no connection")
}

// startChecks begins the checks that are due. It doesn't block.
func (m *attemptMonitor) startChecks(now time.Time) {
	m.mu.Lock()
	due := m.tracker.DueChecks(now)
	m.mu.Unlock()
	for i := range due {
		check := &due[i]
		m.entry.background.Go(func() { m.check(check) })
	}
}

// check opens connections to endpoints and records whether any was accepted.
func (m *attemptMonitor) check(check *qfreach.Check) {
	connected := m.countConnected(check.Endpoints)
	now := m.entry.now()
	m.mu.Lock()
	change, hasChanged := m.tracker.RecordCheck(now, check, connected)
	var unreached []qf.EndpointID
	if hasChanged && change.State == qfreach.CutOff {
		unreached = m.tracker.ListEndpoints(check.Entry)
	}
	m.mu.Unlock()
	if !hasChanged {
		return
	}
	m.closeIdle(unreached)
	qfevent.ReachChanged.Log(&m.entry.platform.Logger, change.Entry, change.State, change.Checked, change.Lasted.String())
	m.entry.pushUrgent()
}

// findLost returns the attempts that may be abandoned because the node is cut off. Each is returned once.
// The caller must hold m.mu.
func (m *attemptMonitor) findLost(now time.Time) []*attemptWatch {
	var lost []*attemptWatch
	for w := range m.watches {
		isCutOff := m.tracker.CutOffFor(now, w.endpoint.Entry) >= abandonAfterCut
		if w.abandon != nil && isCutOff && now.Sub(w.lastHeard()) >= abandonAfterSilence {
			lost = append(lost, w)
			delete(m.watches, w)
		}
	}
	return lost
}

// countConnected opens a connection to each endpoint and returns how many were accepted. If none was, and the node came late to the end of the check's
// time, it has come late to the connections too: they are opened once more.
func (m *attemptMonitor) countConnected(endpoints []qf.Endpoint) int {
	began := m.entry.now()
	connected := m.connect(endpoints)
	if connected == 0 && m.entry.now().Sub(began) >= checkTimeout+lateAfter {
		return m.connect(endpoints)
	}
	return connected
}

// connect opens a connection to each endpoint and returns how many were accepted in time.
func (m *attemptMonitor) connect(endpoints []qf.Endpoint) int {
	ctx, cancel := context.WithTimeout(m.entry.loops, checkTimeout)
	defer cancel()
	var connected atomic.Int64
	var wait sync.WaitGroup
	for i := range endpoints {
		wait.Go(func() {
			conn, err := m.entry.platform.Network.Dial(ctx, "tcp", endpoints[i].Address.String())
			if err != nil {
				return // That is what the check is to find out.
			}
			connected.Add(1)
			_ = conn.Close() // Nothing was sent on it.
		})
	}
	wait.Wait()
	return int(connected.Load())
}

// isCutOff reports whether the node doesn't reach the endpoints of an entry.
func (m *attemptMonitor) isCutOff(name qf.EntryName) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.IsCutOff(name)
}

// listCutOff returns the entries that the node doesn't reach, and whether there are no others.
func (m *attemptMonitor) listCutOff() ([]qf.EntryName, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.ListCutOff()
}

// provesDeath reports whether an endpoint has died that refused a connection: it has if the node
// reaches others of its entry, or is told so by all.
func (m *attemptMonitor) provesDeath(endpoint *qf.Endpoint) bool {
	m.mu.Lock()
	others := m.tracker.ListOthers(endpoint)
	m.mu.Unlock()
	return len(others) == 0 || m.countConnected(others) > 0
}
