package entry_test

import (
	"net/http"
	"testing"
	"time"
)

// TestSilentEndpointsGoOn fails if a sound endpoint that sends nothing for a second or so is taken for dead:
// if its streams are broken, if what may not be repeated runs twice, or if it stays the first choice meanwhile.
func TestSilentEndpointsGoOn(t *testing.T) {
	const silence, noticed = 1200 * time.Millisecond, 800 * time.Millisecond
	day := rateDay{
		nodes: 6, endpoints: 4, interval: 6 * time.Millisecond, length: 14 * time.Second, seed: 9,
		paths: []string{"/ask/1", "/talk/1", "/file/1", "/read/1"},
	}
	var silences []time.Time
	day.trouble = func(w *rateWorld) {
		for i := range 4 {
			silences = append(silences, w.clock.Now())
			w.endpoints[i].FallSilent(silence)
			w.replicas["books-1"].FallSilent(silence)
			w.sleep(2500 * time.Millisecond)
		}
	}
	runRateDay(t, day, func(w *rateWorld, _ time.Time, answers []ratedAnswer) {
		w.checkRunsOnce(answers)
		w.checkWhole(answers)
		failed := 0
		for i := range answers {
			if answers[i].status != http.StatusOK || answers[i].err != nil {
				failed++
			}
		}
		if failed > len(answers)/100 {
			t.Errorf("%d of %d requests failed", failed, len(answers))
		}
		late := 0
		for i, at := range silences {
			for _, arrival := range w.endpoints[i].Arrivals() {
				if since := arrival.At.Sub(at); since > noticed && since < silence {
					late++
				}
			}
		}
		if late > 2*len(silences) {
			t.Errorf("%d requests were sent to endpoints that had been silent for %v", late, noticed)
		}
		if dead := w.log.count(`"Event":209`); dead > 0 {
			t.Errorf("%d times an endpoint was taken for dead", dead)
		}
		t.Logf("%d of %d failed, %d sent to silent endpoints", failed, len(answers), late)
	})
}
