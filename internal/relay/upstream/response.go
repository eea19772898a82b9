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

// maxRetryAfter bounds the wait that an endpoint may ask for.
const maxRetryAfter = time.Hour

// Result is how a call ended for one of its messages.
type Result struct {
	Outcome policy.Outcome
	// RetryAfter is how long the endpoint wants to be left alone; 0 where it says nothing.
	RetryAfter time.Duration
	// Completed says that the message needs no further attempt.
	Completed bool
	// AttemptsExhausted says that the endpoint accepts no further attempt of the message.
	AttemptsExhausted bool
	// LoadReport is the endpoint's, or nil.
	LoadReport *policy.LoadReport
}

// messageStatus is what a response says of one message of several.
type messageStatus struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// The states of messages in a response.
const (
	stateDelivered         = "delivered"
	stateRejected          = "refused"
	stateCompleted         = "over"
	stateAttemptsExhausted = "spent"
)

// interruptedOutcome is the outcome of a call whose last byte was written and whose response did not come completely.
func interruptedOutcome(ctx context.Context) policy.Outcome {
	switch err := ctx.Err(); {
	case err == nil:
		return policy.Reset
	case errors.Is(err, context.DeadlineExceeded):
		return policy.TimedOut
	}
	return policy.Canceled
}

// resultForAll gives every message of a call the same result.
func (c Call) resultForAll(result Result) []Result {
	return slices.Repeat([]Result{result}, len(c.Messages))
}

// resultOfResponse is the result that the head of a response gives all messages of a call.
func (c Call) resultOfResponse(resp *http.Response) Result {
	result := classifyResponse(resp)
	if len(c.Messages) > 1 && (resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusRequestEntityTooLarge) {
		result.Outcome = policy.NotSent // a batch that the endpoint could not read was not executed
	}
	return result
}

// parseResults reads the messages' results from the body of a response. A message that it does not name, or names with an
// unknown state, may have been executed.
func (c Call) parseResults(resp *http.Response, body []byte) []Result {
	failed := classifyResponse(resp)
	failed.Outcome, failed.Completed = policy.Failed, false
	results := c.resultForAll(failed)
	var statuses []messageStatus
	if err := json.Unmarshal(body, &statuses); err != nil {
		slog.Warn("unreadable batch response", "endpoint", c.Addr, "messages", len(c.Messages), "error", err)
		return results
	}
	for _, status := range statuses {
		i := c.indexOf(status.ID)
		if i < 0 {
			continue
		}
		switch status.State {
		case stateDelivered:
			results[i].Outcome, results[i].Completed = policy.OK, true
		case stateRejected:
			results[i].Outcome = policy.Rejected
		case stateCompleted:
			results[i].Outcome, results[i].Completed = policy.NotSent, true
		case stateAttemptsExhausted:
			results[i].Outcome, results[i].AttemptsExhausted = policy.NotSent, true
		}
	}
	return results
}

// classifyResponse reads a result from the head of a response, as the protocol defines it.
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

// parseRetryAfter reads the wait that an endpoint asks for, or 0.
func parseRetryAfter(resp *http.Response) time.Duration {
	ms, err := strconv.ParseFloat(resp.Header.Get("X-Retry-In-Ms"), 64)
	if err != nil || !(ms > 0) {
		return 0
	}
	return time.Duration(min(ms, float64(maxRetryAfter.Milliseconds())) * float64(time.Millisecond))
}

// parseLoadReport reads a load report such as "x0=0.4,x1=25", or returns nil.
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
