package platform

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"milletsail/internal/lab/history"
)

// Health values of an endpoint on the list.
const (
	serving  = "SERVING"
	draining = "DRAINING"
	deleted  = "DELETED"
)

const (
	// maxListLag bounds the delay, drawn by relay, with which a change of the list reaches a relay's discovery.
	maxListLag = 300 * time.Millisecond
	// keepAliveInterval is the time between the empty lines on a stream without changes.
	keepAliveInterval = 2 * time.Second
	// movedGrace is how long open connections to the old address of a moved discovery stay.
	movedGrace = 1500 * time.Millisecond
	// busyRetryAfter is the Retry-After of an overloaded discovery, in seconds.
	busyRetryAfter = "0.5"
)

// change is one change of the list, to one endpoint. Version n of the list includes the first n changes.
type change struct {
	at     time.Time
	host   int
	health string
}

// memberEntry is one endpoint in discovery's format.
type memberEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// Entry is one endpoint in discovery's format, for simulations outside this package that keep their own lists.
type Entry = memberEntry

// Members is a list, or the changes of a list, in discovery's format.
type Members struct {
	Seq   int           `json:"seq"`
	Whole bool          `json:"whole"`
	Hosts []memberEntry `json:"hosts"`
}

// agent is the discovery service of one relay.
type agent struct {
	p     *Platform
	relay int

	mu     sync.Mutex
	moves  int
	l      net.Listener
	srv    *http.Server
	late   time.Duration
	silent bool
	busy   bool
	wake   chan struct{} // closed and replaced at each change
}

func newAgent(p *Platform, relay int) *agent {
	return &agent{p: p, relay: relay, wake: make(chan struct{})}
}

// open listens at the agent's current address.
func (a *agent) open() error {
	l, err := net.Listen("tcp", a.p.net.Discovery(a.relay, a.moves))
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(a.serve)}
	a.mu.Lock()
	a.l, a.srv = l, srv
	a.mu.Unlock()
	a.p.work.Add(1)
	go func() {
		defer a.p.work.Done()
		_ = srv.Serve(l)
	}()
	return nil
}

func (a *agent) close() {
	a.mu.Lock()
	srv := a.srv
	a.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// update changes an agent and wakes its streams.
func (a *agent) update(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	close(a.wake)
	a.wake = make(chan struct{})
}

// state returns the faults in force and a channel that is closed at the next change.
func (a *agent) state() (late time.Duration, silent, busy bool, wake chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.late, a.silent, a.busy, a.wake
}

// SetDiscoveryFaults sets the faults of a relay's discovery: an extra delay of list changes, no replies (silent), or
// refusals with 503 (busy).
func (p *Platform) SetDiscoveryFaults(relay int, late time.Duration, silent, busy bool) {
	p.agents[relay].update(func() { a := p.agents[relay]; a.late, a.silent, a.busy = late, silent, busy })
}

// MoveDiscovery moves a relay's discovery to a new address. The old address accepts no new connections, and its open
// ones are closed after movedGrace.
func (p *Platform) MoveDiscovery(relay int) error {
	a := p.agents[relay]
	a.mu.Lock()
	old, l := a.srv, a.l
	a.moves++
	a.mu.Unlock()
	if err := a.open(); err != nil {
		return err
	}
	_ = l.Close()
	time.AfterFunc(movedGrace, func() { _ = old.Close() })
	return nil
}

// InitialMembers returns the list that a relay's configuration holds: the given version, and at least the one with
// which the run started.
func (p *Platform) InitialMembers(relay, seq int) Members {
	first := 0
	for _, h := range p.s.Hosts {
		if h.AddedByFault == 0 {
			first++
		}
	}
	return p.members(relay, max(seq, first), 0)
}

// ListVersion is the current version of the list.
func (p *Platform) ListVersion() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.changes)
}

// DiscoveryAddress is the current address of a relay's discovery.
func (p *Platform) DiscoveryAddress(relay int) string {
	a := p.agents[relay]
	a.mu.Lock()
	defer a.mu.Unlock()
	return p.net.Discovery(relay, a.moves)
}

// SetHealth changes the health of an endpoint on the list. An endpoint that is new on the list starts to accept
// connections; a draining one refuses calls after the drain grace time.
func (p *Platform) SetHealth(host int, health string) error {
	h := p.hosts[host]
	h.mu.Lock()
	if health == draining {
		h.refuseFrom = time.Now().Add(p.s.Rules.DrainGrace.AsDuration())
	}
	fresh := !h.listed && health == serving
	h.listed = h.listed || fresh
	if fresh {
		h.listedAt = time.Now()
	}
	accepts := fresh && !h.impairment().Down // the end of the impairment opens the ports otherwise
	h.mu.Unlock()
	if accepts {
		for _, o := range h.ports {
			if err := o.open(); err != nil {
				return err
			}
		}
	}
	p.mu.Lock()
	p.changes = append(p.changes, change{time.Now(), host, health})
	seq := len(p.changes)
	p.h.Add(history.Event{Kind: history.List, Seq: seq, Hosts: []history.ListEntry{{Host: h.Name, Health: health}}})
	p.mu.Unlock()
	for _, a := range p.agents {
		a.update(func() {})
	}
	return nil
}

// members returns a version of the list or, if since is above 0, the changes after version since.
func (p *Platform) members(relay, seq, since int) Members {
	p.mu.Lock()
	list := append([]change(nil), p.changes[:min(seq, len(p.changes))]...)
	p.mu.Unlock()
	health := map[int]string{}
	var order []int
	for i, c := range list {
		if _, had := health[c.host]; !had && (since == 0 || i >= since) {
			order = append(order, c.host)
		}
		if since == 0 || i >= since {
			health[c.host] = c.health
		}
	}
	m := Members{Seq: len(list), Whole: since == 0, Hosts: []memberEntry{}}
	for _, no := range order {
		h := p.hosts[no]
		if m.Whole && health[no] == deleted {
			continue
		}
		m.Hosts = append(m.Hosts, memberEntry{Host: h.Name, Dial: p.net.Host(relay, no), Site: h.Zone,
			Class: p.Shape(h.Destination.MaxBatch), Block: h.Dest, Health: health[no], Share: p.weight(&h.Host), BornMS: h.listedAtMS()})
	}
	return m
}

// listedAtMS is when an endpoint was added to the list, in milliseconds since 1970; 0 if it was there from the start.
func (h *host) listedAtMS() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listedAt.IsZero() {
		return 0
	}
	return h.listedAt.UnixMilli()
}

// Shape is the name of the kind of destination that takes at most bulk messages per call.
func (p *Platform) Shape(bulk int) string { return "bulk" + strconv.Itoa(bulk) }

// visibleVersion returns the newest version of the list that an agent has, and when it will have the next; the time
// is zero if there is none.
func (a *agent) visibleVersion(late time.Duration) (seq int, next time.Time) {
	lag := late + time.Duration(a.p.s.Draw("lag "+strconv.Itoa(a.relay))*float64(maxListLag))
	a.p.mu.Lock()
	defer a.p.mu.Unlock()
	for i, c := range a.p.changes {
		if visibleAt := c.at.Add(lag); !c.at.IsZero() && time.Now().Before(visibleAt) {
			return i, visibleAt
		}
	}
	return len(a.p.changes), time.Time{}
}

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/outcomes" && r.Method == http.MethodPost:
		a.outcomes(w, r)
	case r.URL.Path == "/catalog/members" && r.Method == http.MethodGet:
		a.members(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// outcomes receives notifications; discovery faults do not affect it.
func (a *agent) outcomes(w http.ResponseWriter, r *http.Request) {
	type notification struct {
		ID      string `json:"id"`
		Status  string `json:"status"`
		AgainMS int64  `json:"again_ms"`
	}
	var all []notification
	in := bufio.NewScanner(r.Body)
	in.Buffer(nil, maxBodyBytes)
	for in.Scan() {
		var n notification
		if err := json.Unmarshal(in.Bytes(), &n); err != nil || n.ID == "" || n.Status != "undeliverable" && n.Status != "deferred" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		all = append(all, n)
	}
	for _, n := range all {
		a.p.receiveNotification(a.relay, n.ID, n.Status, time.Duration(n.AgainMS)*time.Millisecond)
	}
	w.WriteHeader(http.StatusNoContent)
}

// members replies with the list, or with a stream of it and its changes.
func (a *agent) members(w http.ResponseWriter, r *http.Request) {
	stream := r.URL.Query().Get("stream") == "1"
	since, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err != nil || since < 0 {
		since = 0
	}
	for {
		_, silent, busy, wake := a.state()
		if busy {
			w.Header().Set("Retry-After", busyRetryAfter)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !silent {
			break
		}
		select {
		case <-r.Context().Done():
			return
		case <-wake:
		}
	}
	flush := w.(http.Flusher).Flush
	first := true
	for {
		late, silent, _, wake := a.state()
		seq, next := a.visibleVersion(late)
		wait := keepAliveInterval
		if !next.IsZero() {
			wait = min(wait, time.Until(next))
		}
		if !silent && (first || seq > since) {
			if !a.writeMembers(w, seq, since) {
				return
			}
			if !stream {
				return
			}
			flush()
			since, first = seq, false
			continue
		}
		t := time.NewTimer(wait)
		select {
		case <-r.Context().Done():
			t.Stop()
			return
		case <-wake:
			t.Stop()
		case <-t.C:
			if _, silent, _, _ := a.state(); !silent && wait == keepAliveInterval {
				if _, err := w.Write([]byte("\n")); err != nil {
					return
				}
				flush()
			}
		}
	}
}

// writeMembers writes the list, or the changes after version since, to the relay, and reports whether that succeeded.
func (a *agent) writeMembers(w http.ResponseWriter, seq, since int) bool {
	if since > seq {
		since = 0
	}
	m := a.p.members(a.relay, seq, since)
	line, err := json.Marshal(m)
	if err != nil {
		return false
	}
	event := history.Event{Time: a.p.h.Now(), Kind: history.List, Relay: history.IntPtr(a.relay), Seq: seq, SentToRelay: true}
	for _, h := range m.Hosts {
		event.Hosts = append(event.Hosts, history.ListEntry{Host: h.Host, Health: h.Health})
	}
	if m.Whole {
		event.Detail = "whole"
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return false
	}
	a.p.h.Add(event)
	return true
}
