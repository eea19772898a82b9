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
	// maxBody bounds the body of a call, as the protocol has it.
	maxBodyBytes = 64 << 10
	// callTime bounds how long a call may take to come, from its first byte.
	callReadTimeout = 10 * time.Second
	// coldSlack is what a cold endpoint takes beyond its budget before it falls over, in roots of the budget: the
	// protocol leaves some room for chance and does not say how much.
	coldBurstFactor = 2
	// rateDepth is the time for which a rate limit saves up room.
	rateBurst = 250 * time.Millisecond
)

// Trouble is what a fault does to an endpoint. Shares are of its calls or answers.
type Impairment struct {
	Down, Refuse, Silent                       bool
	Wait                                       time.Duration // told while shut; 0 for none
	Errors, Stall, DropAnswers, Reset, Corrupt float64
	Slow                                       float64 // factor on service times; 0 for none
}

// fails tells whether most calls fail: what follows is a cold return.
func (t Impairment) isOutage() bool { return t.Down || t.Refuse || t.Silent || t.Errors >= 0.5 }

// host is one endpoint.
type host struct {
	p       *Platform
	index   int
	ports   []*port // by relay
	workers chan bool

	scenario.Host
	mu          sync.Mutex
	listed      bool
	listedAt    time.Time // when it was listed; zero for from the start
	refuseFrom  time.Time // a draining endpoint takes nothing from then on; zero for never
	impairments map[int]Impairment
	open        int       // connections
	waiting     int       // calls in the queue
	recoveredAt time.Time // since when it serves again after an outage; zero for long ago
	overloaded  bool
	recentCalls []time.Time // calls while cold
}

func newHost(p *Platform, no int) *host {
	h := &host{p: p, index: no, Host: p.s.Hosts[no], impairments: map[int]Impairment{}}
	h.listed = h.Born == 0
	h.workers = make(chan bool, h.Of.Workers)
	return h
}

// trouble is all that strikes an endpoint at the moment; the lock is held.
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

// Strike has a fault, by its number, do something to an endpoint until Relieve.
func (p *Platform) Impair(fault, host int, t Impairment) { p.hosts[host].setImpairment(fault, &t) }

// Relieve ends what a fault does to an endpoint.
func (p *Platform) EndImpairment(fault, host int) { p.hosts[host].setImpairment(fault, nil) }

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
	h.mu.Unlock()
	h.updatePorts(before.Down, after.Down)
}

// reachable opens or closes the ports of an endpoint that comes up or goes down.
func (h *host) updatePorts(before, after bool) {
	for _, o := range h.ports {
		if after && !before {
			o.close()
		} else if before && !after {
			if err := o.open(); err != nil {
				h.p.h.Add(history.Event{Kind: history.Void, What: "an endpoint could not come back: " + err.Error()})
			}
		}
	}
}

// warmth is the share of its capacity that an endpoint has at a moment; the lock is held.
func (h *host) capacityShare(at time.Time) float64 {
	r := &h.p.s.Rules
	if h.recoveredAt.IsZero() || r.RampTime <= 0 {
		return 1
	}
	return math.Min(1, r.ColdShare+(1-r.ColdShare)*at.Sub(h.recoveredAt).Seconds()/r.RampTime.Seconds())
}

// chill counts a call at a cold endpoint, and pushes it over where calls are too many; the lock is held. It tells
// whether it fell.
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

// hostConn is a connection of a relay to an endpoint.
type hostConn struct {
	net.Conn
	port   *port
	ctx    context.Context
	end    context.CancelFunc
	chunks chan chunk
	unread []byte
	sentAt time.Time // when the relay sent the latest bytes that were read
	// closedAt is when the relay closed, in nanoseconds since 1970; 0 while it has not.
	closedAt atomic.Int64
	resetAt  atomic.Int64 // when a fault reset it, in the same form
}

// call is one call at an endpoint.
type call struct {
	no       int
	relay    int
	bulk     bool
	msgs     []*entry
	attempts []int // calls of each message, this one included
}

func (c *call) ids() (ids []string) {
	for _, m := range c.msgs {
		ids = append(ids, m.ID)
	}
	return ids
}

// answer is what an endpoint says to a call.
type answer struct {
	status int
	wait   time.Duration
	noSlot bool
	states []string // of a bulk call that is answered 200
	ran    bool
	never  bool // never comes
}

// serve takes calls from a connection, one at a time, until it ends.
func (c *hostConn) serve() {
	h := c.port.host
	h.mu.Lock()
	h.open++
	overLimit := h.Of.Connections > 0 && h.open > h.Of.Connections
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

// peek reports when the next byte is there, or the end of the connection.
func (c *hostConn) peek(in *bufio.Reader) chan error {
	next := make(chan error, 1)
	go func() {
		_, err := in.Peek(1)
		next <- err
	}()
	return next
}

// handle answers one call and tells whether the connection goes on.
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
		release() // before the relay can know that the slot is free
		if !ended() && c.write(call, a) {
			return true
		}
	default:
		if part != nil {
			_, _ = c.Write(part)
		}
		p.h.Add(history.Event{Kind: history.Broken, Call: call.no, What: what})
		switch what {
		case "reset":
			c.reset()
			return false
		case "spoilt":
			return false
		}
		<-ctx.Done() // nothing more comes, until the relay gives the call up
	}
	event := history.Event{Kind: history.Gone, Call: call.no} // where a write failed, the relay alone can be the cause
	if at, closed := c.closed(); closed {
		event.T = p.h.At(at)
	} else if c.ctx.Err() != nil {
		event.Kind, event.What = history.Broken, "closed"
		if at := c.resetAt.Load(); at != 0 { // what was being served went on until now
			event.T = p.h.At(time.Unix(0, at))
		}
	}
	p.h.Add(event)
	return false
}

// spoils tells what becomes of an answer instead of its being written, with what is written of it.
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

// take reads a call and gives it its number; one that can't be read, or holds what no client handed in, gets its
// answer at once.
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
	event := history.Event{T: p.h.At(received), Kind: history.Call, Relay: history.N(relay), Host: h.Name, Began: p.h.At(began)}
	known := true
	p.mu.Lock()
	p.calls++
	c.no = p.calls
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
	event.Call = c.no
	p.h.Add(event)
	switch {
	case !known:
		p.h.Add(history.Event{Kind: history.Reply, Call: c.no, Status: "400", What: "unknown"})
		p.releaseSlot(relay)
		return nil, answer{status: http.StatusBadRequest}
	case len(items) > h.Of.Bulk:
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

// leave frees the slot of a call.
func (p *Platform) releaseSlot(relay int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callsOut[relay]--
}

// admit turns a call away, or gives no answer yet.
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
	if wait, ok := h.p.dests[h.Dest].takeToken(h.Of, now); !ok {
		if h.Of.TellsWait {
			return answer{status: http.StatusTooManyRequests, wait: wait}
		}
		return full
	}
	if h.waiting >= h.Of.Queue && len(h.workers) == cap(h.workers) {
		return full
	}
	if h.p.s.Draw(fmt.Sprintf("error %s %d", c.msgs[0].ID, c.attempts[0])) < t.Errors {
		return answer{status: http.StatusInternalServerError}
	}
	return answer{}
}

// run serves a call, and gives its answer once it has run. It stops where the relay leaves while it waits for a
// worker; what is being served is served to its end.
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

// service draws the time of a call in seconds: lognormal, by its first message and which of its calls this is.
func (h *host) service(c *call) float64 {
	d, mean := h.Of, h.Of.Service.Seconds()*(1+h.Of.ItemCost*float64(len(c.msgs)-1))
	if d.ServiceCV == 0 {
		return mean
	}
	words := fmt.Sprintf("service %s %d", c.msgs[0].ID, c.attempts[0])
	u, v := h.p.s.Draw(words+" u"), h.p.s.Draw(words+" v")
	normal := math.Sqrt(-2*math.Log(1-u)) * math.Cos(2*math.Pi*v)
	sigma := math.Sqrt(math.Log(1 + d.ServiceCV*d.ServiceCV))
	return mean * math.Exp(sigma*normal-sigma*sigma/2)
}

// ran notes that the messages of a call have run, and gives their states.
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

// write writes an answer, and tells whether the connection may carry another call.
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
	// What a relay does on this answer may come before the lab's next step: it is noted before it is written.
	at := p.h.Now()
	if _, err := c.Conn.Write(out.Bytes()); err != nil {
		return false
	}
	event := history.Event{T: at, Kind: history.Reply, Call: call.no, Status: strconv.Itoa(a.status), After: history.M(a.wait)}
	if a.noSlot {
		event.What = "no slot"
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

// dest is what the endpoints of one destination share: its limit.
type dest struct {
	mu     sync.Mutex
	at     time.Time
	tokens float64
	window time.Time
	count  float64
}

// room takes the room of a call under the limit, or tells when there is some again.
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
		if of.RefusedCount {
			d.tokens = math.Max(-depth, d.tokens-1)
		}
		return seconds((1 - d.tokens) / of.Rate), false
	case "window":
		if now.Sub(d.window) >= of.Window.AsDuration() {
			d.window, d.count = now, 0
		}
		fits := d.count+1 <= math.Max(1, of.Rate*of.Window.Seconds())
		if fits || of.RefusedCount {
			d.count++
		}
		return d.window.Add(of.Window.AsDuration()).Sub(now), fits
	}
	return 0, true
}
