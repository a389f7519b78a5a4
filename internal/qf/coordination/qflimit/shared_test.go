package qflimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

var start = time.Unix(1_800_000_000, 0)

const total = 600

// fleet is a set of limiters that exchange their uses over links with a delay.
type fleet struct {
	now     time.Time
	nodes   []*SharedLimiter
	demand  []int
	running []int
	// isCut marks the nodes without links, isDead those that run nothing.
	isCut, isDead []bool
	random        *rand.Rand
	// most is the highest number of requests in progress at all nodes, least the
	// lowest since it was last reset.
	most, least int
}

func id(i int) qf.NodeID { return qf.NodeID(fmt.Sprint(i)) }

func newFleet(seed uint64, count int) *fleet {
	f := &fleet{now: start, random: rand.New(rand.NewPCG(seed, 1))}
	for range count {
		f.join()
	}
	return f
}

func (f *fleet) join() {
	s := NewSharedLimiter(GuardConfig{InteractiveQueue: time.Second})
	s.SetLimits([]qf.Limit{{Name: "l", Entry: "assistant", Concurrency: total}})
	f.nodes = append(f.nodes, s)
	f.demand, f.running = append(f.demand, 0), append(f.running, 0)
	f.isCut, f.isDead = append(f.isCut, false), append(f.isDead, false)
	f.updateMembers()
}

// updateMembers passes the nodes that aren't known to be gone to every node.
func (f *fleet) updateMembers() {
	var live []qf.NodeID
	for i := range f.nodes {
		if !f.isDead[i] {
			live = append(live, id(i))
		}
	}
	for i, s := range f.nodes {
		s.SetNodes(f.now, id(i), live)
	}
}

func (f *fleet) request() *qf.Request {
	return &qf.Request{Entry: "assistant", Class: qf.ClassInteractive, Deadline: f.now.Add(time.Minute)}
}

// step simulates a tenth of a second: requests end and arrive, and nodes report.
func (f *fleet) step(tick int) {
	f.now = f.now.Add(100 * time.Millisecond)
	sum := 0
	for i, s := range f.nodes {
		if f.isDead[i] {
			f.running[i] = 0
			continue
		}
		for range f.running[i] / 10 {
			s.ReleaseRequest(f.now, f.request(), 0)
			f.running[i]--
		}
		for range f.demand[i] - f.running[i] {
			if s.AdmitRequest(qf.AdmitQuery{Now: f.now, Request: f.request()}).Admitted {
				f.running[i]++
			}
		}
		sum += f.running[i]
		if (tick+i)%5 == 0 {
			f.report(i)
		}
	}
	f.most, f.least = max(f.most, sum), min(f.least, sum)
}

func (f *fleet) report(from int) {
	uses := f.nodes[from].ReportUses(f.now)
	for to, s := range f.nodes {
		if to != from && !f.isCut[to] && !f.isCut[from] && f.random.Float64() < 0.9 {
			s.RecordPeerUses(f.now, uses)
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for tick := range int(d / (100 * time.Millisecond)) {
		f.step(tick)
	}
}

// TestSharesHoldTheLimit simulates new, dead and cut-off nodes and moving demand. The
// limit may be exceeded by at most 5 %, and at most 10 % may be idle while there is
// demand.
func TestSharesHoldTheLimit(t *testing.T) {
	const over, idle = total * 105 / 100, total * 90 / 100
	tests := []struct {
		name   string
		change func(f *fleet)
		// settle is the time after the change until the limit must be used again.
		settle time.Duration
	}{
		{"demand moves to one node", func(f *fleet) { f.demand = []int{900, 0, 0, 0, 0, 0} }, 15 * time.Second},
		{"demand moves to two nodes at once", func(f *fleet) { f.demand = []int{0, 900, 0, 0, 900, 0} }, 15 * time.Second},
		{"a new node", func(f *fleet) { f.join(); f.demand[6] = 900 }, 10 * time.Second},
		{"a dead node that is listed as gone", func(f *fleet) {
			f.isDead[2] = true
			f.updateMembers()
		}, 10 * time.Second},
		{"a node is cut off and comes back", func(f *fleet) {
			f.isCut[1] = true
			f.run(40 * time.Second)
			f.isCut[1] = false
		}, 10 * time.Second},
		{"three nodes are cut off", func(f *fleet) { f.isCut[0], f.isCut[1], f.isCut[2] = true, true, true }, 20 * time.Second},
	}
	for _, tt := range tests {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", tt.name, seed), func(t *testing.T) {
				f := newFleet(seed, 6)
				f.demand = []int{150, 150, 150, 150, 150, 150}
				f.run(20 * time.Second)
				tt.change(f)
				f.run(tt.settle)
				f.least = total
				f.run(20 * time.Second)
				if f.most > over {
					t.Errorf("%d in progress at once, bound %d", f.most, over)
				}
				if f.least < idle {
					t.Errorf("only %d in progress despite higher demand, bound %d", f.least, idle)
				}
			})
		}
	}
}

// TestSharesCheckDetectsFaults runs the same fleet with nodes that don't share the limit,
// which TestSharesHoldTheLimit must be able to detect.
func TestSharesCheckDetectsFaults(t *testing.T) {
	f := newFleet(1, 6)
	f.demand = []int{900, 900, 900, 900, 900, 900}
	for i, s := range f.nodes {
		s.SetNodes(f.now, id(i), nil) // Each takes itself for the only node.
	}
	f.run(5 * time.Second)
	if f.most <= total*105/100 {
		t.Errorf("%d in progress, within the bound: the check can't fail", f.most)
	}
}

// TestRateLimits checks that a single node admits requests and tokens at their limits.
func TestRateLimits(t *testing.T) {
	tests := []struct {
		name  string
		limit qf.Limit
		// perSecond requests of 100 tokens arrive for ten seconds.
		perSecond int
		want      int
	}{
		{"requests within", qf.Limit{RequestsPerSecond: 20}, 10, 100},
		{"requests above", qf.Limit{RequestsPerSecond: 20}, 100, 200},
		{"tokens above", qf.Limit{TokensPerSecond: 1000}, 100, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSharedLimiter(GuardConfig{InteractiveQueue: time.Second})
			tt.limit.Name, tt.limit.Entry = "l", "assistant"
			s.SetLimits([]qf.Limit{tt.limit})
			s.SetNodes(start, "a", []qf.NodeID{"a"})
			r := &qf.Request{Entry: "assistant", Class: qf.ClassInteractive, Deadline: start.Add(time.Hour), MaxTokens: 50}
			admitted := 0
			for i := range 10 * tt.perSecond {
				now := start.Add(time.Duration(i) * time.Second / time.Duration(tt.perSecond))
				if a := s.AdmitRequest(qf.AdmitQuery{Now: now, Request: r, Tokens: 100}); a.Admitted {
					admitted++
					s.ReleaseRequest(now, r, 50)
				} else if a.RetryAfter <= 0 || a.Code != qf.CodeLimited {
					t.Fatalf("refusal with a wrong code or retry delay: %+v", a)
				}
			}
			if admitted < tt.want*95/100 || admitted > tt.want*105/100 {
				t.Errorf("admitted %d, want about %d", admitted, tt.want)
			}
		})
	}
}

// TestGuardRefusesByRule checks which rule refuses a request at a given load, class and
// use by other organisations.
func TestGuardRefusesByRule(t *testing.T) {
	now := start
	tests := []struct {
		name      string
		class     qf.Class
		queue     time.Duration
		predicted time.Duration
		progress  int
		// running is the number of requests that two organisations have in progress; the
		// request is the first one's.
		running [2]float64
		want    string
	}{
		{"idle", qf.ClassInteractive, 0, time.Second, 0, [2]float64{5, 5}, ""},
		{"no prediction", qf.ClassInteractive, 0, 0, 0, [2]float64{5, 5}, ""},
		{"would miss its deadline", qf.ClassCritical, time.Second, 20 * time.Second, 0, [2]float64{}, ruleDeadline},
		{"queue too long", qf.ClassInteractive, 3 * time.Second, 4 * time.Second, 0, [2]float64{}, ruleQueue},
		{"a critical request passes the queue bound", qf.ClassCritical, 3 * time.Second, 4 * time.Second, 95, [2]float64{50, 0}, ""},
		{"batch has the shorter queue bound", qf.ClassBatch, time.Second, 2 * time.Second, 0, [2]float64{}, ruleQueue},
		{"interactive at the same queue", qf.ClassInteractive, time.Second, 2 * time.Second, 0, [2]float64{5, 5}, ""},
		{"large organisation under queue", qf.ClassInteractive, time.Second, 2 * time.Second, 0, [2]float64{40, 5}, ruleFair},
		{"small organisation under queue", qf.ClassInteractive, time.Second, 2 * time.Second, 0, [2]float64{5, 40}, ""},
		{"alone under queue", qf.ClassInteractive, time.Second, 2 * time.Second, 0, [2]float64{40, 0}, ""},
		{"node full", qf.ClassInteractive, 0, time.Second, 95, [2]float64{}, ruleRoom},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSharedLimiter(GuardConfig{InteractiveQueue: 2 * time.Second, BatchQueue: 500 * time.Millisecond, MaxInProgress: 100})
			for i, name := range []qf.Organisation{"a", "b"} {
				if tt.running[i] > 0 {
					s.guard.tenant(&qf.Request{Entry: "assistant", Organisation: name}).running = tt.running[i]
				}
			}
			r := &qf.Request{Entry: "assistant", Organisation: "a", Class: tt.class, Deadline: now.Add(10 * time.Second)}
			a := s.AdmitRequest(qf.AdmitQuery{Now: now, Request: r, Queue: tt.queue, Predicted: tt.predicted, InProgress: tt.progress})
			if a.Admitted != (tt.want == "") || !a.Admitted && a.Reason.Rule != tt.want {
				t.Errorf("got %+v, want %q", a, tt.want)
			}
			if !a.Admitted && (a.Code != qf.CodeOverloaded || a.RetryAfter < minRetryAfter) {
				t.Errorf("refusal with a wrong code or retry delay: %+v", a)
			}
		})
	}
}
