// Package benchroute measures routers on virtual time: fake endpoints small
// enough to read, the sizes and delays of the deployments, and every baseline in
// the same run.
package benchroute

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzalfront/internal/qf/coordination/qfroute"
)

// figures are what one run came to.
type figures struct {
	open     []*job
	first95  *hdrhistogram.Histogram
	tokens   int
	computed int
	cost     float64
	unserved int
}

const (
	longestFirst = int64(10 * time.Minute / time.Microsecond)
	precision    = 3
	gibibyte     = 1 << 30
	tokenBytes   = 4
)

func (f *figures) first(j *job, now time.Time) {
	if f.first95 == nil {
		f.first95 = hdrhistogram.New(1, longestFirst, precision)
	}
	if j.measured {
		_ = f.first95.RecordValue(now.Sub(j.startAt).Microseconds()) // Within the bounds.
	}
}

// ended counts what the request cost: its prefill, its part of a full decode
// batch, and the traffic.
func (f *figures) ended(e *engine, j *job) {
	if !j.measured {
		return
	}
	f.tokens += j.query.Request.MaxTokens
	f.computed += j.computed + j.lost
	lost := time.Duration(j.lost) * prefillPerToken
	f.cost += (j.prefill + lost + j.decode/slots).Seconds() * e.price
}

// traffic counts the bytes between regions of one attempt.
func (f *figures) traffic(j *job) {
	if !j.measured || j.node.region == j.engine.Region {
		return
	}
	bytes := float64((j.query.PromptTokens + j.query.Request.MaxTokens) * tokenBytes)
	f.cost += bytes / gibibyte * qfroute.DefaultConfig().TrafficPrice
}

func (f *figures) p95() time.Duration {
	return time.Duration(f.first95.ValueAtQuantile(95)) * time.Microsecond
}

func (f *figures) costPerThousand() float64 { return f.cost / float64(f.tokens) * 1000 }

// Row is one policy in one scenario.
type Row struct {
	Deployment, Scenario, Policy string
	// FirstToken is the 95th percentile.
	FirstToken time.Duration
	// CostPerThousand is in thousandths of the currency unit per 1,000 tokens.
	CostPerThousand float64
	// ComputedThousands counts the prompt tokens that were computed, in thousands.
	ComputedThousands float64
	Requests int
	Unserved int
}

// Table is what the bench prints.
type Table struct {
	Seed uint64
	Rows []Row
}

// Run measures every policy in every scenario of both deployments.
func Run(seed uint64) *Table {
	table := &Table{Seed: seed}
	for _, d := range Deployments() {
		for _, s := range Scenarios(d) {
			table.Rows = append(table.Rows, RunScenario(s, seed)...)
		}
	}
	return table
}

// RunScenario measures every policy in one scenario.
func RunScenario(s *Scenario, seed uint64) []Row {
	var rows []Row
	for _, p := range Policies() {
		f := play(s, &p, seed)
		rows = append(rows, Row{
			Deployment: s.Deployment.Name, Scenario: s.Name, Policy: p.Name, FirstToken: f.p95(),
			CostPerThousand: f.costPerThousand(), ComputedThousands: float64(f.computed) / 1000,
			Requests: int(f.first95.TotalCount()), Unserved: f.unserved,
		})
	}
	return rows
}

// Print writes the table as text.
func (t *Table) Print(out io.Writer) error {
	fmt.Fprintf(out, "seed %d; first token at the 95th percentile; cost in thousandths per 1,000 tokens; computed prompt tokens\n", t.Seed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DEPLOYMENT\tSCENARIO\tPOLICY\tFIRST TOKEN\tCOST\tCOMPUTED\tVS TWO CHOICES\tREQUESTS\tUNSERVED")
	for i := range t.Rows {
		r := &t.Rows[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.3f\t%.0fk\t%s\t%d\t%d\n", r.Deployment, r.Scenario, r.Policy,
			r.FirstToken.Round(time.Millisecond), r.CostPerThousand, r.ComputedThousands, t.against(r), r.Requests, r.Unserved)
	}
	return w.Flush()
}

// against compares the computed tokens with those of two choices.
func (t *Table) against(r *Row) string {
	for i := range t.Rows {
		b := &t.Rows[i]
		if b.Deployment == r.Deployment && b.Scenario == r.Scenario && b.Policy == policyTwoChoices {
			return fmt.Sprintf("%+.0f %%", (r.ComputedThousands/b.ComputedThousands-1)*100)
		}
	}
	return "-"
}
