package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfsuspect"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/internal/qf/state/qfdocument"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qfsettings"
	"quetzalfront/internal/standin/standengine"
	"quetzalfront/internal/standin/standworld"
	"quetzalfront/pkg/qfapi"
)

var loopbackAnyPort = netip.MustParseAddrPort("127.0.0.1:0")

const catalogueText = `
[[Entries]]
Name = "assistant"
Kind = "ModelEngine"
Owner = "tree-survey"
Class = "Interactive"
Deadline = "60s"
Target = "v1"

  [[Entries.Versions]]
  Name = "v1"
`

// engineFleet is a platform with nine engines in three zones and two nodes.
type engineFleet struct {
	world *standworld.World
	nodes []*Node
}

const (
	testEngines = 9
	testTimeout = 30 * time.Second
)

func newEngineFleet(t *testing.T) *engineFleet {
	clock := qftimer.NewWall()
	f := &engineFleet{world: standworld.New(clock, qf.TCP())}
	t.Cleanup(f.world.Close)
	table, cloud, err := f.world.Serve(loopbackAnyPort, loopbackAnyPort)
	if err != nil {
		t.Fatal(err)
	}
	for i := range testEngines {
		f.world.Cloud.StartVM(t.Context(), qf.StartVMRequest{
			Token: fmt.Sprint(i), Role: qf.RoleModelEngine, Entry: "assistant", Version: "v1",
			AvailabilityZone: qf.AvailabilityZone(fmt.Sprintf("r%d-a", i%3)), Class: qf.ClassReclaimable,
		})
	}
	for i := range 2 {
		settings := qfsettings.Default()
		settings.Node = qfsettings.NodeSettings{
			ID: fmt.Sprint("n", i), Region: "r", AvailabilityZone: fmt.Sprintf("r%d-a", i),
			CallerAddress: loopbackAnyPort, PeerAddress: loopbackAnyPort, OperatorAddress: loopbackAnyPort,
		}
		settings.Platform.Table, settings.Platform.Cloud, settings.Platform.VMList = table, cloud, cloud
		settings.Security.Insecure = true
		settings.Peer.ExchangeEvery = qfdocument.Duration(50 * time.Millisecond)
		settings.Feed.VMListEvery = qfdocument.Duration(50 * time.Millisecond)
		n := New(settings, Connect(settings, clock, qf.TCP(), zerolog.Nop(), uint64(i)))
		t.Cleanup(n.Kill)
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		self := n.Self()
		f.world.Cloud.Register(standworld.NodeVM(qf.VMID(self.ID), self.AvailabilityZone, self.CallerAddress, self.PeerAddress), nil)
		f.nodes = append(f.nodes, n)
	}
	document, faults := qfcatalogue.Parse([]byte(catalogueText))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	edit := qfcatalogue.Edit{ID: qfcatalogue.NewEditID(), Operator: "test", Document: *document}
	if v := f.nodes[0].Apply(t.Context(), edit); v.Err != nil {
		t.Fatal(v.Err)
	}
	for _, n := range f.nodes {
		eventually(t, func() bool {
			return n.IsReady() && len(n.Endpoints()) == testEngines && len(n.LiveNodes()) == 2
		})
	}
	return f
}

// eventually waits until a condition holds. testTimeout ends a test that has failed.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	end := time.Now().Add(testTimeout) //nolint:forbidigo // Real processes' time.
	for !holds() {
		if time.Now().After(end) { //nolint:forbidigo // Real processes' time.
			t.Fatal("timed out waiting for a condition")
		}
		<-qftimer.NewWall().After(5 * time.Millisecond).C()
	}
}

// ask sends a chat request to a node and returns the answer's text or the error.
func (f *engineFleet) ask(ctx context.Context, n *Node, prompt string, tokens int) (string, *qfapi.ErrorDetail) {
	body, _ := json.Marshal(qfapi.ChatRequest{
		Model: "assistant", MaxTokens: tokens, Messages: []qfapi.ChatMessage{{Role: "user", Content: prompt}},
	})
	url := "http://" + n.Self().CallerAddress.String() + qfapi.PathChatCompletions
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	request.Header.Set(qfapi.HeaderOrganisation, "parks")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", &qfapi.ErrorDetail{Reason: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		var failed qfapi.ErrorBody
		_ = json.NewDecoder(response.Body).Decode(&failed)
		return "", &failed.Error
	}
	var answer qfapi.ChatAnswer
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Choices[0].Message.Content, nil
}

// describeDecisions lists a node's decisions about a request that failed.
func (f *engineFleet) describeDecisions(n *Node, failed *qfapi.ErrorDetail) string {
	if failed == nil || n.records.Get(qf.RequestID(failed.RequestID)) == nil {
		return ""
	}
	var text strings.Builder
	for _, d := range n.records.Get(qf.RequestID(failed.RequestID)).Decisions() {
		fmt.Fprintf(&text, "\n\t%s %s %s %v", d.Endpoint, d.Note, d.Reason.Rule, d.Reason.Figures)
	}
	return text.String()
}

// countDeadEngines returns the number of engines that the cloud no longer lists as live.
func (f *engineFleet) countDeadEngines() int {
	vms, _ := f.world.Cloud.ListVMs(context.Background())
	dead := testEngines
	for i := range vms {
		if vms[i].Role == qf.RoleModelEngine && vms[i].State == qf.VMLive {
			dead--
		}
	}
	return dead
}

// isSuspect reports whether the node suspects the prompt.
func (f *engineFleet) isSuspect(n *Node, prompt string) bool {
	r := &qf.Request{Entry: "assistant", Messages: []qf.Message{{Role: "user", Content: prompt}}}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.suspects.CheckRequest(n.now(), qfsuspect.Fingerprint(r)).Treatment != qfsuspect.TreatNormally
}

// TestCrashingRequest guards against a request that crashes every engine that runs it and is
// retried until no engine is left. It is sent repeatedly to both nodes while other answers
// stream. It may crash one engine before it is suspected and MaxSuspectAttempts after that,
// and all other answers must be complete.
func TestCrashingRequest(t *testing.T) {
	f := newEngineFleet(t)
	var others sync.WaitGroup
	for i := range 30 {
		others.Go(func() {
			prompt := fmt.Sprintf("Question %d.", i)
			got, failed := f.ask(t.Context(), f.nodes[i%2], prompt, 100)
			want := standengine.ExpectedTokens([]qf.Message{{Role: "user", Content: prompt}}, 100)
			if got != strings.Join(want, "") {
				t.Errorf("question %d: %+v%s", i, failed, f.describeDecisions(f.nodes[i%2], failed))
			}
		})
	}
	var last *qfapi.ErrorDetail
	for i := range 10 {
		_, last = f.ask(t.Context(), f.nodes[i%2], standengine.CrashMarker, 10)
		if last == nil {
			t.Fatal("the crashing request was answered")
		}
		eventually(t, func() bool {
			return f.isSuspect(f.nodes[0], standengine.CrashMarker) && f.isSuspect(f.nodes[1], standengine.CrashMarker)
		})
	}
	others.Wait()
	if last.Code != string(qf.CodeSuspect) || last.Ran != string(qf.RanNo) || last.RetryAfter == "" {
		t.Errorf("the last answer is %+v, want code Suspect, Ran No and a retry delay", last)
	}
	most := 1 + f.nodes[0].settings.Request.MaxSuspectAttempts
	if dead := f.countDeadEngines(); dead < 1 || dead > most {
		t.Errorf("%d engines died, want 1 to %d", dead, most)
	}
	t.Logf("%d engines died", f.countDeadEngines())
}
