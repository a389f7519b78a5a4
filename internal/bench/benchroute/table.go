// Package benchroute compares the product's router with baselines on virtual time. It
// simulates endpoints with the sizes, delays and prices of the deployments, and gives
// every router the same requests.
package benchroute

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzalfront/internal/qf/coordination/qfroute"
)

// measurements are the results of one run.
type measurements struct {
	jobs       []*job
	firstToken *hdrhistogram.Histogram
	tokens     int
	computed   int
	cost       float64
	unserved   int
}

const (
	maxFirstToken = int64(10 * time.Minute / time.Microsecond)
	precision     = 3
	gibibyte      = 1 << 30
	tokenBytes    = 4
)

// recordFirstToken records the time from a request's arrival to its first token.
func (m *measurements) recordFirstToken(j *job, now time.Time) {
	if m.firstToken == nil {
		m.firstToken = hdrhistogram.New(1, maxFirstToken, precision)
	}
	if j.measured {
		_ = m.firstToken.RecordValue(now.Sub(j.startAt).Microseconds()) // Within the bounds.
	}
}

// recordCompleted adds the cost of a completed request: its prefill, those of its failed
// attempts, and its share of a full decode batch.
func (m *measurements) recordCompleted(e *engine, j *job) {
	if !j.measured {
		return
	}
	m.tokens += j.query.Request.MaxTokens
	m.computed += j.computedTokens + j.wastedTokens
	lost := time.Duration(j.wastedTokens) * prefillPerToken
	m.cost += (j.prefill + lost + j.decode/slots).Seconds() * e.price
}

// addTrafficCost adds the cost of one attempt's bytes between regions.
func (m *measurements) addTrafficCost(j *job) {
	if !j.measured || j.node.region == j.engine.Region {
		return
	}
	bytes := float64((j.query.PromptTokens + j.query.Request.MaxTokens) * tokenBytes)
	m.cost += bytes / gibibyte * qfroute.DefaultConfig().TrafficPrice
}

func (m *measurements) p95() time.Duration {
	return time.Duration(m.firstToken.ValueAtQuantile(95)) * time.Microsecond
}

func (m *measurements) costPerThousand() float64 { return m.cost / float64(m.tokens) * 1000 }

// Row is one policy in one scenario.
type Row struct {
	Deployment, Scenario, Policy string
	// FirstToken is the 95th percentile of the time to the first token.
	FirstToken time.Duration
	// CostPerThousand is in thousandths of the currency unit per 1,000 tokens.
	CostPerThousand float64
	// ComputedThousands is the number of prompt tokens that weren't served from a
	// prefix cache, in thousands.
	ComputedThousands float64
	Requests          int
	Unserved          int
}

// Table holds the rows of one run of the benchmark.
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
		f := simulate(s, &p, seed)
		rows = append(rows, Row{
			Deployment: s.Deployment.Name, Scenario: s.Name, Policy: p.Name, FirstToken: f.p95(),
			CostPerThousand: f.costPerThousand(), ComputedThousands: float64(f.computed) / 1000,
			Requests: int(f.firstToken.TotalCount()), Unserved: f.unserved,
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
			r.FirstToken.Round(time.Millisecond), r.CostPerThousand, r.ComputedThousands, t.compareToTwoChoices(r), r.Requests, r.Unserved)
	}
	return w.Flush()
}

// compareToTwoChoices returns the difference in computed tokens from the TwoChoices
// baseline, in per cent.
func (t *Table) compareToTwoChoices(r *Row) string {
	for i := range t.Rows {
		b := &t.Rows[i]
		if b.Deployment == r.Deployment && b.Scenario == r.Scenario && b.Policy == policyTwoChoices {
			return fmt.Sprintf("%+.0f %%", (r.ComputedThousands/b.ComputedThousands-1)*100)
		}
	}
	return "-"
}
