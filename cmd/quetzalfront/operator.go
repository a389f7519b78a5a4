package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/user"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"
	"github.com/integrii/flaggy"

	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/pkg/qfapi"
)

const operatorTimeout = 30 * time.Second

// operatorFlags are common to the commands that ask a node.
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

func (f *operatorFlags) base() (*sling.Sling, error) {
	address, err := netip.ParseAddrPort(f.node)
	if err != nil {
		return nil, fmt.Errorf("--node: expected an IP and a port, not %q", f.node)
	}
	transport, scheme, err := f.transport()
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: operatorTimeout, Transport: transport}
	return sling.New().Client(client).Base(scheme + "://" + address.String()), nil
}

// get asks the node and decodes its answer.
func (f *operatorFlags) get(ctx context.Context, path string, into any) error {
	s, err := f.base()
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

func catalogueCommands() []*command {
	parent := flaggy.NewSubcommand("catalogue")
	parent.Description = "read and edit the catalogue"
	flaggy.AttachSubcommand(parent, 1)
	commands := []*command{catalogueGet(), catalogueApply(), catalogueHistory(), catalogueCheck()}
	for _, c := range commands {
		parent.AttachSubcommand(c.sub, 1)
	}
	return commands
}

func catalogueGet() *command {
	flags := &operatorFlags{}
	sub := flaggy.NewSubcommand("get")
	sub.Description = "print the catalogue in force at a node"
	flags.attach(sub)
	return &command{sub: sub, run: func(ctx context.Context) int {
		var answer qfapi.CatalogueAnswer
		if err := flags.get(ctx, qfapi.PathCatalogue, &answer); err != nil {
			return fail(err)
		}
		if flags.json {
			return printJSON(answer)
		}
		fmt.Printf("# revision %d\n%s", answer.Revision, answer.Document)
		return exitOK
	}}
}

func catalogueCheck() *command {
	var path string
	sub := flaggy.NewSubcommand("check")
	sub.Description = "check a catalogue file and explain every fault"
	sub.AddPositionalValue(&path, "FILE", 1, true, "the catalogue file")
	return &command{sub: sub, run: func(context.Context) int {
		data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
		if err != nil {
			return fail(err)
		}
		_, faults := qfcatalogue.Parse(data)
		return printFaults(path, faults)
	}}
}

func catalogueHistory() *command {
	flags := &operatorFlags{}
	sub := flaggy.NewSubcommand("history")
	sub.Description = "print who changed what"
	flags.attach(sub)
	return &command{sub: sub, run: func(ctx context.Context) int {
		var changes []qfapi.Change
		if err := flags.get(ctx, qfapi.PathCatalogueHistory, &changes); err != nil {
			return fail(err)
		}
		if flags.json {
			return printJSON(changes)
		}
		return printTable("REVISION\tAT\tOPERATOR\tENTRIES", len(changes), func(i int) string {
			c := &changes[i]
			return fmt.Sprintf("%d\t%s\t%s\t%s", c.Revision, c.At.Format(time.RFC3339), c.Operator, strings.Join(c.Entries, ","))
		})
	}}
}

func catalogueApply() *command {
	flags := &operatorFlags{}
	var path, operator string
	base := -1
	sub := flaggy.NewSubcommand("apply")
	sub.Description = "make a file the newest revision"
	flags.attach(sub)
	sub.Int(&base, "b", "base-revision", "the revision that was edited; the newest if not given")
	sub.String(&operator, "o", "operator", "who makes the edit; the user's name if not given")
	sub.AddPositionalValue(&path, "FILE", 1, true, "the catalogue file")
	return &command{sub: sub, run: func(ctx context.Context) int {
		return applyCatalogue(ctx, flags, path, operator, base)
	}}
}

func applyCatalogue(ctx context.Context, flags *operatorFlags, path, operator string, base int) int {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return fail(err)
	}
	if operator == "" {
		operator = userName()
	}
	if base < 0 {
		var current qfapi.CatalogueAnswer
		if err := flags.get(ctx, qfapi.PathCatalogue, &current); err != nil {
			return fail(err)
		}
		base = int(current.Revision) //nolint:gosec // Revisions are small.
	}
	answer, err := sendApply(ctx, flags, data, operator, base)
	if err != nil {
		return fail(err)
	}
	if flags.json {
		printJSON(answer)
	} else {
		printApply(path, answer)
	}
	if answer.State != string(qfcatalogue.EditAccepted) {
		return exitFailure
	}
	return exitOK
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func sendApply(ctx context.Context, flags *operatorFlags, data []byte, operator string, base int) (*qfapi.ApplyAnswer, error) {
	s, err := flags.base()
	if err != nil {
		return nil, err
	}
	s = s.Put(qfapi.PathCatalogue).Body(strings.NewReader(string(data))).
		Set(qfapi.HeaderBaseRevision, strconv.Itoa(base)).
		Set(qfapi.HeaderOperator, operator).
		Set(qfapi.HeaderEditID, qfcatalogue.NewEditID())
	request, err := s.Request()
	if err != nil {
		return nil, err
	}
	answer := &qfapi.ApplyAnswer{}
	if _, err := s.Do(request.WithContext(ctx), answer, answer); err != nil {
		return nil, fmt.Errorf("node %s: %w; whether the edit was accepted is not known: see catalogue history", flags.node, err)
	}
	return answer, nil
}

func printApply(path string, answer *qfapi.ApplyAnswer) {
	fmt.Printf("%s: revision %d, edit %s\n", answer.State, answer.Revision, answer.EditID)
	if answer.Reason != "" {
		fmt.Println(answer.Reason)
	}
	for _, f := range answer.Faults {
		fmt.Printf("%s: line %d: %s: %s\n", path, f.Line, f.Key, f.Expected)
	}
	for _, c := range answer.Conflicts {
		fmt.Printf("conflict: %s changed %s at revision %d, %s\n", c.Operator, c.Entry, c.Revision, c.At.Format(time.RFC3339))
	}
}

func printJSON(body any) int {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(body); err != nil {
		return fail(err)
	}
	return exitOK
}

const columnGap = 2

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
