package benchroute

import (
	"container/heap"
	"time"

	"quetzalfront/internal/qf"
)

// simulation is a run on virtual time: a queue of events, the simulated endpoints, and
// one router for each node.
type simulation struct {
	now     time.Time
	events  events
	order   int
	engines map[qf.EndpointID]*engine
	// ordered holds the engines in a fixed order, unlike the map, so that runs with the
	// same seed give the same results.
	ordered      []*engine
	nodes        []*entryNode
	scenario     *Scenario
	measurements measurements
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
	// plannedTokens is the prefill that the router predicted, queuedTokens the prefill
	// that was expected on arrival at the engine, computedTokens the actual one, and
	// wastedTokens that of failed attempts.
	plannedTokens  int
	queuedTokens   int
	computedTokens int
	prefill        time.Duration
	decode         time.Duration
	measured       bool
	wastedTokens   int
	done           bool
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

// after schedules a function on virtual time.
func (s *simulation) after(delay time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(delay), order: s.order, do: do})
}

func (s *simulation) run(until time.Time) {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.After(until) {
			return
		}
		s.now = e.at
		e.do()
	}
}

// every runs a function at a fixed interval.
func (s *simulation) every(interval time.Duration, do func()) {
	s.after(interval, func() {
		do()
		s.every(interval, do)
	})
}

// delay returns the one-way delay between a node and an engine.
func (s *simulation) delay(n *entryNode, e *engine) time.Duration {
	switch {
	case n.zone == e.AvailabilityZone:
		return 0
	case n.region == e.Region:
		return s.scenario.Deployment.ZoneDelay
	default:
		return regionDelay
	}
}

// send routes a job and queues it at the endpoint after the network delay.
func (s *simulation) send(j *job) {
	j.query.Now = s.now
	choice, err := j.node.router.ChooseEndpoint(j.query)
	if err != nil && len(j.query.Excluded) > 0 {
		j.query.Excluded = nil // As the node's runner does: a failed endpoint is better than none.
		choice, err = j.node.router.ChooseEndpoint(j.query)
	}
	if err != nil {
		s.measurements.unserved++
		return
	}
	j.engine = s.engines[choice.Endpoint.ID]
	j.plannedTokens = choice.Prediction.PrefillTokens
	j.sentAt = s.now
	j.node.router.RecordStart(s.now, j.engine.ID, j.plannedTokens)
	s.measurements.addTrafficCost(j)
	s.after(s.delay(j.node, j.engine), func() {
		if j.engine.isLost {
			s.retry(j.engine, j)
			return
		}
		j.engine.enqueue(j)
		j.engine.startPrefill(s)
	})
}

// connectFailureDelay is the time that an attempt at a lost VM takes to fail.
const connectFailureDelay = 10 * time.Millisecond

// retry fails a job's attempt and routes the job again.
func (s *simulation) retry(e *engine, j *job) {
	j.wastedTokens += j.computedTokens
	j.computedTokens = 0
	s.after(s.delay(j.node, e)+connectFailureDelay, func() {
		j.node.router.RecordEnd(s.now, e.ID, j.plannedTokens, false)
		j.query.Excluded = append(j.query.Excluded, e.ID)
		s.send(j)
	})
}

func (s *simulation) firstToken(e *engine, j *job) {
	s.after(s.delay(j.node, e), func() {
		j.node.router.RecordFirstToken(s.now, e.ID, s.now.Sub(j.sentAt))
		s.measurements.recordFirstToken(j, s.now)
	})
}

func (s *simulation) complete(e *engine, j *job) {
	j.done = true
	s.after(s.delay(j.node, e), func() {
		j.node.router.RecordEnd(s.now, e.ID, j.plannedTokens, true)
		j.node.router.RecordObservation(qf.Observation{
			At: s.now, Endpoint: e.ID, Entry: e.Entry, Version: e.Version, Complete: true,
			Tokens: j.query.Request.MaxTokens, BetweenToken: j.decode / time.Duration(j.query.Request.MaxTokens),
		})
	})
	s.measurements.recordCompleted(e, j)
}

// sendLoadReports sends each endpoint's load report and cache events to every node; they
// arrive after the scenario's lag.
func (s *simulation) sendLoadReports() {
	for _, e := range s.ordered {
		if e.isLost {
			continue
		}
		report, cacheEvents := e.loadReport(s.now), e.events
		e.events = nil
		s.after(s.scenario.ReportLag, func() {
			for _, n := range s.nodes {
				n.router.RecordLoadReport(s.now, report)
				for _, event := range cacheEvents {
					n.router.ApplyCacheEvent(event)
				}
			}
		})
	}
}

// exchangeInFlight sends each node's requests in progress to all other nodes.
func (s *simulation) exchangeInFlight() {
	for _, from := range s.nodes {
		for _, sent := range from.router.ReportInFlight(s.now) {
			sent.Node = from.id
			s.after(regionDelay, func() {
				for _, to := range s.nodes {
					if to != from {
						to.router.RecordPeerLoad(sent)
					}
				}
			})
		}
	}
}

// loseZone removes an availability zone without notice. Nodes receive the departures
// after noticeDelay, and the requests in progress there are retried.
func (s *simulation) loseZone(zone qf.AvailabilityZone) {
	for _, e := range s.ordered {
		if e.AvailabilityZone != zone || e.isLost {
			continue
		}
		e.isLost = true
		s.after(noticeDelay, func() {
			for _, n := range s.nodes {
				n.router.MarkDeparting(e.VM, e.Incarnation)
			}
		})
	}
	for _, j := range s.measurements.jobs {
		if !j.done && j.engine != nil && j.engine.isLost && !j.sentAt.IsZero() {
			s.retry(j.engine, j)
		}
	}
}
