// Package benchlimit measures admission on virtual time: goodput at one to five
// times the capacity and the wait of small organisations in a large one's burst,
// with callers that come back when they are told to.
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
	// serviceTime is the time of one request at the only server, so that the
	// capacity is its inverse.
	serviceTime = 20 * time.Millisecond
	// newsEvery is how often the node learns the true queue; in between it counts
	// what it sent.
	newsEvery = 500 * time.Millisecond
	deadline  = 4 * time.Second
	patience  = 10 * time.Second
	overloads = 30 * time.Second
	runFor    = 60 * time.Second
	// The rate before and after the overload, as a part of the capacity.
	normalLoad = 0.7
	// smallLoad is the small organisation's load at all times, as a part of the
	// capacity; the rest is the large one's.
	smallLoad = 0.1
	small     = qf.Organisation("small")
	large     = qf.Organisation("large")
	longest   = int64(time.Minute / time.Microsecond)
	precision = 3
)

var origin = time.Unix(1_800_000_000, 0)

// Row is one limiter at one load.
type Row struct {
	Limiter string
	// Load is in multiples of the capacity.
	Load float64
	// Goodput is the part of the capacity that answered within the deadline
	// during the overload, Recovery the time after it until a second passed in
	// which every answer was in time.
	Goodput  float64
	Recovery time.Duration
	// SmallWait is the small organisation's 95th percentile of the wait before
	// its requests began, those that were refused and came back included.
	SmallWait time.Duration
	Refused   int
}

// Table is what the bench prints.
type Table struct {
	Seed uint64
	Rows []Row
}

// Run measures the product's limiter and the baseline.
func Run(seed uint64) *Table {
	table := &Table{Seed: seed}
	for load := 1.0; load <= 5; load++ {
		table.Rows = append(table.Rows,
			play("Concurrency", qflimit.NewConcurrencyLimiter(), load, seed),
			play("Shared", qflimit.NewSharedLimiter(qflimit.GuardConfig{InteractiveQueue: 1500 * time.Millisecond}), load, seed))
	}
	return table
}

// Print writes the table as text.
func (t *Table) Print(out io.Writer) error {
	fmt.Fprintf(out, "seed %d; goodput as a part of the capacity during %s of overload\n", t.Seed, overloads)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "LOAD\tLIMITER\tGOODPUT\tRECOVERY\tSMALL ORGANISATION'S WAIT\tREFUSED")
	for i := range t.Rows {
		r := &t.Rows[i]
		fmt.Fprintf(w, "%.0fx\t%s\t%.2f\t%s\t%s\t%d\n", r.Load, r.Limiter, r.Goodput,
			r.Recovery, r.SmallWait.Round(time.Millisecond), r.Refused)
	}
	return w.Flush()
}

// call is one request of a caller, over all of its tries.
type call struct {
	request *qf.Request
	wants   time.Time
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

// world is one run: a server with a queue, a node before it, and callers.
type world struct {
	now     time.Time
	events  events
	random  *rand.Rand
	limiter qf.Limiter
	load    float64
	// freeAt is when the server has done all that it has; knownFreeAt is what the
	// node believes.
	freeAt, knownFreeAt time.Time
	inProgress          int
	inTime              int
	lateAt              time.Time
	refused             int
	waits               *hdrhistogram.Histogram
}

func (w *world) at(t time.Time, do func()) { heap.Push(&w.events, event{at: t, do: do}) }

func play(name string, limiter qf.Limiter, load float64, seed uint64) Row {
	w := &world{
		now: origin, random: rand.New(rand.NewPCG(seed, 1)), limiter: limiter, load: load,
		freeAt: origin, knownFreeAt: origin, lateAt: origin, waits: hdrhistogram.New(1, longest, precision),
	}
	limiter.SetNodes(origin, "node", []qf.NodeID{"node"})
	w.arrive()
	w.learn()
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	row := Row{
		Limiter: name, Load: load, Refused: w.refused,
		Goodput:   float64(w.inTime) * serviceTime.Seconds() / overloads.Seconds(),
		SmallWait: time.Duration(w.waits.ValueAtQuantile(95)) * time.Microsecond,
	}
	if after := w.lateAt.Sub(origin.Add(overloads)); after > 0 {
		row.Recovery = after.Round(time.Millisecond)
	}
	return row
}

// learn tells the node the true queue now and then.
func (w *world) learn() {
	if w.now.Sub(origin) > runFor {
		return
	}
	truth := w.freeAt
	w.at(w.now.Add(newsEvery), func() {
		w.knownFreeAt = later(truth, w.knownFreeAt.Add(-newsEvery/10))
		w.learn()
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) arrive() {
	since := w.now.Sub(origin)
	if since > runFor {
		return
	}
	load := normalLoad
	if since < overloads {
		load = w.load
	}
	gap := time.Duration(w.random.ExpFloat64() * float64(serviceTime) / load)
	w.at(w.now.Add(gap), func() {
		organisation := large
		if w.random.Float64() < smallLoad/load {
			organisation = small
		}
		c := &call{wants: w.now, request: &qf.Request{Entry: entry, Organisation: organisation, Class: qf.ClassInteractive}}
		w.try(c)
		w.arrive()
	})
}

// try asks the node; a refused caller comes back when it was told to, as long as
// it has patience.
func (w *world) try(c *call) {
	c.request.Deadline = w.now.Add(deadline)
	queue := max(w.knownFreeAt.Sub(w.now), 0)
	admission := w.limiter.AdmitRequest(qf.AdmitQuery{
		Now: w.now, Request: c.request, InProgress: w.inProgress, Queue: queue, Predicted: queue + serviceTime,
	})
	if !admission.Admitted {
		w.refused++
		again := w.now.Add(admission.RetryAfter)
		if again.Sub(c.wants) < patience {
			w.at(again, func() { w.try(c) })
		}
		return
	}
	w.inProgress++
	begin := later(w.freeAt, w.now)
	w.freeAt = begin.Add(serviceTime)
	w.knownFreeAt = later(w.knownFreeAt, w.now).Add(serviceTime)
	if c.request.Organisation == small {
		_ = w.waits.RecordValue(begin.Sub(c.wants).Microseconds()) // Within the bounds.
	}
	w.at(w.freeAt, func() { w.end(c) })
}

func (w *world) end(c *call) {
	w.inProgress--
	w.limiter.ReleaseRequest(w.now, c.request, 0)
	if w.now.After(c.request.Deadline) {
		w.lateAt = w.now
		return
	}
	if w.now.Sub(origin) < overloads {
		w.inTime++
	}
}
