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
	// lateAfter is when an arrival that the lab is late with counts: the protocol's slack on sockets.
	lateThreshold = 50 * time.Millisecond
	// mostHandIns of one message, its first one included.
	maxHandIns = 12
	// frontNotices is about how long a client whose relay died waits before it comes to another one.
	failoverDelay = 300 * time.Millisecond
	// againAfter is when a client comes again that was told no time, leastLeft the time below which none does.
	defaultRetryDelay, minTimeLeft = 500 * time.Millisecond, 100 * time.Millisecond
	// keepOpen is how long a client keeps an idle connection.
	maxIdleTime = 5 * time.Second
)

// Clients hands the messages of one run in.
type Clients struct {
	s      *scenario.Scenario
	h      *history.Writer
	p      *platform.Platform
	subnet *platform.Subnet
	ctx    context.Context
	begun  time.Time
	work   sync.WaitGroup

	events, late atomic.Int64

	mu         sync.Mutex
	unfinished map[int]*message // without an end, by Msg
	accepted   map[string]*message
	idle       [][]*conn // by relay
	faults     clientFaults
}

// stretchy is what client faults change while they last.
type clientFaults struct{ leave, repeat float64 }

// message is one message over all its hand-ins.
type message struct {
	Arrival
	deadline time.Time
	body     []byte
	handIns  int
	relay    int    // that has it, while id is set
	id       string // of the hand-in that a relay took on
}

// conn is a kept connection to a relay.
type conn struct {
	net.Conn
	in    *bufio.Reader
	since time.Time
}

// New prepares the clients of a run that begins at a moment. They end with ctx.
func New(ctx context.Context, s *scenario.Scenario, h *history.Writer, p *platform.Platform, subnet *platform.Subnet) *Clients {
	c := &Clients{s: s, h: h, p: p, subnet: subnet, ctx: ctx, unfinished: map[int]*message{}, accepted: map[string]*message{},
		idle: make([][]*conn, s.Fleet.Relays)}
	p.OnNotification, p.OnDelivery = c.notified, c.delivered
	return c
}

// Run hands in a plan, the first moment of which is now, and returns once every message has its end or its time is
// long up.
func (c *Clients) Run(plan []Arrival) {
	c.begun = time.Now()
	for _, a := range plan {
		c.waitUntil(c.begun.Add(a.At), true)
		if c.ctx.Err() != nil {
			break
		}
		rng := c.s.Draws(fmt.Sprintf("body %d", a.Msg))
		m := &message{Arrival: a, deadline: time.Now().Add(a.Class.Deadline.AsDuration()), body: make([]byte, c.s.Load.Bytes)}
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

// waiting tells whether a message may still get its end, some time after its deadline included.
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

// Timed is how many events the lab had to do at a time of its own, and how many of them came late.
func (c *Clients) TimingCounts() (events, late int) { return int(c.events.Load()), int(c.late.Load()) }

// at waits for a moment, and counts whether the lab was late for it.
func (c *Clients) waitUntil(moment time.Time, counts bool) {
	clock.Sleep(c.ctx, time.Until(moment))
	by := time.Since(moment)
	if !counts || c.ctx.Err() != nil {
		return
	}
	c.events.Add(1)
	if by > lateThreshold {
		c.late.Add(1)
		c.h.Add(history.Event{Kind: history.Late, By: history.M(by)})
	}
}

// Change sets the share of the clients that leave early, and of those that send a message twice under one id.
func (c *Clients) SetClientFaults(leave, repeat float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = clientFaults{leave, repeat}
}

// done takes a message off the live ones, and tells whether it was one.
func (c *Clients) finish(m *message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unfinished, m.Msg)
	delete(c.accepted, m.id)
}

func (c *Clients) delivered(d platform.Message, _ history.Micros) {
	c.mu.Lock()
	m := c.accepted[d.ID]
	c.mu.Unlock()
	if m != nil {
		c.finish(m)
	}
}

// noticed has the client of a message that was handed back come again.
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

// later has a client come again after a wait, if it is one that does and there is time left.
func (c *Clients) scheduleRetry(m *message, relay int, after time.Duration, mark string, mayGiveUp bool) {
	if after <= 0 {
		after = defaultRetryDelay
	}
	after = min(after, c.s.Rules.MaxRetryAfter.AsDuration())
	givesUp := mayGiveUp && c.s.Draw(fmt.Sprintf("returns %d %d", m.Msg, m.handIns)) >= c.s.Load.Returns
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

// elsewhere draws another relay for a client, where there is one.
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

// HandOver hands what a relay held to others: its machine is lost with its folder. What may have run and may not be
// repeated stays lost.
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

// reply is what a client got.
type reply struct {
	status int
	after  time.Duration
}

// errClosed says that a connection ended without an answer.
var errClosed = errors.New("closed without an answer")

// handIn hands a message in at a relay and does with the answer what a client does.
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
	patience := c.s.Rules.Patience.AsDuration()
	early := leave > 0 && draw("leaves") < leave
	if early {
		patience = time.Duration(draw("leaves after") * float64(patience) / 2)
	}
	c.h.Add(history.Event{Kind: history.HandIn, ID: id, Msg: m.Msg, Relay: history.N(relay), Class: m.Class.Name,
		Dest: history.N(m.Dest), Key: m.Key, Left: history.M(left)})
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
		c.h.Add(history.Event{Kind: history.Answer, ID: id, Status: strconv.Itoa(r.status), After: history.M(r.after)})
	}
	taken := err == nil && (r.status == http.StatusAccepted || r.status == http.StatusOK)
	if taken {
		return // the relay owes it its end
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
		c.h.Add(history.Event{Kind: history.Left, ID: id, What: what})
		after := time.Duration((0.5 + draw("after")) * float64(failoverDelay))
		// A client whose relay is gone goes to another; the same one is as good as any where it only was slow.
		c.scheduleRetry(m, c.otherRelay(m, relay), after, "again", early)
	}
}

// encode writes a request in the protocol's form.
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

// tease sends a request and closes the connection at once, as one does whose network breaks; the request comes again.
func (c *Clients) sendAborted(ctx context.Context, relay int, request []byte) {
	if k, err := c.dial(ctx, relay); err == nil {
		_, _ = k.Write(request)
		_ = k.Close()
	}
}

// exchange sends a request and gives its answer. Where a kept connection ends before the answer, the relay's closing
// may have crossed the request: it is sent once more on a new connection.
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

// kept gives a connection that was kept, if there is one.
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

// Close closes the kept connections.
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
