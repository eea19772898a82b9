package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"milletsail/policy"
)

// maxRetryAfter bounds the wait that an endpoint can ask for.
const maxRetryAfter = time.Hour

// Result is the result of a call for one of its messages.
type Result struct {
	// Outcome is how the attempt to deliver the message ended.
	Outcome policy.Outcome
	// RetryAfter is the wait that the endpoint asked for before further calls; 0 if it asked for none.
	RetryAfter time.Duration
	// Completed reports that the message needs no further attempt, since it was delivered by this call or no longer has to be.
	Completed bool
	// AttemptsExhausted reports that the endpoint accepts no further attempt for the message.
	AttemptsExhausted bool
	// LoadReport is the destination's load as reported in the Server-Load header of the response, or nil.
	LoadReport *policy.LoadReport
}

// messageStatus is the status of one message in the response to a batch.
type messageStatus struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// The states of a message in the response to a batch.
const (
	stateDelivered         = "delivered"
	stateRejected          = "refused"
	stateCompleted         = "over"
	stateAttemptsExhausted = "spent"
)

// stateContradictory stands for the state of a message that a response names with different states.
const stateContradictory = "contradictory"

// interruptedOutcome returns the outcome of a call with the context ctx whose request was written completely but whose response
// was not read completely.
func interruptedOutcome(ctx context.Context) policy.Outcome {
	switch err := ctx.Err(); {
	case err == nil:
		return policy.Reset
	case errors.Is(err, context.DeadlineExceeded):
		return policy.TimedOut
	}
	return policy.Canceled
}

// uncertainResult returns the result of a call that may have been executed although its response has a readable header. The
// response's RetryAfter and LoadReport still apply.
func uncertainResult(resp *http.Response, outcome policy.Outcome) Result {
	result := classifyResponse(resp)
	result.Outcome, result.Completed, result.AttemptsExhausted = outcome, false, false
	return result
}

// resultForAll returns the same result for every message of the call.
func (c Call) resultForAll(result Result) []Result {
	return slices.Repeat([]Result{result}, len(c.Messages))
}

// resultOfResponse returns the result that the status and header of a response define for every message of the call.
func (c Call) resultOfResponse(resp *http.Response) Result {
	result := classifyResponse(resp)
	if len(c.Messages) > 1 && (resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusRequestEntityTooLarge) {
		result.Outcome = policy.NotSent // the endpoint rejects a batch as a whole before executing any message
	}
	return result
}

// parseResults returns the results of the messages of a batch from the body of its response. A message that is missing from the
// body, or has an unknown state or different states in it, may have been executed; its outcome is Failed.
func (c Call) parseResults(resp *http.Response, body []byte) []Result {
	failed := uncertainResult(resp, policy.Failed)
	results := c.resultForAll(failed)
	var statuses []messageStatus
	if err := json.Unmarshal(body, &statuses); err != nil {
		slog.Warn("unreadable batch response", "endpoint", c.Addr, "messages", len(c.Messages), "error", err)
		return results
	}
	states := map[int]string{} // by the index of the message
	for _, status := range statuses {
		i := c.indexOf(status.ID)
		if i < 0 {
			continue
		}
		if state, named := states[i]; named && state != status.State {
			status.State = stateContradictory
		}
		states[i] = status.State
		results[i] = failed.withState(status.State)
	}
	return results
}

// withState returns the result of a message with a state in the response to a batch. r is its result without one.
func (r Result) withState(state string) Result {
	switch state {
	case stateDelivered:
		r.Outcome, r.Completed = policy.OK, true
	case stateRejected:
		r.Outcome = policy.Rejected
	case stateCompleted:
		r.Outcome, r.Completed = policy.NotSent, true
	case stateAttemptsExhausted:
		r.Outcome, r.AttemptsExhausted = policy.NotSent, true
	}
	return r
}

// classifyResponse returns the result that the protocol defines for the status and header of a response.
func classifyResponse(resp *http.Response) Result {
	result := Result{Outcome: policy.Failed, RetryAfter: parseRetryAfter(resp),
		LoadReport: parseLoadReport(resp.Header.Get("Server-Load"))}
	switch resp.StatusCode {
	case http.StatusOK:
		result.Outcome, result.Completed = policy.OK, true
	case http.StatusTooManyRequests:
		result.Outcome = policy.Rejected
	case http.StatusServiceUnavailable:
		result.Outcome = policy.Rejected
		if resp.Header.Get("X-No-Slot") == "1" {
			result.Outcome = policy.NotSent
		}
	case http.StatusGatewayTimeout:
		result.Outcome, result.AttemptsExhausted = policy.NotSent, true
	case http.StatusGone:
		result.Outcome, result.Completed = policy.NotSent, true
	}
	return result
}

// parseRetryAfter returns the wait that an endpoint asks for in the X-Retry-In-Ms header, or 0 if that is missing or invalid.
func parseRetryAfter(resp *http.Response) time.Duration {
	ms, err := strconv.ParseFloat(resp.Header.Get("X-Retry-In-Ms"), 64)
	if err != nil || !(ms > 0) {
		return 0
	}
	return time.Duration(min(ms, float64(maxRetryAfter.Milliseconds())) * float64(time.Millisecond))
}

// parseLoadReport parses a Server-Load header such as "x0=0.4,x1=25", where x0 is the share of the destination's call rate
// that is left and x1 its limit in calls per second. It returns nil if either is missing or invalid.
func parseLoadReport(text string) *policy.LoadReport {
	report, remaining, limit := &policy.LoadReport{}, false, false
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0) {
			continue
		}
		switch name {
		case "x0":
			report.Remaining, remaining = v, true
		case "x1":
			report.Limit, limit = v, true
		}
	}
	if !remaining || !limit {
		return nil
	}
	return report
}
