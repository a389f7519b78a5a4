package contract

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
)

// timer is one implementation of the clock, with a function that advances its time.
type timer struct {
	qf.Clock
	advance func(d time.Duration)
}

var timers = map[string]func(t *testing.T) timer{
	"wall": func(*testing.T) timer {
		return timer{qftimer.NewWall(), func(d time.Duration) {
			sleep(d)
			synctest.Wait()
		}}
	},
	"virtual": func(*testing.T) timer {
		virtual := qftimer.NewVirtual(clock.Now())
		return timer{virtual, func(d time.Duration) {
			if d > 0 {
				virtual.Advance(d)
			}
		}}
	},
}

func TestTimerDeliversDueTimes(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name      string
		subscribe func(t qf.Clock) qf.Subscription
		// stopAt is the number of the step before which the subscription is stopped,
		// counted from 1; 0 means never.
		stopAt int
		steps  []time.Duration
		// want holds the time received after each step, relative to the start; a
		// negative value means that none is received.
		want []time.Duration
	}{
		{"after", after(2 * second), 0, []time.Duration{second, second, second}, []time.Duration{-1, 2 * second, -1}},
		{"after nothing", after(0), 0, []time.Duration{0, second}, []time.Duration{0, -1}},
		{"after a negative delay", after(-second), 0, []time.Duration{0, second}, []time.Duration{0, -1}},
		{"after, late reader", after(second), 0, []time.Duration{5 * second}, []time.Duration{second}},
		{"every", every(2 * second), 0, []time.Duration{second, second, 2 * second}, []time.Duration{-1, 2 * second, 4 * second}},
		{"every, slow reader misses ticks", every(second), 0, []time.Duration{5 * second, second / 2}, []time.Duration{second, -1}},
		{"after, stopped", after(second), 1, []time.Duration{second, second}, []time.Duration{-1, -1}},
		{"every, stopped", every(second), 2, []time.Duration{second, second, second}, []time.Duration{second, -1, -1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachImplementation(t, timers, func(t *testing.T, timer timer) {
				start := timer.Now()
				s := test.subscribe(timer)
				var got []time.Duration
				for i, step := range test.steps {
					if test.stopAt == i+1 {
						s.Stop()
						s.Stop()
					}
					timer.advance(step)
					got = append(got, receive(s, start))
				}
				s.Stop()
				if !slices.Equal(got, test.want) {
					t.Errorf("received %v, want %v", got, test.want)
				}
			})
		})
	}
}

func after(d time.Duration) func(t qf.Clock) qf.Subscription {
	return func(t qf.Clock) qf.Subscription { return t.After(d) }
}

func every(d time.Duration) func(t qf.Clock) qf.Subscription {
	return func(t qf.Clock) qf.Subscription { return t.Every(d) }
}

// receive returns the pending time relative to start, or -1 if none is pending.
func receive(s qf.Subscription, start time.Time) time.Duration {
	select {
	case at := <-s.C():
		return at.Sub(start)
	default:
		return -1
	}
}

func TestTimerNow(t *testing.T) {
	forEachImplementation(t, timers, func(t *testing.T, timer timer) {
		start := timer.Now()
		timer.advance(time.Hour)
		if passed := timer.Now().Sub(start); passed != time.Hour {
			t.Errorf("the clock advanced by %s, want %s", passed, time.Hour)
		}
	})
}
