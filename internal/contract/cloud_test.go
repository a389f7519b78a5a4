package contract

import (
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfcloud"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standcloud"
)

// cloud is one implementation of the cloud API and the VM list, with the stand-in
// behind it, which injects the faults.
type cloud struct {
	qf.Cloud
	qf.VMLister
	stand *standcloud.Cloud
}

// idleServer is a server on a VM that does nothing.
type idleServer struct{}

func (idleServer) Address() netip.AddrPort { return serverAddress }
func (idleServer) Leave()                  {}
func (idleServer) Kill()                   {}

var prices = []qf.Price{{AvailabilityZone: "north-a", Class: qf.ClassReclaimable, Role: qf.RoleModelEngine, PerHour: 700}}

func newCloud() *standcloud.Cloud {
	launch := func(qf.VM) (standcloud.Server, error) { return idleServer{}, nil }
	return standcloud.New(qftimer.NewWall(), prices, launch)
}

var clouds = map[string]func(t *testing.T) cloud{
	"stand-in": func(*testing.T) cloud {
		stand := newCloud()
		return cloud{stand, stand, stand}
	},
	"adapter": func(t *testing.T) cloud {
		stand := newCloud()
		client := qfcloud.NewClient(serverAddress, serverAddress, callTimeout, serve(t, stand.Handler()))
		return cloud{client, client, stand}
	},
}

func startRequest(token string, zone qf.AvailabilityZone) qf.StartVMRequest {
	return qf.StartVMRequest{
		Token: token, Role: qf.RoleModelEngine, Entry: "assistant", Version: "v1",
		AvailabilityZone: zone, Class: qf.ClassReclaimable,
	}
}

func (c *cloud) mustStart(t *testing.T, token string, zone qf.AvailabilityZone) qf.VM {
	t.Helper()
	result := c.StartVM(t.Context(), startRequest(token, zone))
	wantResult(t, result, qf.Done, "")
	return result.Value
}

// tokens returns the sorted start tokens of all VMs in the cloud.
func (c *cloud) tokens(t *testing.T) []string {
	t.Helper()
	vms, err := c.ListVMs(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var tokens []string
	for i := range vms {
		tokens = append(tokens, vms[i].Token)
	}
	slices.Sort(tokens)
	return tokens
}

func TestCloudStartVM(t *testing.T) {
	tests := []struct {
		name      string
		faults    standcloud.Faults
		token     string
		certainty qf.Certainty
		code      qf.Code
		want      []string
	}{
		{"a new VM", standcloud.Faults{}, "new", qf.Done, "", []string{"new", "old"}},
		{"the same token again", standcloud.Faults{}, "old", qf.Done, "", []string{"old"}},
		{"down", standcloud.Faults{Down: true}, "new", qf.NotDone, qf.CodeUnavailable, []string{"old"}},
		{
			"refused in the zone",
			standcloud.Faults{RefuseStarts: []qf.AvailabilityZone{"south-a", "north-a"}},
			"new",
			qf.NotDone, qf.CodeLimited,
			[]string{"old"},
		},
		{
			"refused in another zone",
			standcloud.Faults{RefuseStarts: []qf.AvailabilityZone{"south-a"}},
			"new",
			qf.Done, "",
			[]string{"new", "old"},
		},
		{"response lost after the start", standcloud.Faults{LoseAnswers: 1}, "new", qf.Unknown, "", []string{"new", "old"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachImplementation(t, clouds, func(t *testing.T, c cloud) {
				old := c.mustStart(t, "old", "north-a")
				c.stand.SetFaults(test.faults)
				result := c.StartVM(t.Context(), startRequest(test.token, "north-a"))
				wantResult(t, result, test.certainty, test.code)
				c.stand.SetFaults(standcloud.Faults{})
				if got := c.tokens(t); !slices.Equal(got, test.want) {
					t.Errorf("VMs %q, want %q", got, test.want)
				}
				if again := c.mustStart(t, "old", "north-a"); again != old {
					t.Errorf("the repeated token returned %+v, want %+v", again, old)
				}
			})
		})
	}
}

func TestCloudStopVM(t *testing.T) {
	tests := []struct {
		name      string
		faults    standcloud.Faults
		unknownVM bool
		certainty qf.Certainty
		code      qf.Code
		left      int
	}{
		{"a VM", standcloud.Faults{}, false, qf.Done, "", 0},
		{"an unknown VM", standcloud.Faults{}, true, qf.NotDone, qf.CodeNotFound, 1},
		{"down", standcloud.Faults{Down: true}, false, qf.NotDone, qf.CodeUnavailable, 1},
		{"response lost after the stop", standcloud.Faults{LoseAnswers: 1}, false, qf.Unknown, "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachImplementation(t, clouds, func(t *testing.T, c cloud) {
				id := c.mustStart(t, "vm", "north-a").ID
				if test.unknownVM {
					id = "vm-unknown"
				}
				c.stand.SetFaults(test.faults)
				wantResult(t, c.StopVM(t.Context(), id), test.certainty, test.code)
				c.stand.SetFaults(standcloud.Faults{})
				if got := c.tokens(t); len(got) != test.left {
					t.Errorf("VMs %q, want %d", got, test.left)
				}
			})
		})
	}
}

// TestCloudOverlappingReclaims reclaims a second zone while the notices of the first
// are still pending.
func TestCloudOverlappingReclaims(t *testing.T) {
	const notice = 30 * time.Second
	forEachImplementation(t, clouds, func(t *testing.T, c cloud) {
		first, second := c.mustStart(t, "a", "north-a"), c.mustStart(t, "b", "south-a")
		c.mustStart(t, "c", "west-a")
		start := clock.Now()
		c.stand.ReclaimZone("north-a", notice)
		sleep(notice / 2)
		c.stand.ReclaimZone("south-a", notice)
		got, err := c.ListNotices(t.Context())
		want := []qf.Notice{
			{VM: first.ID, Incarnation: 1, LeaveAt: start.Add(notice)},
			{VM: second.ID, Incarnation: 1, LeaveAt: start.Add(notice * 3 / 2)},
		}
		if err != nil || !slices.EqualFunc(got, want, sameNotice) {
			t.Errorf("notices %+v, %v; want %+v", got, err, want)
		}
		for _, left := range [][]string{{"b", "c"}, {"c"}} {
			sleep(notice / 2)
			if tokens := c.tokens(t); !slices.Equal(tokens, left) {
				t.Errorf("VMs %q, want %q", tokens, left)
			}
		}
		if got, err := c.ListNotices(t.Context()); err != nil || len(got) != 0 {
			t.Errorf("notices %+v, %v", got, err)
		}
	})
}

func sameNotice(a, b qf.Notice) bool {
	return a.VM == b.VM && a.Incarnation == b.Incarnation && a.LeaveAt.Equal(b.LeaveAt)
}

func TestCloudReadsFailWhileDown(t *testing.T) {
	forEachImplementation(t, clouds, func(t *testing.T, c cloud) {
		if got, err := c.ListPrices(t.Context()); err != nil || !reflect.DeepEqual(got, prices) {
			t.Errorf("prices %+v, %v", got, err)
		}
		c.stand.SetFaults(standcloud.Faults{Down: true})
		_, err := c.ListPrices(t.Context())
		wantCode(t, err, qf.CodeUnavailable)
		_, err = c.ListVMs(t.Context())
		wantCode(t, err, qf.CodeUnavailable)
		_, err = c.ListNotices(t.Context())
		wantCode(t, err, qf.CodeUnavailable)
		_, _, err = c.ListActiveVMs(t.Context())
		wantCode(t, err, qf.CodeUnavailable)
	})
}

func TestVMListLag(t *testing.T) {
	tests := []struct {
		name string
		lag  time.Duration
		// want holds the state of the VM in the list, every 10 s. The VM is started at
		// 10 s and reclaimed at 20 s with 10 s of notice.
		want []qf.VMState
	}{
		{"no lag", 0, []qf.VMState{"", qf.VMLive, qf.VMLeaving, "", "", ""}},
		{"a lag of 10 s", 10 * time.Second, []qf.VMState{"", "", qf.VMLive, qf.VMLeaving, "", ""}},
		{"a lag of 20 s", 20 * time.Second, []qf.VMState{"", "", "", qf.VMLive, qf.VMLeaving, ""}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachImplementation(t, clouds, func(t *testing.T, c cloud) {
				c.stand.SetFaults(standcloud.Faults{ListLag: test.lag})
				for i, want := range test.want {
					switch i {
					case 1:
						c.mustStart(t, "vm", "north-a")
					case 2:
						c.stand.ReclaimZone("north-a", 10*time.Second)
					}
					vms, asOf, err := c.ListActiveVMs(t.Context())
					var got qf.VMState
					if len(vms) > 0 {
						got = vms[0].State
					}
					if err != nil || got != want || !asOf.Equal(clock.Now().Add(-test.lag)) {
						t.Errorf("at %d s: %q as of %s, %v; want %q", 10*i, got, asOf, err, want)
					}
					sleep(10 * time.Second)
				}
			})
		})
	}
}
