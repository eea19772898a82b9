package rollout

import "testing"

// Guards against a canary analysis on wrong counts: counters of requests and the number of pending messages are parsed, and an
// error reply of the admin endpoint is not taken for zero counts.
func TestParseCounters(t *testing.T) {
	metrics, err := ParseCounters("relay_downstream_requests{lane=\"a\",result=\"completed\"} 7\n" +
		"relay_downstream_requests{lane=\"a\",result=\"failed\"} 2\nrelay_pending 3\nEND\n")
	if err != nil || metrics.Outcomes["a"] != [outcomeCount]int64{7, 0, 2} || metrics.Pending != 3 {
		t.Errorf("got metrics %+v, error %v; want 7 completed, 0 rejected, 2 failed and 3 pending", metrics, err)
	}
	if _, err := ParseCounters("ERR unknown call\n"); err == nil {
		t.Error("an error reply was parsed as counters, want an error")
	}
}
