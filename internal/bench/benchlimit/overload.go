// Package benchlimit measures admission control on virtual time: goodput at one to five
// times the capacity, and the wait of a small organisation's requests during a large
// one's overload. Rejected callers retry after the delay that the limiter returns.
package benchlimit

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qflimit"
)

const (
	entry = qf.EntryName("assistant")
	// serviceTime is the time of one request at the only server. The capacity is its
	// inverse.
	serviceTime = 20 * time.Millisecond
	// queueReportInterval is the interval at which the node receives the actual queue. In
	// between, it adds what it sent to its estimate.
	queueReportInterval = 500 * time.Millisecond
	deadline            = 4 * time.Second
	giveUpAfter         = 10 * time.Second
	overloadFor         = 30 * time.Second
	runFor              = 60 * time.Second
	// normalLoad is the load after the overload, as a fraction of the capacity.
	normalLoad = 0.7
	// smallLoad is the small organisation's load at all times, as a fraction of the
	// capacity. The rest comes from the large one.
	smallLoad = 0.1
	small     = qf.Organisation("small")
	large     = qf.Organisation("large")
	maxWait   = int64(time.Minute / time.Microsecond)
	precision = 3
)

var origin = time.Unix(1_800_000_000, 0)

// Row is one limiter at one load.
type Row struct {
	Limiter string
	// Load is in multiples of the capacity.
	Load float64
	// Goodput is the rate of answers within the deadline during the overload, as a
	// fraction of the capacity. Recovery is the time from the end of the overload to the
	// last answer after its deadline.
	Goodput  float64
	Recovery time.Duration
	// SmallWait is the 95th percentile of the time from a small organisation's request
	// to its start, with the delays of retries.
	SmallWait time.Duration
	// Refused counts rejected attempts.
	Refused int
}

// Table holds the rows of one run of the benchmark.
type Table struct {
	Seed uint64
	Rows []Row
}

// Run measures the product's limiter, Shared, and the baseline, Concurrency.
func Run(seed uint64) *Table {
	table := &Table{Seed: seed}
	for load := 1.0; load <= 5; load++ {
		table.Rows = append(table.Rows,
			simulate("Concurrency", qflimit.NewConcurrencyLimiter(), load, seed),
			simulate("Shared", qflimit.NewSharedLimiter(qflimit.GuardConfig{InteractiveQueue: 1500 * time.Millisecond}), load, seed))
	}
	return table
}

// Print writes the table as text.
func (t *Table) Print(out io.Writer) error {
	fmt.Fprintf(out, "seed %d; goodput as a part of the capacity during %s of overload\n", t.Seed, overloadFor)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "LOAD\tLIMITER\tGOODPUT\tRECOVERY\tSMALL ORGANISATION'S WAIT\tREFUSED")
	for i := range t.Rows {
		r := &t.Rows[i]
		fmt.Fprintf(w, "%.0fx\t%s\t%.2f\t%s\t%s\t%d\n", r.Load, r.Limiter, r.Goodput,
			r.Recovery, r.SmallWait.Round(time.Millisecond), r.Refused)
	}
	return w.Flush()
}

// call is one request of a caller, with all its attempts.
type call struct {
	request   *qf.Request
	firstSent time.Time
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is one run: a server with a queue, a node in front of it, and callers.
type simulation struct {
	now     time.Time
	events  events
	random  *rand.Rand
	limiter qf.Limiter
	load    float64
	// freeAt is when the server will have finished its queue, estimatedFreeAt the node's
	// estimate of it.
	freeAt, estimatedFreeAt time.Time
	inProgress              int
	// inTime counts the answers within the deadline during the overload, lastLateAt is
	// the time of the last answer after its deadline.
	inTime     int
	lastLateAt time.Time
	refused    int
	waits      *hdrhistogram.Histogram
}

// schedule schedules a function on virtual time.
func (s *simulation) schedule(t time.Time, do func()) { heap.Push(&s.events, event{at: t, do: do}) }

// simulate runs one limiter at one load.
func simulate(name string, limiter qf.Limiter, load float64, seed uint64) Row {
	s := &simulation{
		now: origin, random: rand.New(rand.NewPCG(seed, 1)), limiter: limiter, load: load,
		freeAt: origin, estimatedFreeAt: origin, lastLateAt: origin, waits: hdrhistogram.New(1, maxWait, precision),
	}
	limiter.SetNodes(origin, "node", []qf.NodeID{"node"})
	s.scheduleArrivals()
	s.scheduleQueueReport()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	row := Row{
		Limiter: name, Load: load, Refused: s.refused,
		Goodput:   float64(s.inTime) * serviceTime.Seconds() / overloadFor.Seconds(),
		SmallWait: time.Duration(s.waits.ValueAtQuantile(95)) * time.Microsecond,
	}
	if after := s.lastLateAt.Sub(origin.Add(overloadFor)); after > 0 {
		row.Recovery = after.Round(time.Millisecond)
	}
	return row
}

// scheduleQueueReport reports the actual queue to the node at a fixed interval. The report
// arrives one interval late and moves the estimate back by at most a tenth of the
// interval.
func (s *simulation) scheduleQueueReport() {
	if s.now.Sub(origin) > runFor {
		return
	}
	reported := s.freeAt
	s.schedule(s.now.Add(queueReportInterval), func() {
		s.estimatedFreeAt = later(reported, s.estimatedFreeAt.Add(-queueReportInterval/10))
		s.scheduleQueueReport()
	})
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// scheduleArrivals sends one request after a random delay and then schedules the next,
// until the end of the run.
func (s *simulation) scheduleArrivals() {
	since := s.now.Sub(origin)
	if since > runFor {
		return
	}
	load := normalLoad
	if since < overloadFor {
		load = s.load
	}
	gap := time.Duration(s.random.ExpFloat64() * float64(serviceTime) / load)
	s.schedule(s.now.Add(gap), func() {
		organisation := large
		if s.random.Float64() < smallLoad/load {
			organisation = small
		}
		c := &call{firstSent: s.now, request: &qf.Request{Entry: entry, Organisation: organisation, Class: qf.ClassInteractive}}
		s.send(c)
		s.scheduleArrivals()
	})
}

// send sends a request to the node. A rejected caller retries after the delay that the
// limiter returns, up to giveUpAfter from its first attempt.
func (s *simulation) send(c *call) {
	c.request.Deadline = s.now.Add(deadline)
	queue := max(s.estimatedFreeAt.Sub(s.now), 0)
	admission := s.limiter.AdmitRequest(qf.AdmitQuery{
		Now: s.now, Request: c.request, InProgress: s.inProgress, Queue: queue, Predicted: queue + serviceTime,
	})
	if !admission.Admitted {
		s.refused++
		retryAt := s.now.Add(admission.RetryAfter)
		if retryAt.Sub(c.firstSent) < giveUpAfter {
			s.schedule(retryAt, func() { s.send(c) })
		}
		return
	}
	s.inProgress++
	begin := later(s.freeAt, s.now)
	s.freeAt = begin.Add(serviceTime)
	s.estimatedFreeAt = later(s.estimatedFreeAt, s.now).Add(serviceTime)
	if c.request.Organisation == small {
		_ = s.waits.RecordValue(begin.Sub(c.firstSent).Microseconds()) // Within the bounds.
	}
	s.schedule(s.freeAt, func() { s.complete(c) })
}

// complete ends an admitted request and counts whether its answer was in time.
func (s *simulation) complete(c *call) {
	s.inProgress--
	s.limiter.ReleaseRequest(s.now, c.request, 0)
	if s.now.After(c.request.Deadline) {
		s.lastLateAt = s.now
		return
	}
	if s.now.Sub(origin) < overloadFor {
		s.inTime++
	}
}
