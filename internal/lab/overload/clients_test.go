package overload

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"milletsail/review/stand"
)

const (
	// answerTimeout is how long a client waits for the answer to a message.
	answerTimeout = 400 * time.Millisecond
	// retries is how often a client hands a rejected message in again.
	retries = 3
	// retryWait is how long it waits before that.
	retryWait = 300 * time.Millisecond
	// slowWriteTime is how long a slow client takes to write its request, in slowWritePieces.
	slowWriteTime   = 2 * time.Second
	slowWritePieces = 20
)

// result counts what became of one kind of messages.
type result struct {
	sent, accepted, rejected, unanswered int
}

func (r result) String() string {
	return fmt.Sprintf("%d sent, %d accepted, %d rejected, %d without answer", r.sent, r.accepted, r.rejected, r.unanswered)
}

// clients are proper clients of a relay, by kind.
type clients struct {
	bed     *bed
	pending sync.WaitGroup

	mu                 sync.Mutex
	small, large, slow result
}

// run hands in a message each interval for a time: mostly small ones, each tenth with the largest body, and besides a small one
// whose writing takes slowWriteTime for each fourth.
func (c *clients) run(duration, interval time.Duration) {
	for i := range int(duration / interval) {
		kind, body := &c.small, "order"
		if i%10 == 9 {
			kind, body = &c.large, strings.Repeat("b", largestBody)
		}
		c.pending.Go(func() { c.sendWithRetries(kind, fmt.Sprintf("m%d", i), body) })
		if i%4 == 0 {
			c.pending.Go(func() {
				status := 0
				withRetries(func(try int) int {
					status = c.sendSlowly(fmt.Sprintf("slow%d-%d", i, try), 1+try%destinations)
					return status
				})
				c.count(&c.slow, status)
			})
		}
		time.Sleep(interval)
	}
}

// sendWithRetries hands a message in, and after each rejection again under a new id, as clients do. A message without an answer
// is not handed in again.
func (c *clients) sendWithRetries(kind *result, id, body string) {
	status := 0
	withRetries(func(try int) int {
		status = c.bed.Clients.Send(context.Background(), stand.Message{ID: fmt.Sprintf("%s-%d", id, try), Class: keyedClass,
			Key: id, Dest: 1 + try%destinations, Timeout: messageTimeout, Body: body})
		return status
	})
	c.count(kind, status)
}

// withRetries calls send, which hands a message in and returns the status of the answer, and calls it again after each rejection.
func withRetries(send func(try int) int) {
	for try := range retries + 1 {
		if status := send(try); status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(retryWait)
	}
}

// sendSlowly hands a message in on a connection of its own, in pieces, and returns the status of the answer, or 0.
func (c *clients) sendSlowly(id string, destination int) int {
	conn, err := net.DialTimeout("tcp", c.bed.Relay.Listen, answerTimeout)
	if err != nil {
		return 0
	}
	defer conn.Close()
	body := strings.Repeat("s", 200)
	head := strings.Replace(requestHead(keyedClass, id, len(body)), "dest=1", fmt.Sprintf("dest=%d", destination), 1)
	request := head + "\r\n" + body
	size := (len(request) + slowWritePieces - 1) / slowWritePieces
	for start := 0; start < len(request); start += size {
		time.Sleep(slowWriteTime / slowWritePieces)
		if _, err := conn.Write([]byte(request[start:min(len(request), start+size)])); err != nil {
			return 0
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// count adds the status of a message's last answer to its kind.
func (c *clients) count(kind *result, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind.add(status)
}

// add counts a message by the status of its last answer.
func (r *result) add(status int) {
	r.sent++
	switch status {
	case http.StatusOK, http.StatusAccepted:
		r.accepted++
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.rejected++
	default:
		r.unanswered++
	}
}
