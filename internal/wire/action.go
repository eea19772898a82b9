package wire

import (
	"bytes"
	"encoding/json"

	"milletsail/policy"
)

// writeAction writes one action of an instance to the reply. Actions without a counterpart in the simulator's protocol are dropped.
func writeAction(reply *bytes.Buffer, id int64, action policy.Action) {
	switch action := action.(type) {
	case policy.Send:
		writeLine(reply, "relay", id, action.ID, action.Endpoint, action.Timeout.Seconds())
	case policy.Reject:
		writeLine(reply, "refuse", id, action.ID, action.RetryAfter.Seconds())
	case policy.Fail:
		writeLine(reply, "report_failure", id, action.ID)
	case policy.Cancel:
		writeLine(reply, "abort_attempt", id, action.ID, action.Attempt)
	case policy.CloseIdleConnections:
		writeLine(reply, "shut_idle", id, action.Endpoint)
	case policy.Broadcast:
		writeLine(reply, "announce", id, "*", action.Message)
	case policy.SetTimer:
		writeLine(reply, "remind", id, action.After.Seconds(), 0)
	case policy.Subscribe:
		writeLine(reply, "subscribe", id, true)
	}
}

// writeLine writes one line of a reply: the values as a JSON array.
func writeLine(reply *bytes.Buffer, values ...any) {
	line, err := json.Marshal(values)
	if err != nil {
		panic(err) // unreachable: only infinite or NaN numbers can't be encoded, and durations are finite
	}
	reply.Write(line)
	reply.WriteByte('\n')
}
