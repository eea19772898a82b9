package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/resource"
	"milletsail/policy"
)

const (
	// idleShare of the time after which hosts close an idle connection it is kept here: a request that
	// crosses the host's close ends as a reset. With 0.95 hosts closed some first, and G gained nothing.
	idleShare = 0.8
	// drainTime is how long the body of an answer may take before its connection is given up.
	drainTime = 100 * time.Millisecond
	// stallTime is how long a host may be silent in the middle of an answer: no more of it is to be expected then, and
	// the call holds a slot.
	stallTime = 500 * time.Millisecond
	// maxAnswer bytes of an answer are read, its head included: what a host sends must not fill the memory.
	maxAnswer = 2 * maxBody
	// mostInterim 1xx answers may come ahead of the real one.
	mostInterim = 8
)

// firstLine is that of an answer that says that a message was delivered. Without its end it says nothing yet.
var firstLine = regexp.MustCompile(`^HTTP/1\.[01] 200(?: [^\r\n]*)?\r?\n$`)

// request is one call to a host, with one message or with several.
type request struct {
	addr    string
	parcels []parcel
	timeout time.Duration
	within  time.Duration // to be written in, or not at all; 0 for no bound
	// answerBy is when the answer to several messages has to be read whole to count for any of them; zero for no bound.
	// It is checked once the answer is read, since a timer may fire late.
	answerBy instant.Time
}

// late tells whether an answer that has been read by now counts for nothing.
func (r request) late() bool { return !r.answerBy.IsZero() && clock.Now() >= r.answerBy }

// parcel is one message of a call, as it goes on the wire where there are several.
type parcel struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
	fate *fate
}

// fate is what becomes of a message of a call while the call waits for its connection: it is written, or ends before
// that, never both. Without one it is written.
type fate struct{ settled atomic.Bool }

// settle claims the message, for writing it or for its end; false means that the other came first.
func (f *fate) settle() bool { return f == nil || f.settled.CompareAndSwap(false, true) }

// end is what became of one message of a call with several.
type end struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// result is how a call ended for a message.
type result struct {
	outcome policy.Outcome
	wait    time.Duration
	over    bool
	spent   bool
	report  *policy.LoadReport
}

// pool makes calls to hosts over connections that carry one call at a time. It is no http.Transport, since
// that sends a request with an Idempotency-Key again by itself when a kept connection breaks, which is a
// second run, and does not tell whether the last byte had been written, which is what parts "never ran" from
// "may have run".
type pool struct {
	dialer net.Dialer
	keep   time.Duration
	room   int // idle connections kept at most
	// written counts the messages whose last byte was written.
	written *atomic.Int64

	mu    sync.Mutex
	idle  map[string][]*conn // by address, used last at the end
	count int
	held  map[string]instant.Time // by address, when calls there were last withheld
}

// newPool keeps at most room idle connections, each for less than hostIdle.
func newPool(connect, hostIdle time.Duration, room int, written *atomic.Int64) *pool {
	return &pool{dialer: net.Dialer{Timeout: connect, KeepAlive: -1}, room: room, idle: map[string][]*conn{}, held: map[string]instant.Time{},
		written: written, keep: time.Duration(idleShare * float64(hostIdle))}
}

// call makes one call and tells how it ended for each message. When it returns, the call is off the wire:
// answered, or its connection closed.
func (p *pool) call(ctx context.Context, r request) []result {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	writing := ctx
	if r.within > 0 {
		bounded, done := context.WithTimeout(ctx, r.within)
		defer done()
		writing = bounded
	}
	begun := clock.Now()
	c, err := p.get(writing, r.addr)
	if ctx.Err() == nil && writing.Err() != nil || err == nil && p.withheld(r.addr, begun) {
		if err == nil {
			p.put(r.addr, c)
		}
		return r.all(result{outcome: policy.NotSent}) // too late to write it, which tells nothing of the host
	}
	if err != nil && resource.IsLocalFailure(err) {
		slog.Warn("call not begun", "host", r.addr, "messages", len(r.parcels), "err", err)
		return r.all(result{outcome: policy.NotStarted}) // which tells nothing of the host either
	}
	if err != nil {
		return r.all(result{outcome: policy.ConnectError})
	}
	if by, ok := writing.Deadline(); ok {
		_ = c.SetWriteDeadline(by)
	}
	res := r.all(result{outcome: policy.NotSent})
	left := r
	left.parcels = slices.DeleteFunc(slices.Clone(r.parcels), func(p parcel) bool { return !p.fate.settle() })
	if len(left.parcels) == 0 { // all have ended while the connection came up
		p.put(r.addr, c)
		return res
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	ends, reuse := p.exchange(ctx, c, left)
	for i, sent := range left.parcels {
		res[slices.IndexFunc(r.parcels, func(p parcel) bool { return p.ID == sent.ID })] = ends[i]
	}
	if !stop() || !reuse {
		_ = c.Close()
		return res
	}
	p.put(r.addr, c)
	return res
}

// exchange writes a request and reads its answer; reuse tells whether the connection may carry another.
func (p *pool) exchange(ctx context.Context, c *conn, r request) (res []result, reuse bool) {
	deadline, _ := ctx.Deadline()
	out, err := r.encode(time.Until(deadline)) // by the monotonic reading that every deadline of a context holds
	if err != nil {
		return r.all(result{outcome: policy.ConnectError}), false
	}
	c.call = ctx
	if n, _ := c.Write(out); n < len(out) {
		return r.all(result{outcome: policy.ConnectError}), false // the last byte never left: it can't have run
	}
	p.written.Add(int64(len(r.parcels)))
	resp, err := c.answer(len(r.parcels) == 1)
	if err != nil && resp != nil && len(r.parcels) == 1 {
		return r.all(classify(resp)), false // its first line is true, whatever else it lacks
	}
	if err != nil {
		return r.all(result{outcome: broken(ctx)}), false
	}
	switch {
	case len(r.parcels) == 1 || resp.StatusCode != http.StatusOK:
		common := classify(resp)
		if len(r.parcels) > 1 && (resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusRequestEntityTooLarge) {
			common.outcome = policy.NotSent // what the host could not take in never ran
		}
		res = r.all(common)
	default:
		// Only the whole body tells the messages' ends.
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return r.all(result{outcome: broken(ctx)}), false
		}
		if r.late() {
			unheard := classify(resp)
			unheard.outcome, unheard.over = policy.TimedOut, false
			return r.all(unheard), false // a wait that it tells binds all the same
		}
		res = r.ends(resp, body)
	}
	c.stall = 0
	_ = c.SetDeadline(time.Now().Add(drainTime))
	_, err = io.Copy(io.Discard, resp.Body)
	reuse = err == nil && !resp.Close && c.in.Buffered() == 0 && c.SetDeadline(time.Time{}) == nil
	return res, reuse
}

// broken is the outcome of a call whose last byte was written and whose answer did not come whole.
func broken(ctx context.Context) policy.Outcome {
	switch ctx.Err() {
	case nil:
		return policy.Reset
	case context.DeadlineExceeded:
		return policy.TimedOut
	}
	return policy.Canceled
}

// all gives every message of a call the same end.
func (r request) all(res result) []result { return slices.Repeat([]result{res}, len(r.parcels)) }

// ends reads the messages' ends from the body of an answer. A message that it does not name, or names with an
// unknown state, may have run.
func (r request) ends(resp *http.Response, body []byte) []result {
	failed := classify(resp)
	failed.outcome, failed.over = policy.Failed, false
	res := r.all(failed)
	var ends []end
	if err := json.Unmarshal(body, &ends); err != nil {
		slog.Warn("unreadable answer", "host", r.addr, "messages", len(r.parcels), "err", err)
		return res
	}
	for _, e := range ends {
		i := slices.IndexFunc(r.parcels, func(p parcel) bool { return p.ID == e.ID })
		if i < 0 {
			continue
		}
		switch e.State {
		case "delivered":
			res[i].outcome, res[i].over = policy.OK, true
		case "refused":
			res[i].outcome = policy.Rejected
		case "over":
			res[i].outcome, res[i].over = policy.NotSent, true
		case "spent":
			res[i].outcome, res[i].spent = policy.NotSent, true
		}
	}
	return res
}

// encode writes the request as it goes on the wire.
func (r request) encode(wait time.Duration) ([]byte, error) {
	path, body := "/inbox", r.parcels[0].Body
	if len(r.parcels) > 1 {
		var err error
		if body, err = json.Marshal(r.parcels); err != nil {
			return nil, err
		}
		path = "/inbox/bulk"
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+r.addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("User-Agent", "frostlink")
	if len(r.parcels) == 1 {
		req.Header.Set("Request-Id", r.parcels[0].ID)
		if key := r.parcels[0].Key; key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
	}
	req.Header.Set("Request-Timeout", strconv.FormatFloat(max(wait, time.Millisecond).Seconds(), 'f', 3, 64))
	var out bytes.Buffer
	err = req.Write(&out)
	return out.Bytes(), err
}

// classify reads an outcome from an answer, as the protocol has them.
func classify(resp *http.Response) result {
	res := result{outcome: policy.Failed, report: parseReport(resp.Header.Get("Server-Load"))}
	if ms, err := strconv.ParseFloat(resp.Header.Get("X-Retry-In-Ms"), 64); err == nil && ms > 0 {
		res.wait = time.Duration(min(ms, float64(time.Hour.Milliseconds())) * float64(time.Millisecond))
	}
	switch resp.StatusCode {
	case http.StatusOK:
		res.outcome, res.over = policy.OK, true
	case http.StatusTooManyRequests:
		res.outcome = policy.Rejected
	case http.StatusServiceUnavailable:
		res.outcome = policy.Rejected
		if resp.Header.Get("X-No-Slot") == "1" {
			res.outcome = policy.NotSent
		}
	case http.StatusGatewayTimeout:
		res.outcome, res.spent = policy.NotSent, true
	case http.StatusGone:
		res.outcome, res.over = policy.NotSent, true
	}
	return res
}

// parseReport reads a load report such as "x0=0.4,x1=25", or gives nil.
func parseReport(text string) *policy.LoadReport {
	r, found := &policy.LoadReport{}, 0
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0) {
			continue
		}
		switch name {
		case "x0":
			r.Remaining = v
			found |= 1
		case "x1":
			r.Limit = v
			found |= 2
		}
	}
	if found != 3 {
		return nil
	}
	return r
}

// get gives an idle connection that is still up, or a new one.
func (p *pool) get(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	for list := p.idle[addr]; len(list) > 0; list = p.idle[addr] {
		c := list[len(list)-1]
		p.drop(addr, len(list)-1)
		if c.up() && clock.Since(c.since) < p.keep {
			p.mu.Unlock()
			return c, nil
		}
		_ = c.Close()
	}
	p.mu.Unlock()
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	fresh := &conn{Conn: raw}
	fresh.limit = &io.LimitedReader{R: fresh, N: maxAnswer}
	fresh.in = bufio.NewReader(fresh.limit)
	return fresh, nil
}

// put keeps a connection for the next call.
func (p *pool) put(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count >= p.room {
		_ = c.Close()
		return
	}
	c.since = clock.Now()
	p.idle[addr] = append(p.idle[addr], c)
	p.count++
}

// drop takes connection i out of an address's list; the lock is held.
func (p *pool) drop(addr string, i int) {
	list := p.idle[addr]
	if list = append(list[:i], list[i+1:]...); len(list) > 0 {
		p.idle[addr] = list
	} else {
		delete(p.idle, addr)
	}
	p.count--
}

// withhold has the calls to an address that still wait for a connection come back unwritten.
func (p *pool) withhold(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[addr] = clock.Now()
}

// withheld tells whether calls to an address were withheld since a time.
func (p *pool) withheld(addr string, since instant.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.held[addr]
	return ok && at >= since
}

// retire closes the idle connections and keeps none from now on.
func (p *pool) retire() {
	p.mu.Lock()
	p.room = 0
	p.mu.Unlock()
	p.closeIf(func(string, *conn) bool { return true })
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(addr string) {
	p.closeIf(func(a string, _ *conn) bool { return a == addr })
}

// sweep closes idle connections that have stood too long, or that the host has closed, and forgets what was withheld
// before any call that still waits for a connection.
func (p *pool) sweep() {
	p.mu.Lock()
	maps.DeleteFunc(p.held, func(_ string, at instant.Time) bool { return clock.Since(at) > 2*p.dialer.Timeout })
	p.mu.Unlock()
	p.closeIf(func(_ string, c *conn) bool { return clock.Since(c.since) >= p.keep || !c.up() })
}

func (p *pool) closeIf(unwanted func(string, *conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		for i := len(list) - 1; i >= 0; i-- {
			if c := list[i]; unwanted(addr, c) {
				p.drop(addr, i)
				_ = c.Close()
			}
		}
	}
}
