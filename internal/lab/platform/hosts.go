package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/lab/history"
	"milletsail/internal/lab/scenario"
)

const (
	// maxBodyBytes is the protocol's limit on the body of a call.
	maxBodyBytes = 64 << 10
	// callReadTimeout bounds the time in which a call arrives, from its first byte.
	callReadTimeout = 10 * time.Second
	// coldBurstFactor is the number of calls beyond its budget that a cold endpoint withstands, in square roots of
	// the budget: the protocol allows for random variation without saying how much.
	coldBurstFactor = 2
	// rateBurst is the time over which a rate limit accumulates unused tokens.
	rateBurst = 250 * time.Millisecond
)

// Impairment is the effect of a fault on an endpoint. Down closes its ports, Refuse refuses each call, and Silent leaves
// calls without an answer. The following are shares of its calls or answers, from 0 to 1: Errors are answered with 500,
// Stall stops the answer after a few bytes, DropAnswers sends none, Reset resets the connection, and Corrupt sends an
// answer that is not HTTP.
type Impairment struct {
	Down, Refuse, Silent                       bool
	Wait                                       time.Duration // retry interval sent in refusals; 0 for none
	Errors, Stall, DropAnswers, Reset, Corrupt float64
	Slow                                       float64 // factor on service times; 0 for none
}

// isOutage reports whether the endpoint is down, refuses or leaves unanswered all calls, or answers at least half of them
// with 500. An endpoint that recovers from an outage is cold.
func (t Impairment) isOutage() bool { return t.Down || t.Refuse || t.Silent || t.Errors >= 0.5 }

// host simulates one endpoint.
type host struct {
	p       *Platform
	index   int
	ports   []*port   // by relay
	workers chan bool // holds an element for each busy worker

	scenario.Host
	mu          sync.Mutex
	listed      bool
	listedAt    time.Time // when it was listed; zero if it was on the list from the start
	refuseFrom  time.Time // time from which a draining endpoint refuses calls; zero if it is not draining
	impairments map[int]Impairment
	open        int         // open connections
	waiting     int         // calls that wait for a worker
	recoveredAt time.Time   // end of the latest outage; zero for none
	overloaded  bool        // too many calls while cold have made it fail for good
	recentCalls []time.Time // times of the latest calls while cold
}

func newHost(p *Platform, no int) *host {
	h := &host{p: p, index: no, Host: p.s.Hosts[no], impairments: map[int]Impairment{}}
	h.listed = h.AddedByFault == 0
	h.workers = make(chan bool, h.Destination.Workers)
	return h
}

// impairment combines the impairments in force; the lock is held.
func (h *host) impairment() (t Impairment) {
	for _, o := range h.impairments {
		t.Down, t.Refuse, t.Silent = t.Down || o.Down, t.Refuse || o.Refuse, t.Silent || o.Silent
		t.Wait, t.Slow = max(t.Wait, o.Wait), max(t.Slow, o.Slow)
		t.Errors, t.Stall, t.DropAnswers = max(t.Errors, o.Errors), max(t.Stall, o.Stall), max(t.DropAnswers, o.DropAnswers)
		t.Reset, t.Corrupt = max(t.Reset, o.Reset), max(t.Corrupt, o.Corrupt)
	}
	t.Down = t.Down || h.overloaded
	return t
}

// Impair applies the effect of a fault, given by its number, to an endpoint until EndImpairment.
func (p *Platform) Impair(fault, host int, t Impairment) { p.hosts[host].setImpairment(fault, &t) }

// EndImpairment ends the effect of a fault on an endpoint.
func (p *Platform) EndImpairment(fault, host int) { p.hosts[host].setImpairment(fault, nil) }

// setImpairment sets or, if t is nil, removes the effect of a fault, and records the start or end of an outage.
func (h *host) setImpairment(fault int, t *Impairment) {
	h.mu.Lock()
	before := h.impairment()
	if t != nil {
		h.impairments[fault] = *t
	} else {
		delete(h.impairments, fault)
	}
	after := h.impairment()
	switch {
	case after.isOutage() && !before.isOutage():
		h.p.h.Add(history.Event{Kind: history.Outage, Host: h.Name})
	case before.isOutage() && !after.isOutage():
		h.recoveredAt, h.recentCalls = time.Now(), nil
		h.p.h.Add(history.Event{Kind: history.Back, Host: h.Name, Rate: Capacity(&h.Host)})
	}
	listed := h.listed
	h.mu.Unlock()
	if listed { // the ports of other endpoints are closed
		h.updatePorts(before.Down, after.Down)
	}
}

// updatePorts opens or closes the ports of an endpoint that comes up or goes down; before and after tell whether it
// is down.
func (h *host) updatePorts(before, after bool) {
	for _, o := range h.ports {
		if after && !before {
			o.close()
		} else if before && !after {
			if err := o.open(); err != nil {
				h.p.h.Add(history.Event{Kind: history.Void, Detail: "reopening the port of an endpoint failed: " + err.Error()})
			}
		}
	}
}

// capacityShare is the share of its full capacity that an endpoint has at a time, which grows over the ramp time
// after an outage; the lock is held.
func (h *host) capacityShare(at time.Time) float64 {
	r := &h.p.s.Rules
	if h.recoveredAt.IsZero() || r.RampTime <= 0 {
		return 1
	}
	return math.Min(1, r.ColdShare+(1-r.ColdShare)*at.Sub(h.recoveredAt).Seconds()/r.RampTime.Seconds())
}

// overloadsCold counts a call at a cold endpoint and reports whether the calls exceed what the endpoint withstands;
// the lock is held.
func (h *host) overloadsCold(now time.Time) bool {
	r := &h.p.s.Rules
	if h.recoveredAt.IsZero() || now.Sub(h.recoveredAt) > r.RampTime.AsDuration() {
		return false
	}
	from := now.Add(-r.OverloadFor.AsDuration())
	h.recentCalls = append(h.recentCalls, now)
	for len(h.recentCalls) > 0 && h.recentCalls[0].Before(from) {
		h.recentCalls = h.recentCalls[1:]
	}
	budget := r.OverloadFactor * Capacity(&h.Host) * h.capacityShare(now) * r.OverloadFor.Seconds()
	return float64(len(h.recentCalls)) > budget+coldBurstFactor*math.Sqrt(budget)
}

// hostConn is a relay's connection to an endpoint.
type hostConn struct {
	net.Conn
	port   *port
	ctx    context.Context
	end    context.CancelFunc
	chunks chan chunk
	unread []byte
	sentAt time.Time // arrival time of the bytes that were read last
	// closedAt is when the relay closed the connection, in nanoseconds since 1970; 0 while it is open.
	closedAt atomic.Int64
	resetAt  atomic.Int64 // when a fault reset the connection, in nanoseconds since 1970; 0 for never
}

// call is one call received by an endpoint.
type call struct {
	number   int
	relay    int
	bulk     bool
	msgs     []*entry
	attempts []int // number of calls with each message of msgs, this one included
}

func (c *call) ids() (ids []string) {
	for _, m := range c.msgs {
		ids = append(ids, m.ID)
	}
	return ids
}

// answer is an endpoint's response to a call. Status 0 means that there is no response yet, or none at all if never is set or
// the relay closed the connection while the call waited.
type answer struct {
	status int
	wait   time.Duration
	noSlot bool
	states []string // state of each message, in the answer 200 to a bulk call
	ran    bool
	never  bool // the endpoint never answers
}

// serve handles the calls of a connection, one at a time, until it ends.
func (c *hostConn) serve() {
	h := c.port.host
	h.mu.Lock()
	h.open++
	overLimit := h.Destination.Connections > 0 && h.open > h.Destination.Connections
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.open--
		h.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	next := c.peek(in)
	tooLong := time.AfterFunc(time.Hour, func() { _ = c.Conn.Close() })
	defer tooLong.Stop()
	for {
		tooLong.Reset(h.p.s.Fleet.ConnIdle.AsDuration())
		if err := <-next; err != nil {
			return
		}
		began := c.sentAt
		tooLong.Reset(callReadTimeout)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, 2*maxBodyBytes))
		if err != nil {
			return
		}
		tooLong.Stop()
		received := c.sentAt
		next = c.peek(in)
		if !c.handle(req, body, began, received, next, overLimit) || overLimit {
			return
		}
	}
}

// peek returns a channel that receives nil when the next byte arrives, or the error that ends the connection.
func (c *hostConn) peek(in *bufio.Reader) chan error {
	next := make(chan error, 1)
	go func() {
		_, err := in.Peek(1)
		next <- err
	}()
	return next
}

// handle answers one call and reports whether the connection stays open.
func (c *hostConn) handle(req *http.Request, body []byte, began, received time.Time, next chan error, overLimit bool) bool {
	h, p := c.port.host, c.port.p
	call, a := p.receiveCall(c.port.relay, h, req, body, began, received)
	if call == nil {
		return c.write(nil, a)
	}
	var left sync.Once
	release := func() { left.Do(func() { p.releaseSlot(c.port.relay) }) }
	defer release()
	if a.status == 0 {
		a = h.admit(call, overLimit)
	}
	ctx, quit := context.WithCancel(c.ctx)
	defer quit()
	go func() {
		select {
		case err := <-next:
			next <- err
			if err != nil {
				quit()
			}
		case <-ctx.Done():
		}
	}()
	if a.status == 0 && !a.never {
		a = h.run(ctx, call)
	}
	what, part := h.answerFault(call, a)
	ended := func() bool {
		_, closed := c.closed()
		return closed || ctx.Err() != nil
	}
	switch {
	case ended():
	case what == "":
		c.port.link.waitOpen(ctx, false)
		release() // before the answer, after which the relay may use the slot again
		if !ended() && c.write(call, a) {
			return true
		}
	default:
		if part != nil {
			_, _ = c.Write(part)
		}
		p.h.Add(history.Event{Kind: history.Broken, Call: call.number, Detail: what})
		switch what {
		case "reset":
			c.reset()
			return false
		case "spoilt":
			return false
		}
		<-ctx.Done() // no more data follows until the relay closes the connection
	}
	event := history.Event{Kind: history.Gone, Call: call.number} // if the write failed, the relay has closed the connection
	if at, closed := c.closed(); closed {
		event.Time = p.h.At(at)
	} else if c.ctx.Err() != nil {
		event.Kind, event.Detail = history.Broken, "closed"
		if at := c.resetAt.Load(); at != 0 { // the call was in service until now; the reset came earlier
			event.Time = p.h.At(time.Unix(0, at))
		}
	}
	p.h.Add(event)
	return false
}

// answerFault returns the fault that replaces the answer to a call ("" for none), and the bytes to send in its place.
func (h *host) answerFault(c *call, a answer) (what string, part []byte) {
	h.mu.Lock()
	t := h.impairment()
	h.mu.Unlock()
	hits := func(what string, share float64) bool {
		return share > 0 && h.p.s.Draw(fmt.Sprintf("%s %s %d", what, c.msgs[0].ID, c.attempts[0])) < share
	}
	switch {
	case a.never:
		return "silent", nil
	case !a.ran:
		return "", nil
	case hits("lose", t.DropAnswers):
		return "lost", nil
	case hits("reset", t.Reset):
		return "reset", nil
	case hits("stall", t.Stall):
		return "stalled", []byte("HTTP/1.1 20")
	case hits("spoil", t.Corrupt):
		return "spoilt", []byte("HTTQ/7.7 two hundred\r\n\r\n\x00\x00")
	}
	return "", nil
}

// receiveCall parses a call and, unless it is malformed, gives it a number and records it. It returns a nil call and a
// 400 if the call is malformed, holds an ID twice, or holds a message that was not handed in with this destination, key
// and body. An answer with a status is final, one without means that the endpoint decides.
func (p *Platform) receiveCall(relay int, h *host, req *http.Request, body []byte, began, received time.Time) (*call, answer) {
	c := &call{relay: relay, bulk: req.URL.Path == "/inbox/bulk"}
	type item struct {
		ID   string `json:"id"`
		Key  string `json:"key"`
		Body []byte `json:"body"`
	}
	items := []item{{req.Header.Get("Request-Id"), req.Header.Get("Idempotency-Key"), body}}
	if c.bulk {
		items = nil
		if err := json.Unmarshal(body, &items); err != nil || len(items) == 0 || len(body) > maxBodyBytes {
			return nil, answer{status: http.StatusBadRequest}
		}
	}
	ids := map[string]bool{}
	event := history.Event{Time: p.h.At(received), Kind: history.Call, Relay: history.IntPtr(relay), Host: h.Name, FirstByte: p.h.At(began)}
	known := true
	p.mu.Lock()
	p.calls++
	c.number = p.calls
	for _, it := range items {
		e := p.messages[it.ID]
		event.IDs = append(event.IDs, it.ID)
		if e == nil || e.Dest != h.Dest || e.Key != it.Key || !bytes.Equal(e.Body, it.Body) || ids[it.ID] {
			known = false
			continue
		}
		ids[it.ID] = true
		e.calls++
		c.msgs, c.attempts = append(c.msgs, e), append(c.attempts, e.calls)
	}
	p.callsOut[relay]++
	out := p.callsOut[relay]
	p.mu.Unlock()
	event.Call = c.number
	p.h.Add(event)
	switch {
	case !known:
		p.h.Add(history.Event{Kind: history.Reply, Call: c.number, Status: "400", Detail: "unknown"})
		p.releaseSlot(relay)
		return nil, answer{status: http.StatusBadRequest}
	case len(items) > h.Destination.MaxBatch:
		return c, answer{status: http.StatusRequestEntityTooLarge}
	case out > p.s.Fleet.Slots:
		return c, answer{status: http.StatusServiceUnavailable, noSlot: true}
	}
	if !c.bulk {
		p.mu.Lock()
		defer p.mu.Unlock()
		switch m := c.msgs[0]; {
		case m.over && !m.delivered:
			return c, answer{status: http.StatusGone}
		case m.calls > p.s.Rules.MaxAttempts:
			return c, answer{status: http.StatusGatewayTimeout}
		}
	}
	return c, answer{}
}

// releaseSlot frees the slot of a call.
func (p *Platform) releaseSlot(relay int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callsOut[relay]--
}

// admit returns the answer to a call that the endpoint refuses, fails with 500 or never answers, or an empty answer for one
// that it serves.
func (h *host) admit(c *call, overLimit bool) answer {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.impairment()
	if t.Silent {
		return answer{never: true}
	}
	if !t.isOutage() && h.overloadsCold(now) {
		h.overloaded = true
		h.p.h.Add(history.Event{Kind: history.Fell, Host: h.Name})
		go h.updatePorts(false, true)
	}
	full := answer{status: http.StatusServiceUnavailable}
	switch {
	case t.Refuse && t.Wait > 0:
		return answer{status: http.StatusTooManyRequests, wait: t.Wait}
	case t.Refuse, overLimit, !h.refuseFrom.IsZero() && now.After(h.refuseFrom):
		return full
	}
	if wait, ok := h.p.dests[h.Dest].takeToken(h.Destination, now); !ok {
		if h.Destination.SendsRetryAfter {
			return answer{status: http.StatusTooManyRequests, wait: wait}
		}
		return full
	}
	if h.waiting >= h.Destination.Queue && len(h.workers) == cap(h.workers) {
		return full
	}
	if h.p.s.Draw(fmt.Sprintf("error %s %d", c.msgs[0].ID, c.attempts[0])) < t.Errors {
		return answer{status: http.StatusInternalServerError}
	}
	return answer{}
}

// run serves a call and returns its answer. A call that still waits for a worker ends with ctx; one in service is
// served to its end.
func (h *host) run(ctx context.Context, c *call) answer {
	h.mu.Lock()
	h.waiting++
	h.mu.Unlock()
	ok := true
	select {
	case h.workers <- true:
	case <-ctx.Done():
		ok = false
	}
	h.mu.Lock()
	h.waiting--
	t, share := h.impairment(), h.capacityShare(time.Now())
	h.mu.Unlock()
	if !ok {
		return answer{}
	}
	service := h.service(c) / share * max(1, t.Slow)
	clock.Sleep(h.p.ctx, time.Duration(service*float64(time.Second)))
	<-h.workers
	return answer{status: http.StatusOK, states: h.p.recordRun(c), ran: true}
}

// service returns the service time of a call in seconds, drawn from a lognormal distribution by its first message and
// the number of that message's calls.
func (h *host) service(c *call) float64 {
	d, mean := h.Destination, h.Destination.Service.Seconds()*(1+h.Destination.ItemCost*float64(len(c.msgs)-1))
	if d.ServiceCV == 0 {
		return mean
	}
	words := fmt.Sprintf("service %s %d", c.msgs[0].ID, c.attempts[0])
	u, v := h.p.s.Draw(words+" u"), h.p.s.Draw(words+" v")
	normal := math.Sqrt(-2*math.Log(1-u)) * math.Cos(2*math.Pi*v)
	sigma := math.Sqrt(math.Log(1 + d.ServiceCV*d.ServiceCV))
	return mean * math.Exp(sigma*normal-sigma*sigma/2)
}

// recordRun marks the messages of a call as run and returns their states. A message that is over without
// having been delivered does not run.
func (p *Platform) recordRun(c *call) (states []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range c.msgs {
		switch {
		case m.over && !m.delivered:
			states = append(states, "over")
		default:
			m.ran = true
			states = append(states, "delivered")
		}
	}
	return states
}

// write writes an answer and reports whether the connection may carry another call.
func (c *hostConn) write(call *call, a answer) bool {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	if a.wait > 0 {
		fmt.Fprintf(&out, "X-Retry-In-Ms: %d\r\n", a.wait.Milliseconds())
	}
	if a.noSlot {
		out.WriteString("X-No-Slot: 1\r\n")
	}
	var body []byte
	if call != nil && call.bulk && a.status == http.StatusOK {
		ends := make([]map[string]string, len(call.msgs))
		for i, id := range call.ids() {
			ends[i] = map[string]string{"id": id, "state": a.states[i]}
		}
		body, _ = json.Marshal(ends)
	}
	out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	out.Write(body)
	p := c.port.p
	if call == nil {
		_, err := c.Write(out.Bytes())
		return err == nil
	}
	// The answer is timed before it is written, since the relay may act on it before the lab's next step.
	at := p.h.Now()
	if _, err := c.Conn.Write(out.Bytes()); err != nil {
		return false
	}
	event := history.Event{Time: at, Kind: history.Reply, Call: call.number, Status: strconv.Itoa(a.status), RetryAfter: history.ToMicros(a.wait)}
	if a.noSlot {
		event.Detail = "no slot"
	}
	var done []string
	for i, id := range call.ids() {
		if a.status == http.StatusOK && (!call.bulk || a.states[i] == "delivered") {
			done = append(done, id)
		}
	}
	if call.bulk && a.status == http.StatusOK {
		event.States = a.states
	}
	p.h.Add(event)
	p.recordDelivery(done, at)
	return true
}

// dest is the state of a destination's limit, which its endpoints share.
type dest struct {
	mu     sync.Mutex
	at     time.Time
	tokens float64
	window time.Time
	count  float64
}

// takeToken counts a call against the limit. If the call exceeds it, ok is false and wait is the time until a call is
// admitted again.
func (d *dest) takeToken(of *scenario.Destination, now time.Time) (wait time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seconds := func(v float64) time.Duration { return time.Duration(math.Max(v, 0.001) * float64(time.Second)) }
	switch of.Limit {
	case "rate":
		depth := math.Max(1, of.Rate*rateBurst.Seconds())
		if d.at.IsZero() {
			d.tokens = depth
		} else {
			d.tokens = math.Min(depth, d.tokens+of.Rate*now.Sub(d.at).Seconds())
		}
		d.at = now
		if d.tokens >= 1 {
			d.tokens--
			return 0, true
		}
		if of.CountsRefused {
			d.tokens = math.Max(-depth, d.tokens-1)
		}
		return seconds((1 - d.tokens) / of.Rate), false
	case "window":
		if now.Sub(d.window) >= of.Window.AsDuration() {
			d.window, d.count = now, 0
		}
		fits := d.count+1 <= math.Max(1, of.Rate*of.Window.Seconds())
		if fits || of.CountsRefused {
			d.count++
		}
		return d.window.Add(of.Window.AsDuration()).Sub(now), fits
	}
	return 0, true
}
