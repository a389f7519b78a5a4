package contract

import (
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/state/qfweight"
	"quetzalfront/internal/standin/standfault"
	"quetzalfront/internal/standin/standweight"
)

const (
	weightRate  = 1 << 20
	smallWeight = 10 * weightRate
	largeWeight = 60 * 60 * weightRate
)

// weights is one implementation of the weight store, with its fault injection.
type weights struct {
	qf.WeightStore
	setFaults func(standfault.Faults)
}

func newWeights() *standweight.Store {
	stand := standweight.New(qftimer.NewWall(), weightRate)
	stand.Add("assistant", "small", smallWeight)
	stand.Add("assistant", "large", largeWeight)
	return stand
}

var weightStores = map[string]func(t *testing.T) weights{
	"stand-in": func(*testing.T) weights {
		stand := newWeights()
		return weights{stand, stand.SetFaults}
	},
	"adapter": func(t *testing.T) weights {
		stand := newWeights()
		return weights{qfweight.NewClient(serverAddress, callTimeout, serve(t, stand.Handler())), stand.SetFaults}
	},
}

func TestWeightReservationsShareRate(t *testing.T) {
	steps := []struct {
		after   time.Duration
		version qf.Version
		want    time.Duration
		code    qf.Code
	}{
		{0, "small", 10 * time.Second, ""},
		{0, "small", 20 * time.Second, ""},
		{15 * time.Second, "small", 15 * time.Second, ""},
		{time.Minute, "small", 10 * time.Second, ""},
		{0, "none", 0, qf.CodeNotFound},
		{time.Minute, "large", time.Hour, ""},
		{0, "small", 0, qf.CodeLimited},
		{time.Hour, "small", 10 * time.Second, ""},
	}
	forEachImplementation(t, weightStores, func(t *testing.T, w weights) {
		for i, step := range steps {
			sleep(step.after)
			got, err := w.Reserve(t.Context(), "assistant", step.version)
			wantCode(t, err, step.code)
			if got != step.want {
				t.Errorf("step %d: complete in %s, want %s", i, got, step.want)
			}
			if step.code == qf.CodeLimited && retryAfter(err) != time.Hour-standweight.MaxBacklog {
				t.Errorf("step %d: retry after %s", i, retryAfter(err))
			}
		}
	})
}

func TestWeightFaults(t *testing.T) {
	tests := []struct {
		name    string
		version qf.Version
		faults  standfault.Faults
		code    qf.Code
		want    uint64
	}{
		{"none", "small", standfault.Faults{}, "", smallWeight},
		{"slow but within the timeout", "large", standfault.Faults{Delay: callTimeout / 2}, "", largeWeight},
		{"unknown version", "none", standfault.Faults{}, qf.CodeNotFound, 0},
		{"down", "small", standfault.Faults{Down: true}, qf.CodeUnavailable, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachImplementation(t, weightStores, func(t *testing.T, w weights) {
				w.setFaults(test.faults)
				got, err := w.Size(t.Context(), "assistant", test.version)
				wantCode(t, err, test.code)
				if got != test.want {
					t.Errorf("size %d, want %d", got, test.want)
				}
				_, err = w.Reserve(t.Context(), "assistant", test.version)
				wantCode(t, err, test.code)
			})
		})
	}
}
