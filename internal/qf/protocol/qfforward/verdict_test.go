package qfforward

import (
	"fmt"
	"testing"

	"quetzalfront/internal/qf"
)

// TestJudgeAnswer goes through each status, with and without the signature and the statement that the request didn't run,
// and fails if an answer that isn't proven to be the endpoint's own reaches a caller as a success, if a status promises
// more than the endpoint has stated, or if a stream is continued by anything but a signed stream.
func TestJudgeAnswer(t *testing.T) {
	for status := 0; status <= 999; status++ {
		for i := range 8 {
			answer := &qf.EndpointResponse{Status: status}
			answer.Traits.Signed, answer.Traits.NotRun = i&1 != 0, i&2 != 0
			isResumed := i&4 != 0
			name := fmt.Sprintf("status %d, signed %t, not run %t, resumed %t", status, answer.Traits.Signed, answer.Traits.NotRun, isResumed)
			checkVerdict(t, name, answer, isResumed, judgeAnswer(answer, isResumed))
			peers := judgePeerAnswer(answer, isResumed)
			checkVerdict(t, name+", by a peer", answer, isResumed, peers)
			if peers.end == qf.AttemptNotRun {
				t.Errorf("%s: a peer's answer proves that the request didn't run", name)
			}
		}
	}
}

func checkVerdict(t *testing.T, name string, answer *qf.EndpointResponse, isResumed bool, v verdict) {
	t.Helper()
	isStated := answer.Status == 421 || answer.Traits.NotRun && answer.Status >= 400
	isDelivered := v.end == qf.AttemptAnswered || v.end == qf.AttemptFailed && v.flaw == nil
	switch {
	case v.end == qf.AttemptNotRun && !isStated:
		t.Errorf("%s: taken for a request that didn't run", name)
	case v.end == qf.AttemptNotRun:
	case isDelivered && answer.Status < 500 && !answer.Traits.Signed:
		t.Errorf("%s: passed on without a signature", name)
	case isDelivered && impliesNotRun(answer.Status):
		t.Errorf("%s: promises that the request didn't run", name)
	case isDelivered && isResumed && (answer.Status != 200 || !answer.Traits.Signed):
		t.Errorf("%s: continues a stream", name)
	case isDelivered && (answer.Status < 200 || answer.Status > 599):
		t.Errorf("%s: passed on", name)
	case !isDelivered && v.flaw == nil:
		t.Errorf("%s: withheld without a reason", name)
	case !isDelivered && answer.Traits.Signed && !answer.Traits.NotRun && !isResumed && answer.Status >= 200 && answer.Status < 600 && !impliesNotRun(answer.Status):
		t.Errorf("%s: the endpoint's own answer is withheld: %v", name, v.flaw)
	}
}
