package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// The paths of an endpoint.
const (
	// singlePath takes one message.
	singlePath = "/inbox"
	// batchPath takes several.
	batchPath = "/inbox/bulk"
)

// userAgent names the relay to endpoints.
const userAgent = "milletsail"

// Call is one request to an endpoint, with one message or with several.
type Call struct {
	// Addr is the address of the endpoint.
	Addr string
	// Messages has at least one.
	Messages []Message
	// Timeout bounds the whole call.
	Timeout time.Duration
	// WriteTimeout is the time within which the request has to be written, or isn't written at all; 0 for no bound.
	WriteTimeout time.Duration
	// ResponseDeadline is when the response to several messages has to be read completely to count for any of them; zero for
	// no bound. It is checked once the response is read, since a timer may fire late.
	ResponseDeadline instant.Time
}

// responseTooLate reports whether a response that has been read by now counts for nothing.
func (c Call) responseTooLate() bool {
	return !c.ResponseDeadline.IsZero() && clock.Now() >= c.ResponseDeadline
}

// Message is one message of a call. Its JSON form is that of a batch.
type Message struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
	// Claim decides whether the message is still written; nil where it always is.
	Claim *WriteClaim `json:"-"`
}

// WriteClaim decides between the writing of a message and its end while its call waits for a connection: the first to take
// the claim wins. It is safe for concurrent use.
type WriteClaim struct{ acquired atomic.Bool }

// Acquire claims the message, and reports false where it was claimed already.
func (c *WriteClaim) Acquire() bool { return c == nil || c.acquired.CompareAndSwap(false, true) }

// claimMessages returns the call with those of its messages that may be written.
func (c Call) claimMessages() Call {
	c.Messages = slices.DeleteFunc(slices.Clone(c.Messages), func(m Message) bool { return !m.Claim.Acquire() })
	return c
}

// indexOf returns the index of a message, or -1.
func (c Call) indexOf(id string) int {
	return slices.IndexFunc(c.Messages, func(m Message) bool { return m.ID == id })
}

// encode returns the request as it goes on the wire.
func (c Call) encode(ctx context.Context, timeLeft time.Duration) ([]byte, error) {
	path, body := singlePath, c.Messages[0].Body
	if len(c.Messages) > 1 {
		var err error
		if body, err = json.Marshal(c.Messages); err != nil {
			return nil, err
		}
		path = batchPath
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("User-Agent", userAgent)
	if len(c.Messages) == 1 {
		req.Header.Set("Request-Id", c.Messages[0].ID)
		if key := c.Messages[0].Key; key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
	}
	req.Header.Set("Request-Timeout", strconv.FormatFloat(max(timeLeft, time.Millisecond).Seconds(), 'f', 3, 64))
	var out bytes.Buffer
	err = req.Write(&out)
	return out.Bytes(), err
}
