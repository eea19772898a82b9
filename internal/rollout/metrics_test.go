package rollout

import "testing"

// The counters of requests and the number of pending messages are parsed; a reply without counters is an error.
func TestParseCounters(t *testing.T) {
	metrics, err := ParseCounters("relay_downstream_requests{lane=\"a\",result=\"completed\"} 7\n" +
		"relay_downstream_requests{lane=\"a\",result=\"failed\"} 2\nrelay_pending 3\nEND\n")
	if err != nil || metrics.Outcomes["a"] != [outcomeCount]int64{7, 0, 2} || metrics.Pending != 3 {
		t.Errorf("%+v, %v", metrics, err)
	}
	if _, err := ParseCounters("ERR unknown call\n"); err == nil {
		t.Error("an error is parsed as counters")
	}
}
