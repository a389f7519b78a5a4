package qfevent_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"quetzalfront/internal/qf/state/qfevent"
)

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md")

const page = "../../../../docs/EVENTS.md"

// TestPage checks that docs/EVENTS.md lists every event as it is logged.
func TestPage(t *testing.T) {
	want := render()
	if *update {
		if err := os.WriteFile(page, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil || string(got) != want {
		t.Errorf("docs/EVENTS.md differs from the events (%v); run: go test ./internal/qf/state/qfevent -update", err)
	}
}

func render() string {
	var b strings.Builder
	b.WriteString("# Events\n\n" +
		"A node logs numbered events. The number is in the field `Event`; it never changes and is never used\n" +
		"again. The hundreds stand for parts: 1 node, 2 request, 3 catalogue, 4 peers, 5 platform, 6 rollouts,\n" +
		"7 fleet, 8 security. This page is generated: `go test ./internal/qf/state/qfevent -update`.\n\n" +
		"| Event | Level | Meaning | Fields | What an operator does |\n|---|---|---|---|---|\n")
	events := qfevent.All()
	slices.SortFunc(events, func(x, y qfevent.Event) int { return x.Number - y.Number })
	for _, e := range events {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Level, e.Message, strings.Join(e.Fields, ", "), e.Action)
	}
	return b.String()
}

// TestEventsAreWellFormed checks that numbers are unique and that each event has a message
// and an action.
func TestEventsAreWellFormed(t *testing.T) {
	seen := map[int]string{}
	for _, e := range qfevent.All() {
		if other, ok := seen[e.Number]; ok {
			t.Errorf("number %d is used by %q and %q", e.Number, other, e.Message)
		}
		seen[e.Number] = e.Message
		if e.Number < 100 || e.Number > 999 || e.Message == "" || !strings.HasSuffix(e.Action, ".") {
			t.Errorf("event %+v: expected a number of three digits, a message and a sentence for operators", e)
		}
	}
}

// TestAllListsEveryEvent checks, by the package's source, that every declared event is
// in All; otherwise it would be missing from the page.
func TestAllListsEveryEvent(t *testing.T) {
	declared, listed := map[string]bool{}, map[string]bool{}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.ValueSpec:
				collectEvents(n, declared)
			case *ast.FuncDecl:
				if n.Name.Name == "All" {
					collectNames(n.Body, listed)
				}
			}
			return true
		})
	}
	for name := range declared {
		if !listed[name] {
			t.Errorf("%s isn't in All", name)
		}
	}
	if len(declared) != len(qfevent.All()) {
		t.Errorf("%d events are declared and All has %d", len(declared), len(qfevent.All()))
	}
}

// collectEvents collects the names of the variables whose value is an Event.
func collectEvents(spec *ast.ValueSpec, into map[string]bool) {
	for i, value := range spec.Values {
		literal, ok := value.(*ast.CompositeLit)
		if !ok {
			continue
		}
		if kind, ok := literal.Type.(*ast.Ident); ok && kind.Name == "Event" {
			into[spec.Names[i].Name] = true
		}
	}
}

// collectNames collects all identifiers in a function body.
func collectNames(body *ast.BlockStmt, into map[string]bool) {
	ast.Inspect(body, func(n ast.Node) bool {
		if name, ok := n.(*ast.Ident); ok {
			into[name.Name] = true
		}
		return true
	})
}

// TestLogWritesNumberLevelAndFields checks the fields of a written log line.
func TestLogWritesNumberLevelAndFields(t *testing.T) {
	var out bytes.Buffer
	logger := zerolog.New(&out)
	qfevent.PeerFailed.Log(&logger, "10.0.0.1:7002", errors.New("no answer"))
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	want := map[string]any{
		"Event": 401.0, "level": "debug", "message": "exchange with a peer failed",
		"Peer": "10.0.0.1:7002", "Error": "no answer",
	}
	if fmt.Sprint(line) != fmt.Sprint(want) {
		t.Errorf("line %v, want %v", line, want)
	}
}
