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

// The URL paths of calls to an endpoint.
const (
	// singlePath is the path of calls with one message.
	singlePath = "/inbox"
	// batchPath is the path of calls with several messages.
	batchPath = "/inbox/bulk"
)

const (
	// callOverhead is the memory in bytes that a call takes up beside its messages: its goroutines' stacks, the connection's buffer
	// and a short response.
	callOverhead = 12 << 10
	// batchCost is the memory of a batch as a multiple of its messages: they are encoded as JSON, and that again as a request.
	batchCost = 3
	// requestHeadSize is more than the size in bytes of a request's head, unless the id or the key is very long.
	requestHeadSize = 1 << 10
)

// userAgent is the User-Agent header of all calls.
const userAgent = "milletsail"

// Call is one HTTP request to an endpoint, with one or more messages.
type Call struct {
	// Addr is the address of the endpoint, as host:port.
	Addr string
	// Messages holds at least one message. Two or more are sent as a batch.
	Messages []Message
	// Timeout bounds the whole call, from connecting to reading the response.
	Timeout time.Duration
	// WriteTimeout bounds the time to connect and to write the request. If a connection is not ready within it, the request is
	// not written at all. 0 sets no bound beyond Timeout.
	WriteTimeout time.Duration
	// ResponseDeadline is the time by which the response to a batch has to be read completely; a later response counts as a
	// time-out for every message. Zero sets no bound beyond Timeout. It is checked after the response is read, since the timer
	// that ends the call may fire late.
	ResponseDeadline instant.Time
}

// responseTooLate reports whether the response deadline has passed, so that a response read by now does not count.
func (c Call) responseTooLate() bool {
	return !c.ResponseDeadline.IsZero() && clock.Now() >= c.ResponseDeadline
}

// Message is one message of a call. Its JSON encoding is an element of the body of a batch.
type Message struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
	// Claim has to be acquired before the message is written; nil if the message is written in any case.
	Claim *WriteClaim `json:"-"`
}

// WriteClaim ensures that a message either is written to an endpoint or ends before that, while its call waits for a connection:
// only the side that acquires the claim first may proceed. It is safe for concurrent use.
type WriteClaim struct{ acquired atomic.Bool }

// Acquire acquires the claim and reports true, or reports false if it was acquired before. On a nil claim it always reports true.
func (c *WriteClaim) Acquire() bool { return c == nil || c.acquired.CompareAndSwap(false, true) }

// claimMessages acquires the claims of the messages, and returns the call with only those messages whose claim it acquired.
func (c Call) claimMessages() Call {
	c.Messages = slices.DeleteFunc(slices.Clone(c.Messages), func(m Message) bool { return !m.Claim.Acquire() })
	return c
}

// indexOf returns the index of the message with an id, or -1.
func (c Call) indexOf(id string) int {
	return slices.IndexFunc(c.Messages, func(m Message) bool { return m.ID == id })
}

// memorySize returns the most memory in bytes that the call takes up, apart from its messages and from the body of a long response.
func (c Call) memorySize() int64 {
	size := callOverhead
	for _, m := range c.Messages {
		size += len(m.ID) + len(m.Key) + len(m.Body)
	}
	if len(c.Messages) > 1 {
		size *= batchCost
	}
	return int64(size)
}

// encode returns the HTTP request in wire format. timeLeft is sent in the Request-Timeout header, as at least 1 ms.
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
	out.Grow(requestHeadSize + len(body)) // so that it does not grow by copies
	err = req.Write(&out)
	return out.Bytes(), err
}
