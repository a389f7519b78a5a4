package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"quetzalfront/internal/bench/benchload"
	"quetzalfront/internal/qf/state/qfresponse"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/pkg/qfapi"
)

// loadFlags holds the flags of the load command.
type loadFlags struct {
	options   benchload.Options
	target    string
	operators string
	seed      int
	// reclaimable and onDemand are the prices of a VM per hour.
	reclaimable, onDemand float64
	json                  bool
}

func loadCommand() *command {
	f := &loadFlags{target: "127.0.0.1:7001", seed: 1, reclaimable: 0.3, onDemand: 1, options: benchload.Options{
		Entry: "assistant", Organisation: "parks", Rate: 50, Requests: 500, Duration: time.Minute, Timeout: 30 * time.Second,
		MaxTokens: 64, Prompts: 50, PromptWords: 50, Timer: qftimer.NewWall(),
		FirstTokenTarget: 1800 * time.Millisecond, BetweenTokenTarget: 29 * time.Millisecond,
	}}
	sub := flaggy.NewSubcommand("load")
	sub.Description = "run a bounded load test against nodes on loopback"
	o := &f.options
	sub.String(&f.target, "t", "target", "the callers' address of any node, on loopback")
	sub.String(&f.operators, "n", "operators", "the operators' addresses of all nodes, separated by commas; adds recomputed tokens and cost")
	sub.String(&o.Entry, "e", "entry", "the catalogue entry of a model engine")
	sub.String(&o.Organisation, "o", "organisation", "the organisation that sends the requests")
	sub.Float64(&o.Rate, "r", "rate", "the mean number of arrivals per second")
	sub.Int(&o.Requests, "c", "requests", "the maximum number of requests")
	sub.Duration(&o.Duration, "d", "duration", "the maximum duration of arrivals")
	sub.Duration(&o.Timeout, "", "timeout", "the timeout of one request")
	sub.Int(&f.seed, "s", "seed", "the seed of the arrivals")
	sub.Int(&o.MaxTokens, "", "tokens", "the length of each answer, in tokens")
	sub.Int(&o.Prompts, "", "prompts", "the number of different prompts")
	sub.Int(&o.PromptWords, "", "words", "the number of words of each prompt")
	sub.Duration(&o.FirstTokenTarget, "", "first-token", "the target for the time to the first token; answers that miss a target don't count as goodput")
	sub.Duration(&o.BetweenTokenTarget, "", "between-tokens", "the target for the mean time between tokens")
	sub.Float64(&f.reclaimable, "", "price-reclaimable", "the price of a reclaimable VM per hour")
	sub.Float64(&f.onDemand, "", "price-on-demand", "the price of an on-demand VM per hour")
	sub.Bool(&f.json, "j", "json", "print JSON")
	return &command{sub: sub, run: func(ctx context.Context) int { return runLoad(ctx, f) }}
}

func runLoad(ctx context.Context, f *loadFlags) int {
	target, err := netip.ParseAddrPort(f.target)
	if err != nil {
		return failUsage(fmt.Errorf("--target: expected an IP and a port, not %q", f.target))
	}
	f.options.Target = target
	f.options.Seed = uint64(f.seed) //nolint:gosec // Any bits will do.
	if err := f.options.Check(); err != nil {
		return failUsage(err)
	}
	before, err := f.recomputedTokens(ctx)
	if err != nil {
		return fail(err)
	}
	report, err := benchload.Run(ctx, f.options)
	if err != nil {
		return fail(err)
	}
	if f.operators != "" {
		if err := f.addNodeReports(ctx, report, before); err != nil {
			return fail(err)
		}
	}
	if f.json {
		return printJSON(report)
	}
	return printLoad(report)
}

// failUsage prints an error of the arguments and returns the exit code for it.
func failUsage(err error) int {
	fail(err)
	return exitUsage
}

func (f *loadFlags) operatorAddresses() []string {
	if f.operators == "" {
		return nil
	}
	return strings.Split(f.operators, ",")
}

// recomputedTokens returns the number of tokens that all nodes have recomputed so far.
func (f *loadFlags) recomputedTokens(ctx context.Context) (int, error) {
	const metric = "quetzalfront_recomputed_tokens_total{"
	sum := 0
	for _, address := range f.operatorAddresses() {
		text, err := fetchText(ctx, "http://"+address+qfapi.PathMetrics)
		if err != nil {
			return 0, err
		}
		for line := range strings.Lines(text) {
			if !strings.HasPrefix(line, metric) {
				continue
			}
			fields := strings.Fields(line)
			value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
			if err != nil {
				return 0, fmt.Errorf("node %s: metrics: %w", address, err)
			}
			sum += int(value)
		}
	}
	return sum, nil
}

// addNodeReports adds to the report the tokens that the nodes recomputed during the run
// and the cost of the entry's VMs. before is the number of tokens recomputed before it.
func (f *loadFlags) addNodeReports(ctx context.Context, report *benchload.Report, before int) error {
	after, err := f.recomputedTokens(ctx)
	if err != nil {
		return err
	}
	recomputed := after - before
	report.Recomputed = &recomputed
	flags := &operatorFlags{node: f.operatorAddresses()[0]}
	var fleet qfapi.FleetReport
	if err := flags.get(ctx, qfapi.PathReports+"fleet", &fleet); err != nil {
		return err
	}
	cost := 0.0
	for i := range fleet.Endpoints {
		e := &fleet.Endpoints[i]
		switch {
		case e.Entry != f.options.Entry:
		case e.Class == "Reclaimable":
			cost += f.reclaimable * report.Took.Hours()
		default:
			cost += f.onDemand * report.Took.Hours()
		}
	}
	report.Cost = &cost
	return nil
}

func printLoad(r *benchload.Report) int {
	fmt.Printf("seed %d, %d requests in %s: %d answered, %d refused as not run %v, %d unknown, %d not sent, %d resumed\n",
		r.Seed, r.Sent, r.Took.Round(time.Millisecond), r.Answered, r.NotRun, r.NotRunByCode, r.Unknown, r.NotSent, r.Resumed)
	fmt.Printf("%.1f answers/s, %.1f within the targets, %.0f tokens/s\n", r.RequestsPerSecond, r.Goodput, r.TokensPerSecond)
	if r.Recomputed != nil {
		fmt.Printf("%d tokens recomputed, cost %.4f\n", *r.Recomputed, *r.Cost)
	}
	rows := []struct {
		name string
		benchload.Quantiles
	}{{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}}
	return printTable("LATENCY\tCOUNT\tP50\tP95\tP99\tP99.9\tMAX", len(rows), func(i int) string {
		q := &rows[i]
		return fmt.Sprintf("%s\t%d\t%s\t%s\t%s\t%s\t%s", q.name, q.Count, q.P50, q.P95, q.P99, q.P999, q.Max)
	})
}

const maxTextBytes = 16 << 20

// fetchText returns the body of a successful response from an operators' port.
func fetchText(ctx context.Context, url string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", err
	}
	response, err := (&http.Client{Timeout: operatorTimeout, Transport: qfresponse.CheckHeads(nil)}).Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // The body was read to its end or is abandoned.
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("%s: %s", url, response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxTextBytes))
	return string(body), err
}
