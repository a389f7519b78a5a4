package benchroute

import (
	"container/heap"
	"time"

	"quetzalfront/internal/qf"
)

// world is a run on virtual time: a queue of events, the fake endpoints, and one
// router for each node.
type world struct {
	now     time.Time
	events  events
	order   int
	engines map[qf.EndpointID]*engine
	// list is in the order of the deployment, so that runs repeat.
	list     []*engine
	nodes    []*entryNode
	scenario *Scenario
	figures  figures
}

type entryNode struct {
	id     qf.NodeID
	zone   qf.AvailabilityZone
	region qf.Region
	router qf.Router
}

// job is one request of the workload.
type job struct {
	node    *entryNode
	query   qf.RouteQuery
	startAt time.Time
	sentAt  time.Time
	engine  *engine
	// planned are the tokens that the router expected, queued those that waited,
	// computed those that were computed, and lost those of failed attempts.
	planned  int
	queued   int
	computed int
	prefill  time.Duration
	decode   time.Duration
	measured bool
	lost     int
	done     bool
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (w *world) after(delay time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(delay), order: w.order, do: do})
}

func (w *world) run(until time.Time) {
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if e.at.After(until) {
			return
		}
		w.now = e.at
		e.do()
	}
}

// every repeats a step.
func (w *world) every(interval time.Duration, do func()) {
	w.after(interval, func() {
		do()
		w.every(interval, do)
	})
}

func (w *world) delay(n *entryNode, e *engine) time.Duration {
	switch {
	case n.zone == e.AvailabilityZone:
		return 0
	case n.region == e.Region:
		return w.scenario.Deployment.ZoneDelay
	default:
		return regionDelay
	}
}

// send routes a job and starts it after the way to the endpoint.
func (w *world) send(j *job) {
	j.query.Now = w.now
	choice, err := j.node.router.ChooseEndpoint(j.query)
	if err != nil && len(j.query.Excluded) > 0 {
		j.query.Excluded = nil // As the runner does: better one that failed than none.
		choice, err = j.node.router.ChooseEndpoint(j.query)
	}
	if err != nil {
		w.figures.unserved++
		return
	}
	j.engine = w.engines[choice.Endpoint.ID]
	j.planned = choice.Prediction.PrefillTokens
	j.sentAt = w.now
	j.node.router.RecordStart(w.now, j.engine.ID, j.planned)
	w.figures.traffic(j)
	w.after(w.delay(j.node, j.engine), func() {
		if j.engine.gone {
			w.lose(j.engine, j)
			return
		}
		j.engine.add(j)
		j.engine.step(w)
	})
}

// refusedAfter is how long an attempt takes to fail at a VM that is gone.
const refusedAfter = 10 * time.Millisecond

// lose fails a job's attempt and routes it again.
func (w *world) lose(e *engine, j *job) {
	j.lost += j.computed
	j.computed = 0
	w.after(w.delay(j.node, e)+refusedAfter, func() {
		j.node.router.RecordEnd(w.now, e.ID, j.planned, false)
		j.query.Excluded = append(j.query.Excluded, e.ID)
		w.send(j)
	})
}

func (w *world) firstToken(e *engine, j *job) {
	w.after(w.delay(j.node, e), func() {
		j.node.router.RecordFirstToken(w.now, e.ID, w.now.Sub(j.sentAt))
		w.figures.first(j, w.now)
	})
}

func (w *world) ended(e *engine, j *job) {
	j.done = true
	w.after(w.delay(j.node, e), func() {
		j.node.router.RecordEnd(w.now, e.ID, j.planned, true)
		j.node.router.RecordObservation(qf.Observation{
			At: w.now, Endpoint: e.ID, Entry: e.Entry, Version: e.Version, Complete: true,
			Tokens: j.query.Request.MaxTokens, BetweenToken: j.decode / time.Duration(j.query.Request.MaxTokens),
		})
	})
	w.figures.ended(e, j)
}

// reports sends each endpoint's load, and its cache events, to every node after
// the scenario's lag.
func (w *world) reports() {
	for _, e := range w.list {
		if e.gone {
			continue
		}
		report, news := e.report(w.now), e.events
		e.events = nil
		w.after(w.scenario.ReportLag, func() {
			for _, n := range w.nodes {
				n.router.RecordLoadReport(w.now, report)
				for _, event := range news {
					n.router.ApplyCacheEvent(event)
				}
			}
		})
	}
}

// exchange tells every node what the others have in progress.
func (w *world) exchange() {
	for _, from := range w.nodes {
		for _, sent := range from.router.ReportInFlight(w.now) {
			sent.Node = from.id
			w.after(regionDelay, func() {
				for _, to := range w.nodes {
					if to != from {
						to.router.RecordPeerLoad(sent)
					}
				}
			})
		}
	}
}

// loseZone takes an availability zone without notice; nodes hear of it by the
// notices that peers pass on.
func (w *world) loseZone(zone qf.AvailabilityZone) {
	for _, e := range w.list {
		if e.AvailabilityZone != zone || e.gone {
			continue
		}
		e.gone = true
		w.after(noticeAfter, func() {
			for _, n := range w.nodes {
				n.router.MarkDeparting(e.VM, e.Incarnation)
			}
		})
	}
	for _, j := range w.figures.open {
		if !j.done && j.engine != nil && j.engine.gone && !j.sentAt.IsZero() {
			w.lose(j.engine, j)
		}
	}
}
