package benchrollout

import (
	"fmt"
	"strings"
	"sync"
	"text/tabwriter"
)

// The policies that are compared.
const (
	policyStaged = "Staged"
	policyFixed  = "FixedSteps"
	policyAll    = "AllAtOnce"
)

// Row sums up all rollouts of one kind under one policy.
type Row struct {
	Policy   string
	Kind     Kind
	Rollouts int
	// InTime counts the rollouts whose traffic had moved by the deadline, RolledBack
	// those that were rolled back; for a good version that is a false positive.
	InTime, RolledBack int
	// Exposed is the share of all requests that a fault affected before the version was
	// stopped; MostExposed is the largest such share of a single rollout.
	Exposed, MostExposed float64
	// LargestShare is the median over the rollouts of the largest share of affected
	// requests in a window of ten seconds.
	LargestShare float64
	// Late counts requests to stopped versions more than stopLimit after the stop.
	Late int
	// MedianDetection is the median time from the first affected request to the stop, in
	// seconds.
	MedianDetection float64
}

// Result holds the rows of a run.
type Result struct {
	Seeds int
	Rows  []Row
}

// parallel is the number of rollouts that are simulated concurrently.
const parallel = 4

// Run simulates the given number of rollouts for each kind, workload and policy.
func Run(seeds int) Result {
	var outcomes []outcome
	var mu sync.Mutex
	var runs sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for _, name := range []string{policyStaged, policyFixed, policyAll} {
		for _, kind := range Kinds() {
			for _, w := range workloads() {
				for seed := range uint64(seeds) {
					slots <- struct{}{}
					runs.Go(func() {
						o := simulate(&w, kind, name, seed)
						mu.Lock()
						outcomes = append(outcomes, o)
						mu.Unlock()
						<-slots
					})
				}
			}
		}
	}
	runs.Wait()
	return summarise(seeds, outcomes)
}

// summarise sums up the outcomes by policy and kind.
func summarise(seeds int, outcomes []outcome) Result {
	result := Result{Seeds: seeds}
	for _, name := range []string{policyStaged, policyFixed, policyAll} {
		for _, kind := range Kinds() {
			row := Row{Policy: name, Kind: kind}
			requests, exposed := 0, 0
			var detections, shares []float64
			for i := range outcomes {
				o := &outcomes[i]
				if o.policy != name || o.kind != kind {
					continue
				}
				row.add(o)
				requests += o.requests
				exposed += o.exposed
				shares = append(shares, o.largestShare)
				if o.stoppedAfter > 0 {
					detections = append(detections, (o.stoppedAfter - o.firstAffectedAt).Seconds())
				}
			}
			row.Exposed = float64(exposed) / float64(max(1, requests))
			row.LargestShare, row.MedianDetection = median(shares), median(detections)
			result.Rows = append(result.Rows, row)
		}
	}
	return result
}

func (r *Row) add(o *outcome) {
	r.Rollouts++
	if o.isInTime() {
		r.InTime++
	}
	if o.stoppedAfter > 0 {
		r.RolledBack++
	}
	r.MostExposed = max(r.MostExposed, float64(o.exposed)/float64(max(1, o.requests)))
	r.Late += o.late
}

// Text renders the rows as a table.
func (r *Result) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d seeds for each kind, workload and policy\n", r.Seeds)
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tkind\trollouts\tin time\ttaken back\texposed\tmost exposed\tlargest share\tlate requests\tdetected after\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.1f%%\t%.1f%%\t%.2f%%\t%.2f%%\t%.1f%%\t%d\t%.0fs\t\n",
			row.Policy, row.Kind, row.Rollouts, percent(row.InTime, row.Rollouts), percent(row.RolledBack, row.Rollouts),
			100*row.Exposed, 100*row.MostExposed, 100*row.LargestShare, row.Late, row.MedianDetection)
	}
	if err := t.Flush(); err != nil {
		return err.Error()
	}
	return b.String()
}

// percent returns a part of a whole in per cent.
func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }
