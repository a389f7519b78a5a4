package qflimit

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

// GuardConfig holds the bounds for the load that a node accepts.
type GuardConfig struct {
	// InteractiveQueue and BatchQueue bound the predicted time that a request of
	// the class waits in an endpoint's queue. Critical requests are bound by their
	// deadline alone.
	InteractiveQueue, BatchQueue time.Duration
	// MaxInProgress bounds the requests in progress at the node; 0 means no bound.
	MaxInProgress int
}

const (
	// reservedRoom is the divisor of MaxInProgress that gives the room reserved for
	// critical requests.
	reservedRoom = 10
	// fairFrom is the divisor of the queue's bound that gives the queue from which
	// organisations are held to their weights.
	fairFrom = 4
	// fairSlack is the factor by which an organisation may exceed its fair share.
	fairSlack = 1.1
	// activeFor is how long after its last request an organisation counts as active.
	activeFor = 10 * time.Second
	// deadlineShare is the share of the time to the deadline that the predicted
	// completion may take.
	deadlineShare = 0.9

	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// The rules reported with refusals.
const (
	ruleDeadline = "WouldMissDeadline"
	ruleQueue    = "QueueTooLong"
	ruleFair     = "AboveFairShare"
	ruleRoom     = "NodeFull"
)

// guard refuses requests that would not be answered in time, and holds organisations
// to their weights while there is a queue.
type guard struct {
	config  GuardConfig
	entries map[qf.EntryName]map[qf.Organisation]*tenant
	// refusals and admissions are counts with exponential decay as of countedAt.
	refusals, admissions float64
	countedAt            time.Time
}

// tenant holds an organisation's use of an entry.
type tenant struct {
	running float64
	weight  float64
	seenAt  time.Time
}

func newGuard(config GuardConfig) guard {
	return guard{config: config, entries: map[qf.EntryName]map[qf.Organisation]*tenant{}}
}

// check decides on a request and raises the retry delay of a refusal with the
// number of recent refusals.
func (g *guard) check(q *qf.AdmitQuery) qf.Admission {
	g.decay(q.Now)
	admission := g.decide(q)
	if admission.Admitted {
		g.admissions++
		return admission
	}
	g.refusals++
	// The callers refused recently retry too; the node needs this long to admit all.
	spread := time.Duration(g.refusals / max(g.admissions, 1) * float64(countWindow))
	admission.RetryAfter = min(max(admission.RetryAfter, spread), maxRetryAfter)
	return admission
}

// countWindow is the time constant of the counts of refusals and admissions.
const countWindow = time.Second

func (g *guard) decay(now time.Time) {
	if g.countedAt.IsZero() {
		g.countedAt = now
	}
	keep := math.Exp(-now.Sub(g.countedAt).Seconds() / countWindow.Seconds())
	g.refusals *= keep
	g.admissions *= keep
	g.countedAt = now
}

func (g *guard) decide(q *qf.AdmitQuery) qf.Admission {
	t := g.tenant(q.Request)
	t.seenAt = q.Now
	left := q.Request.Deadline.Sub(q.Now)
	if q.Predicted > 0 && float64(q.Predicted) > float64(left)*deadlineShare {
		return refused(ruleDeadline, q, q.Predicted-left)
	}
	if q.Request.Class == qf.ClassCritical {
		return qf.Admission{Admitted: true}
	}
	if g.config.MaxInProgress > 0 && q.InProgress >= g.config.MaxInProgress-g.config.MaxInProgress/reservedRoom {
		return refused(ruleRoom, q, q.Queue)
	}
	bound := g.bound(q.Request.Class)
	if q.Queue > bound {
		return refused(ruleQueue, q, q.Queue-bound/2)
	}
	if q.Queue > bound/fairFrom && g.isAboveShare(q, t) {
		return refused(ruleFair, q, q.Queue-bound/fairFrom)
	}
	return qf.Admission{Admitted: true}
}

func (g *guard) bound(class qf.Class) time.Duration {
	if class == qf.ClassBatch {
		return g.config.BatchQueue
	}
	return g.config.InteractiveQueue
}

// refused builds a refusal. wait is the time until the queue is expected to be
// short enough.
func refused(rule string, q *qf.AdmitQuery, wait time.Duration) qf.Admission {
	return qf.Admission{
		Code: qf.CodeOverloaded, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
		Reason: qf.Reason{Rule: rule, Figures: []qf.Figure{
			{Name: "QueueSeconds", Value: q.Queue.Seconds()},
			{Name: "PredictedSeconds", Value: q.Predicted.Seconds()},
			{Name: "InProgress", Value: float64(q.InProgress)},
		}},
	}
}

// isAboveShare reports whether the organisation has more than its weighted share of
// the requests in progress at the entry.
func (g *guard) isAboveShare(q *qf.AdmitQuery, t *tenant) bool {
	running, weights := 0.0, 0.0
	for _, other := range g.entries[q.Request.Entry] {
		if other.running > 0 || q.Now.Sub(other.seenAt) < activeFor {
			running += other.running
			weights += other.weight
		}
	}
	return t.running > fairSlack*running*t.weight/weights
}

func (g *guard) tenant(r *qf.Request) *tenant {
	tenants := g.entries[r.Entry]
	if tenants == nil {
		tenants = map[qf.Organisation]*tenant{}
		g.entries[r.Entry] = tenants
	}
	t := tenants[r.Organisation]
	if t == nil {
		t = &tenant{weight: 1}
		tenants[r.Organisation] = t
	}
	return t
}

// setWeights sets the organisations' weights from the limits.
func (g *guard) setWeights(limits []qf.Limit) {
	for _, tenants := range g.entries {
		for _, t := range tenants {
			t.weight = 1
		}
	}
	for i := range limits {
		l := &limits[i]
		if l.Organisation != "" {
			t := g.tenant(&qf.Request{Entry: l.Entry, Organisation: l.Organisation})
			t.weight = max(l.Weight, 1)
		}
	}
}

// dropInactive removes organisations that have been inactive for activeFor.
func (g *guard) dropInactive(now time.Time) {
	for _, tenants := range g.entries {
		for name, t := range tenants {
			if t.running == 0 && t.weight == 1 && now.Sub(t.seenAt) > activeFor {
				delete(tenants, name)
			}
		}
	}
}
