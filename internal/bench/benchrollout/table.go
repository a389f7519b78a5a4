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

// Row is the sum of all rollouts of one kind under one policy.
type Row struct {
	Policy   string
	Kind     Kind
	Rollouts int
	// InTime counts the rollouts whose traffic had moved by the deadline,
	// TakenBack those that were taken back. For a good version that is a false
	// alarm.
	InTime, TakenBack int
	// Exposed is the part of all requests that bad versions got while they were
	// bad, before they were stopped; MostExposed is the largest of any rollout.
	Exposed, MostExposed float64
	// LargestShare is the median over the rollouts of the largest share in ten
	// seconds.
	LargestShare float64
	// Late counts requests to bad versions more than two seconds after a stop.
	Late int
	// MedianDetection is in seconds since the badness was first met.
	MedianDetection float64
}

// Result holds the rows of a run.
type Result struct {
	Seeds int
	Rows  []Row
}

// parallel bounds the rollouts that run at once.
const parallel = 4

// Run runs seeds rollouts of each kind, workload and policy.
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
				shares = append(shares, o.largest)
				if o.takenBackIn > 0 {
					detections = append(detections, (o.takenBackIn - o.badSince).Seconds())
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
	if o.takenBackIn > 0 {
		r.TakenBack++
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
			row.Policy, row.Kind, row.Rollouts, percent(row.InTime, row.Rollouts), percent(row.TakenBack, row.Rollouts),
			100*row.Exposed, 100*row.MostExposed, 100*row.LargestShare, row.Late, row.MedianDetection)
	}
	if err := t.Flush(); err != nil {
		return err.Error()
	}
	return b.String()
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }
