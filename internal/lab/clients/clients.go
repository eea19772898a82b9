package clients

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/lab/history"
	"milletsail/internal/lab/platform"
	"milletsail/internal/lab/scenario"
)

const (
	// lateThreshold is the delay beyond which an arrival counts as late: the protocol's tolerance on sockets.
	lateThreshold = 50 * time.Millisecond
	// maxHandIns bounds the hand-ins of one message, including the first.
	maxHandIns = 12
	// failoverDelay is about how long a client whose relay died waits before it tries another relay.
	failoverDelay = 300 * time.Millisecond
	// defaultRetryDelay is the wait before a retry when the relay named none. A client whose message would have less
	// than minTimeLeft after the wait does not retry.
	defaultRetryDelay, minTimeLeft = 500 * time.Millisecond, 100 * time.Millisecond
	// maxIdleTime is how long a client keeps an idle connection.
	maxIdleTime = 5 * time.Second
)

// Clients simulates the clients of one run.
type Clients struct {
	s         *scenario.Scenario
	h         *history.Writer
	p         *platform.Platform
	subnet    *platform.Subnet
	ctx       context.Context
	startTime time.Time
	work      sync.WaitGroup

	events, late atomic.Int64

	mu         sync.Mutex
	unfinished map[int]*message    // messages without an outcome, by Msg
	accepted   map[string]*message // hand-ins without an answer or accepted by a relay, by request id
	idle       [][]*conn           // idle connections by relay
	faults     clientFaults
}

// clientFaults are the client faults in force: the share of clients that leave before their answer, and the share
// that send a request twice.
type clientFaults struct{ leave, repeat float64 }

// message is one message with the state of all its hand-ins.
type message struct {
	Arrival
	deadline time.Time
	body     []byte
	handIns  int
	relay    int    // relay of the latest hand-in
	id       string // request id of the latest hand-in
}

// conn is a connection to a relay, which may be kept for later requests.
type conn struct {
	net.Conn
	in    *bufio.Reader
	since time.Time
}

// New prepares the clients of a run. All they do ends with ctx.
func New(ctx context.Context, s *scenario.Scenario, h *history.Writer, p *platform.Platform, subnet *platform.Subnet) *Clients {
	c := &Clients{s: s, h: h, p: p, subnet: subnet, ctx: ctx, unfinished: map[int]*message{}, accepted: map[string]*message{},
		idle: make([][]*conn, s.Fleet.Relays)}
	p.OnNotification, p.OnDelivery = c.notified, c.delivered
	return c
}

// Run hands in the arrivals of a plan, timed from now. It returns when each message has its outcome or is a second
// past its deadline.
func (c *Clients) Run(plan []Arrival) {
	c.startTime = time.Now()
	for _, a := range plan {
		c.waitUntil(c.startTime.Add(a.At), true)
		if c.ctx.Err() != nil {
			break
		}
		rng := c.s.Draws(fmt.Sprintf("body %d", a.Msg))
		m := &message{Arrival: a, deadline: time.Now().Add(a.Class.Deadline.AsDuration()), body: make([]byte, c.s.Load.BodyBytes)}
		for i := range m.body {
			m.body[i] = byte(rng.Uint32())
		}
		c.mu.Lock()
		c.unfinished[m.Msg] = m
		c.mu.Unlock()
		c.work.Go(func() { c.handIn(m, m.Home, "") })
	}
	c.work.Wait()
	for c.ctx.Err() == nil && c.awaitsOutcome() {
		clock.Sleep(c.ctx, 20*time.Millisecond)
	}
}

// awaitsOutcome reports whether a message without an outcome is less than a second past its deadline.
func (c *Clients) awaitsOutcome() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.unfinished {
		if time.Since(m.deadline) < time.Second {
			return true
		}
	}
	return false
}

// TimingCounts returns the number of arrivals that the lab had to time, and how many of them were late.
func (c *Clients) TimingCounts() (events, late int) { return int(c.events.Load()), int(c.late.Load()) }

// waitUntil waits until a time and, if counts is set, counts the event and records it if the lab was late.
func (c *Clients) waitUntil(moment time.Time, counts bool) {
	clock.Sleep(c.ctx, time.Until(moment))
	by := time.Since(moment)
	if !counts || c.ctx.Err() != nil {
		return
	}
	c.events.Add(1)
	if by > lateThreshold {
		c.late.Add(1)
		c.h.Add(history.Event{Kind: history.Late, Lateness: history.ToMicros(by)})
	}
}

// SetClientFaults sets the share of the clients that leave before their answer, and the share that send a request twice
// with the same id.
func (c *Clients) SetClientFaults(leave, repeat float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = clientFaults{leave, repeat}
}

// finish removes a message that needs nothing more from its client.
func (c *Clients) finish(m *message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unfinished, m.Msg)
	delete(c.accepted, m.id)
}

// delivered handles the delivery of a message.
func (c *Clients) delivered(d platform.Message, _ history.Micros) {
	c.mu.Lock()
	m := c.accepted[d.ID]
	c.mu.Unlock()
	if m != nil {
		c.finish(m)
	}
}

// notified handles a notification: the client of a deferred message retries at another relay, any other outcome is
// final.
func (c *Clients) notified(d platform.Message, status string, after time.Duration) {
	c.mu.Lock()
	m := c.accepted[d.ID]
	delete(c.accepted, d.ID)
	c.mu.Unlock()
	switch {
	case m == nil:
	case status == "deferred":
		c.scheduleRetry(m, c.otherRelay(m, m.relay), after, "1", true)
	default:
		c.finish(m)
	}
}

// scheduleRetry hands a message in again after a wait, unless it has too many hand-ins or too little time left, or
// the client gives up, which it may only if mayGiveUp is set.
func (c *Clients) scheduleRetry(m *message, relay int, after time.Duration, mark string, mayGiveUp bool) {
	if after <= 0 {
		after = defaultRetryDelay
	}
	after = min(after, c.s.Rules.MaxRetryAfter.AsDuration())
	givesUp := mayGiveUp && c.s.Draw(fmt.Sprintf("returns %d %d", m.Msg, m.handIns)) >= c.s.Load.ReturnShare
	if givesUp || m.handIns >= maxHandIns || time.Until(m.deadline) < after+minTimeLeft {
		c.finish(m)
		return
	}
	c.work.Go(func() {
		clock.Sleep(c.ctx, after)
		if c.ctx.Err() == nil {
			c.handIn(m, relay, mark)
		}
	})
}

// otherRelay draws a relay other than current, if there is one.
func (c *Clients) otherRelay(m *message, current int) int {
	n := c.s.Fleet.Relays
	if n == 1 {
		return current
	}
	r := int(c.s.Draw(fmt.Sprintf("elsewhere %d %d", m.Msg, m.handIns)) * float64(n-1))
	if r >= current {
		r++
	}
	return min(r, n-1)
}

// RelayLost hands in at other relays the messages that a relay had accepted, after its machine was lost with its
// state. Messages that may have run and must not be repeated stay lost.
func (c *Clients) RelayLost(relay int) {
	c.mu.Lock()
	var all []*message
	for id, m := range c.accepted {
		if m.relay == relay {
			delete(c.accepted, id)
			all = append(all, m)
		}
	}
	c.mu.Unlock()
	for _, m := range all {
		_, ran := c.p.DeliveryState(m.id)
		c.p.Withdraw(m.id)
		if ran && m.Class.Effect != "retryable" {
			c.finish(m)
			continue
		}
		c.scheduleRetry(m, c.otherRelay(m, relay), failoverDelay, "again", false)
	}
}

// reply is a relay's answer to a client.
type reply struct {
	status int
	after  time.Duration
}

// errClosed reports a connection that ended without an answer.
var errClosed = errors.New("connection closed before the answer")

// handIn hands a message in at a relay and reacts to the answer as a client does. mark is the value of the
// Client-Retry header, empty for the first hand-in.
func (c *Clients) handIn(m *message, relay int, mark string) {
	c.mu.Lock()
	m.handIns++
	leave, repeat := c.faults.leave, c.faults.repeat
	c.mu.Unlock()
	draw := func(what string) float64 { return c.s.Draw(fmt.Sprintf("%s %d %d", what, m.Msg, m.handIns)) }
	id := fmt.Sprintf("%016x", c.s.Draws(fmt.Sprintf("id %d %d", m.Msg, m.handIns)).Uint64())
	left := time.Until(m.deadline)
	c.p.Register(platform.Message{ID: id, Msg: m.Msg, Class: m.Class.Name, Dest: m.Dest, Key: m.Key, Body: m.body, Deadline: m.deadline})
	c.mu.Lock()
	m.id, m.relay = id, relay
	c.accepted[id] = m
	c.mu.Unlock()
	patience := c.s.Rules.ClientTimeout.AsDuration()
	early := leave > 0 && draw("leaves") < leave
	if early {
		patience = time.Duration(draw("leaves after") * float64(patience) / 2)
	}
	c.h.Add(history.Event{Kind: history.HandIn, ID: id, Message: m.Msg, Relay: history.IntPtr(relay), Class: m.Class.Name,
		Dest: history.IntPtr(m.Dest), Key: m.Key, TimeLeft: history.ToMicros(left)})
	ctx, cancel := context.WithTimeout(c.ctx, patience)
	defer cancel()
	request := encode(m, id, left, mark)
	if repeat > 0 && draw("repeats") < repeat {
		c.sendAborted(ctx, relay, request)
	}
	r, err := c.exchange(ctx, relay, request)
	if c.ctx.Err() != nil {
		return
	}
	if err == nil {
		c.h.Add(history.Event{Kind: history.Answer, ID: id, Status: strconv.Itoa(r.status), RetryAfter: history.ToMicros(r.after)})
	}
	taken := err == nil && (r.status == http.StatusAccepted || r.status == http.StatusOK)
	if taken {
		return // the relay has accepted the message and reports its outcome
	}
	c.mu.Lock()
	delete(c.accepted, id)
	c.mu.Unlock()
	c.p.Withdraw(id)
	switch {
	case err == nil && (r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable):
		c.scheduleRetry(m, relay, r.after, "1", true)
	case err == nil:
		c.finish(m)
	default:
		what := "dead"
		if ctx.Err() != nil {
			what = "patience"
		} else if errors.Is(err, errClosed) {
			what = "closed"
		}
		if early {
			what = "early"
		}
		c.h.Add(history.Event{Kind: history.Left, ID: id, Detail: what})
		after := time.Duration((0.5 + draw("after")) * float64(failoverDelay))
		// A client whose relay failed or was slow goes to another relay.
		c.scheduleRetry(m, c.otherRelay(m, relay), after, "again", early)
	}
}

// encode formats a request of the protocol.
func encode(m *message, id string, left time.Duration, mark string) []byte {
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Timeout: %.3f\r\nContent-Length: %d\r\nX-Envelope: dest=%d\r\n",
		m.Class.Name, id, math.Max(left.Seconds(), 0.001), len(m.body), m.Dest)
	if m.Key != "" {
		head += "Idempotency-Key: " + m.Key + "\r\n"
	}
	if mark != "" {
		head += "Client-Retry: " + mark + "\r\n"
	}
	return append([]byte(head+"\r\n"), m.body...)
}

// sendAborted sends a request and closes the connection at once, as if the client's network had failed; the same
// request follows on another connection.
func (c *Clients) sendAborted(ctx context.Context, relay int, request []byte) {
	if k, err := c.dial(ctx, relay); err == nil {
		_, _ = k.Write(request)
		_ = k.Close()
	}
}

// exchange sends a request and returns its answer. If a kept connection ends before the answer, the relay may have
// closed it as the request was sent: the request is then sent once more on a new connection.
func (c *Clients) exchange(ctx context.Context, relay int, request []byte) (reply, error) {
	if k := c.takeIdle(relay); k != nil {
		r, err := c.send(ctx, k, relay, request)
		if err == nil || !errors.Is(err, errClosed) {
			return r, err
		}
	}
	k, err := c.dial(ctx, relay)
	if err != nil {
		return reply{}, err
	}
	return c.send(ctx, k, relay, request)
}

func (c *Clients) dial(ctx context.Context, relay int) (*conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", c.subnet.Clients(relay))
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, in: bufio.NewReader(raw)}, nil
}

// takeIdle returns an idle connection to a relay, or nil.
func (c *Clients) takeIdle(relay int) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for list := c.idle[relay]; len(list) > 0; list = c.idle[relay] {
		k := list[len(list)-1]
		c.idle[relay] = list[:len(list)-1]
		if time.Since(k.since) < maxIdleTime {
			return k
		}
		_ = k.Close()
	}
	return nil
}

// send sends a request on a connection, reads the answer, and keeps the connection for later requests if it may.
func (c *Clients) send(ctx context.Context, k *conn, relay int, request []byte) (reply, error) {
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	ended := func(err error) error {
		stop()
		_ = k.Close()
		if ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		return errors.Join(errClosed, err)
	}
	if _, err := k.Write(request); err != nil {
		return reply{}, ended(err)
	}
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return reply{}, ended(err)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	r := reply{resp.StatusCode, time.Duration(after * float64(time.Second))}
	if !stop() || err != nil || resp.Close {
		_ = k.Close()
		return r, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k.since = time.Now()
	c.idle[relay] = append(c.idle[relay], k)
	return r, nil
}

// Close closes the idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for r := range c.idle {
		for _, k := range c.idle[r] {
			_ = k.Close()
		}
		c.idle[r] = nil
	}
}
