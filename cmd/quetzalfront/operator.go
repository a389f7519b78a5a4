package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"
	"github.com/integrii/flaggy"

	"quetzalfront/internal/qf/state/qfresponse"
	"quetzalfront/pkg/qfapi"
)

const operatorTimeout = 30 * time.Second

// operatorFlags holds the flags of the commands that send requests to a node's
// operators' port.
type operatorFlags struct {
	node string
	json bool
	operatorIdentity
}

func (f *operatorFlags) attach(sub *flaggy.Subcommand) {
	f.node = "127.0.0.1:7003"
	sub.String(&f.node, "n", "node", "the operators' address of any node")
	sub.Bool(&f.json, "j", "json", "print JSON")
	f.operatorIdentity.attach(sub)
}

// newSling returns a request builder for the node.
func (f *operatorFlags) newSling() (*sling.Sling, error) {
	address, err := netip.ParseAddrPort(f.node)
	if err != nil {
		return nil, fmt.Errorf("--node: expected an IP and a port, not %q", f.node)
	}
	transport, scheme, err := f.transport()
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: operatorTimeout, Transport: qfresponse.CheckHeads(transport)}
	return sling.New().Client(client).Base(scheme + "://" + address.String()), nil
}

// get fetches a path from the node and decodes the response.
func (f *operatorFlags) get(ctx context.Context, path string, into any) error {
	s, err := f.newSling()
	if err != nil {
		return err
	}
	s = s.Get(path)
	request, err := s.Request()
	if err != nil {
		return err
	}
	failure := &qfapi.ErrorBody{}
	response, err := s.Do(request.WithContext(ctx), into, failure)
	if err != nil {
		return fmt.Errorf("node %s: %w", f.node, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("node %s: %s: %s", f.node, failure.Error.Code, failure.Error.Reason)
	}
	return nil
}

// printJSON prints a value as indented JSON and returns the exit code.
func printJSON(body any) int {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(body); err != nil {
		return fail(err)
	}
	return exitOK
}

// columnGap is the number of spaces between columns.
const columnGap = 2

// printTable prints rows of cells separated by tabs and returns the exit code.
func printTable(header string, rows int, row func(i int) string) int {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, header)
	for i := range rows {
		fmt.Fprintln(t, row(i))
	}
	if err := t.Flush(); err != nil {
		return fail(err)
	}
	return exitOK
}
