package main

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/integrii/flaggy"

	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/pkg/qfapi"
)

func catalogueCommands() []*command {
	parent := flaggy.NewSubcommand("catalogue")
	parent.Description = "read and edit the catalogue"
	flaggy.AttachSubcommand(parent, 1)
	commands := []*command{catalogueGet(), catalogueApply(), catalogueSettle(), catalogueHistory(), catalogueCheck()}
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
	sub.Description = "print the revisions with their operators and changed entries"
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
	var wait time.Duration
	base := -1
	sub := flaggy.NewSubcommand("apply")
	sub.Description = "apply a file as the newest revision"
	flags.attach(sub)
	sub.Int(&base, "b", "base-revision", "the revision on which the file is based; default: the newest")
	sub.Duration(&wait, "w", "wait", "wait up to this long until the revision is in force at all nodes; then print the nodes where it isn't")
	sub.String(&operator, "o", "operator", "the operator who makes the edit; default: the user's name")
	sub.AddPositionalValue(&path, "FILE", 1, true, "the catalogue file")
	return &command{sub: sub, run: func(ctx context.Context) int {
		revision, code := applyCatalogue(ctx, flags, path, operator, base)
		if code != exitOK || wait <= 0 {
			return code
		}
		return awaitRevision(ctx, flags, revision, wait)
	}}
}

func applyCatalogue(ctx context.Context, flags *operatorFlags, path, operator string, base int) (uint64, int) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return 0, fail(err)
	}
	if operator == "" {
		operator = userName()
	}
	if base < 0 {
		var current qfapi.CatalogueAnswer
		if err := flags.get(ctx, qfapi.PathCatalogue, &current); err != nil {
			return 0, fail(err)
		}
		base = int(current.Revision) //nolint:gosec // Revisions are small.
	}
	id := qfcatalogue.NewEditID()
	answer, err := putCatalogue(ctx, flags, data, operator, base, id)
	if err != nil {
		return 0, fail(fmt.Errorf("%w\nwhether edit %s was accepted is not yet known; %s", err, id, settleHint(flags, id)))
	}
	return answer.Revision, printEditResult(flags, path, answer)
}

// settleHint returns the command that determines whether an edit was accepted.
func settleHint(flags *operatorFlags, id string) string {
	return fmt.Sprintf("run: quetzalfront catalogue settle --node %s %s", flags.node, id)
}

// printEditResult prints the response to an edit and returns the exit code for it.
func printEditResult(flags *operatorFlags, path string, answer *qfapi.ApplyAnswer) int {
	if flags.json {
		printJSON(answer)
	} else {
		printEditText(flags, path, answer)
	}
	if answer.State != string(qfcatalogue.EditAccepted) {
		return exitFailure
	}
	return exitOK
}

func catalogueSettle() *command {
	flags := &operatorFlags{}
	var id string
	sub := flaggy.NewSubcommand("settle")
	sub.Description = "determine finally whether an edit was accepted"
	flags.attach(sub)
	sub.AddPositionalValue(&id, "EDIT-ID", 1, true, "the edit's identifier, as printed by apply")
	return &command{sub: sub, run: func(ctx context.Context) int {
		s, err := flags.newSling()
		if err != nil {
			return fail(err)
		}
		answer, err := doEditRequest(ctx, flags, s.Post(qfapi.PathCatalogueEdits+url.PathEscape(id)))
		if err != nil {
			return fail(err)
		}
		return printEditResult(flags, "", answer)
	}}
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// putCatalogue sends an edit to the node.
func putCatalogue(ctx context.Context, flags *operatorFlags, data []byte, operator string, base int, id string) (*qfapi.ApplyAnswer, error) {
	s, err := flags.newSling()
	if err != nil {
		return nil, err
	}
	return doEditRequest(ctx, flags, s.Put(qfapi.PathCatalogue).Body(strings.NewReader(string(data))).
		Set(qfapi.HeaderBaseRevision, strconv.Itoa(base)).
		Set(qfapi.HeaderOperator, operator).
		Set(qfapi.HeaderEditID, id))
}

// doEditRequest sends a request about an edit and decodes the response.
func doEditRequest(ctx context.Context, flags *operatorFlags, s *sling.Sling) (*qfapi.ApplyAnswer, error) {
	request, err := s.Request()
	if err != nil {
		return nil, err
	}
	answer := &qfapi.ApplyAnswer{}
	if _, err := s.Do(request.WithContext(ctx), answer, answer); err != nil {
		return nil, fmt.Errorf("node %s: %w", flags.node, err)
	}
	return answer, nil
}

func printEditText(flags *operatorFlags, path string, answer *qfapi.ApplyAnswer) {
	fmt.Printf("%s: revision %d, edit %s\n", answer.State, answer.Revision, answer.EditID)
	if answer.Reason != "" {
		fmt.Println(answer.Reason)
	}
	if answer.State == string(qfcatalogue.EditNotYetKnown) {
		fmt.Println(settleHint(flags, answer.EditID))
	}
	for _, f := range answer.Faults {
		fmt.Printf("%s: line %d: %s: %s\n", path, f.Line, f.Key, f.Expected)
	}
	for _, c := range answer.Conflicts {
		fmt.Printf("conflict: %s changed %s at revision %d, %s\n", c.Operator, c.Entry, c.Revision, c.At.Format(time.RFC3339))
	}
}
