package qflimit

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

// GuardConfig bounds what a node accepts under load.
type GuardConfig struct {
	// InteractiveQueue and BatchQueue bound the predicted time in an endpoint's
	// queue for the requests of a class. Critical ones are bound by their
	// deadline alone.
	InteractiveQueue, BatchQueue time.Duration
	// MaxInProgress is the node's room for requests.
	MaxInProgress int
}

const (
	// reservedRoom is the part of the node's room that is kept for critical
	// requests, one over this number.
	reservedRoom = 10
	// fairFrom is the part of the bound of the queue, one over this number, from
	// which organisations are held to their weights.
	fairFrom = 4
	// fairSlack is how far above its part an organisation may be.
	fairSlack = 1.1
	// activeFor is how long an organisation counts after its last request.
	activeFor = 10 * time.Second
	// deadlineShare is the part of the time left that a prediction may take.
	deadlineShare = 0.9

	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// The rules of refusals.
const (
	ruleDeadline = "WouldMissDeadline"
	ruleQueue    = "QueueTooLong"
	ruleFair     = "AboveFairShare"
	ruleRoom     = "NodeFull"
)

// guard refuses what would not be answered in time, and holds organisations to
// their weights while there is a queue.
type guard struct {
	config  GuardConfig
	entries map[qf.EntryName]map[qf.Organisation]*tenant
	// refusals and admissions are moving counts as of countedAt.
	refusals, admissions float64
	countedAt            time.Time
}

// tenant is an organisation at an entry.
type tenant struct {
	running float64
	weight  float64
	seenAt  time.Time
}

func newGuard(config GuardConfig) guard {
	return guard{config: config, entries: map[qf.EntryName]map[qf.Organisation]*tenant{}}
}

// check returns a refusal, or an admission.
func (g *guard) check(q *qf.AdmitQuery) qf.Admission {
	g.decay(q.Now)
	admission := g.judge(q)
	if admission.Admitted {
		g.admissions++
		return admission
	}
	g.refusals++
	// Those who were refused of late come back too; together they need this long.
	crowd := time.Duration(g.refusals / max(g.admissions, 1) * float64(countWindow))
	admission.RetryAfter = min(max(admission.RetryAfter, crowd), maxRetryAfter)
	return admission
}

// countWindow is the time over which refusals and admissions are counted.
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

func (g *guard) judge(q *qf.AdmitQuery) qf.Admission {
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

// refused builds a refusal. The wait is when the queue is expected to have
// shrunk enough.
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

// isAboveShare reports whether the organisation runs more than its weight's part
// of all that runs at the entry.
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

// setWeights takes the organisations' weights from the limits.
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

// forget drops organisations that were not seen for long.
func (g *guard) forget(now time.Time) {
	for _, tenants := range g.entries {
		for name, t := range tenants {
			if t.running == 0 && t.weight == 1 && now.Sub(t.seenAt) > activeFor {
				delete(tenants, name)
			}
		}
	}
}
