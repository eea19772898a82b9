package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/journal"
	"milletsail/internal/relay/config"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/notifier"
	"milletsail/internal/relay/socket"
	"milletsail/policy"
)

// The tests of this file force the order of events at the end of something, on real connections: docs/endings.md lists
// the rows that they belong to.

// readHooks are called by the relay's side of a connection, in the goroutine that reads. Each may be nil.
type readHooks struct {
	// before is called ahead of each read.
	before func(*hookedConn)
	// expired is called once a read has ended by its deadline, and before the relay learns of it.
	expired func(*hookedConn)
}

// hookedListener accepts TCP connections whose reads go through hooks.
type hookedListener struct {
	net.Listener
	hooks    readHooks
	accepted int
}

// Accept numbers the connections from 1 on.
func (l *hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted++
	return &hookedConn{TCPConn: conn.(*net.TCPConn), hooks: l.hooks, number: l.accepted}, nil
}

// hookedConn is the relay's side of a client's connection.
type hookedConn struct {
	*net.TCPConn
	hooks  readHooks
	number int

	mu       sync.Mutex
	deadline time.Time // of reads
}

func (c *hookedConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	c.deadline = at
	c.mu.Unlock()
	return c.TCPConn.SetReadDeadline(at)
}

func (c *hookedConn) Read(b []byte) (int, error) {
	if c.hooks.before != nil {
		c.hooks.before(c)
	}
	n, err := c.TCPConn.Read(b)
	if c.hooks.expired != nil && errors.Is(err, os.ErrDeadlineExceeded) && !c.interrupted() {
		c.hooks.expired(c)
	}
	return n, err
}

// interrupted tells whether net/http has ended a pending read of its own accord, which it does by a deadline in 1970.
func (c *hookedConn) interrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline.Unix() == 1
}

// hookedServer serves clients like testServer, through hooks, with room for so many connections.
func hookedServer(t *testing.T, room int, hooks readHooks, admit, gone func(*arrival)) *gate {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{Listener: &hookedListener{Listener: l, hooks: hooks}, room: room, open: map[*client]bool{}}
	g.changed.L = &g.mu
	c := &config.Config{}
	c.Policy.Classes = []policy.Class{{Name: "status", Deadline: time.Minute}}
	s := newServer(c, new(metrics.ReasonCounters), admit, gone)
	go func() { _ = s.http.Serve(g) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return g
}

// accepting answers each request 202 and records its id.
func accepting(ids chan<- string) func(*arrival) {
	return func(a *arrival) {
		ids <- a.entry.ID
		a.verdict <- verdict{status: http.StatusAccepted}
	}
}

// dial opens a client's connection to a gate, with a bound on how long the test reads from it.
func dial(t *testing.T, g *gate) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(long))
	return c
}

// write sends bytes on a client's connection.
func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// wantAccepted reads one answer, which has to be 202.
func wantAccepted(t *testing.T, what string, c net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusAccepted {
		t.Errorf("%s: %v, %v", what, resp, err)
	}
}

// eventually waits for a condition; how long that takes decides nothing.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(long); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// drained gives all that a channel holds now, sorted.
func drained(ids chan string) (all []string) {
	for len(ids) > 0 {
		all = append(all, <-ids)
	}
	slices.Sort(all)
	return all
}

// A request that arrives after the idle limit of its connection has passed and before the relay closes it is not read: it
// is no request, the client sees its connection end without an answer, and may send it again.
func TestRequestThatCrossesTheIdleClose(t *testing.T) {
	t.Parallel()
	expired, arrived := make(chan *hookedConn, 1), make(chan bool)
	ids := make(chan string, 9)
	g := hookedServer(t, 9, readHooks{expired: func(c *hookedConn) {
		if c.number == 1 {
			expired <- c
			<-arrived
		}
	}}, accepting(ids), nil)
	c := dial(t, g)
	write(t, c, posted("first"))
	wantAccepted(t, "before the idle limit", c)

	relaySide := receive(t, expired)
	write(t, c, posted("crossing"))
	eventually(t, "the request is in the relay's buffer", func() bool { return socket.HasUnread(relaySide) })
	close(arrived)
	if got, err := io.ReadAll(c); len(got) > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("on the closed connection: %q, %v", got, err)
	}
	eventually(t, "its place is free", func() bool { return g.clients() == 0 })
	if got := drained(ids); !slices.Equal(got, []string{"first"}) {
		t.Errorf("accepted %v", got)
	}

	again := dial(t, g)
	write(t, again, posted("crossing"))
	wantAccepted(t, "sent again", again)
	if got := drained(ids); !slices.Equal(got, []string{"crossing"}) {
		t.Errorf("accepted afterwards %v", got)
	}
}

// A connection whose request has arrived and has not been read keeps its place, though it would be the first to lose it:
// another connection is closed for the new one.
func TestUnreadRequestKeepsItsPlace(t *testing.T) {
	readOn := make(chan bool)
	release := sync.OnceFunc(func() { close(readOn) })
	t.Cleanup(release)
	relaySides := make(chan *hookedConn, 1)
	var held atomic.Bool
	ids := make(chan string, 9)
	g := hookedServer(t, 2, readHooks{before: func(c *hookedConn) {
		if c.number == 1 && held.CompareAndSwap(false, true) {
			relaySides <- c
			<-readOn
			_ = c.SetReadDeadline(time.Time{}) // the test held the read up, not the client
		}
	}}, accepting(ids), nil)
	oldest := dial(t, g)
	relaySide := receive(t, relaySides)
	silent := dial(t, g)
	eventually(t, "all places are taken", func() bool { return g.clients() == 2 })
	write(t, oldest, posted("unread"))
	eventually(t, "the request is in the relay's buffer", func() bool { return socket.HasUnread(relaySide) })

	newest := dial(t, g)
	write(t, newest, posted("new"))
	if got, err := io.ReadAll(silent); len(got) > 0 || err != nil {
		t.Errorf("the silent connection: %q, %v", got, err)
	}
	wantAccepted(t, "the new connection", newest)
	release()
	wantAccepted(t, "the connection with the unread request", oldest)
	if got := drained(ids); !slices.Equal(got, []string{"new", "unread"}) {
		t.Errorf("accepted %v", got)
	}
}

// The last byte of a request arrives after the read limit has passed and before the relay acts on that: nothing is
// accepted, and the client sees its connection end, with an error as its answer where the head had come whole.
func TestRequestBehindTheReadLimit(t *testing.T) {
	for _, tt := range []struct{ name, early, late, want string }{
		{"in the head", strings.TrimSuffix(posted("late"), "\r\nhi"), "\r\nhi", ""},
		{"in the body", strings.TrimSuffix(posted("late"), "i"), "i", "HTTP/1.1 400 "},
	} {
		t.Run(strings.ReplaceAll(tt.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			expired, arrived := make(chan *hookedConn, 1), make(chan bool)
			ids := make(chan string, 9)
			g := hookedServer(t, 9, readHooks{expired: func(c *hookedConn) {
				if c.number == 1 {
					expired <- c
					<-arrived
				}
			}}, accepting(ids), nil)
			c := dial(t, g)
			write(t, c, tt.early)
			relaySide := receive(t, expired)
			write(t, c, tt.late)
			eventually(t, "the last byte is in the relay's buffer", func() bool { return socket.HasUnread(relaySide) })
			close(arrived)
			got, err := io.ReadAll(c)
			if !strings.HasPrefix(string(got), tt.want) || tt.want == "" && len(got) > 0 {
				t.Errorf("answer %q", got)
			}
			if err != nil && (tt.want != "" || !errors.Is(err, syscall.ECONNRESET)) {
				t.Errorf("the connection broke: %v", err)
			}
			if got := drained(ids); len(got) > 0 {
				t.Errorf("accepted %v", got)
			}
			again := dial(t, g)
			write(t, again, posted("late"))
			wantAccepted(t, "sent again", again)
		})
	}
}

// A request whose last byte is read within the read limit gets its answer, also where that is decided after the limit.
func TestAnswerDecidedBehindTheReadLimit(t *testing.T) {
	t.Parallel()
	accepted := make(chan *arrival, 1)
	var withdrawn atomic.Bool
	g := hookedServer(t, 9, readHooks{}, func(a *arrival) { accepted <- a }, func(*arrival) { withdrawn.Store(true) })
	c := dial(t, g)
	begun := time.Now()
	write(t, c, posted("m"))
	a := receive(t, accepted)
	for time.Since(begun) < readTime+200*time.Millisecond && !withdrawn.Load() {
		time.Sleep(time.Millisecond)
	}
	a.verdict <- verdict{status: http.StatusAccepted}
	wantAccepted(t, "an answer decided behind the limit", c)
	if withdrawn.Load() {
		t.Error("the message was withdrawn as though its client had left")
	}
}

// lateReset is how long an endpoint works on a call before it resets the connection: longer than every limit of a call
// that is not its own time-out (connecting, a stalled answer).
const lateReset = 2 * time.Second

// readCall reads one whole request.
func readCall(in *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(in)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return r, err
}

// resettingHost is an endpoint of destination 7 that holds the first call of each message until reset is closed, and then
// resets its connection; it answers further calls 200 and gives when they came.
func (p *platform) resettingHost(t *testing.T, reset <-chan bool) (again <-chan time.Time) {
	t.Helper()
	repeats := make(chan time.Time, 9)
	addr := serveRaw(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			r, err := readCall(in)
			if err != nil {
				return
			}
			id := r.Header.Get("Request-Id")
			var first bool
			p.set(func() {
				first = !slices.Contains(p.calls, id)
				p.calls = append(p.calls, id)
			})
			if first {
				p.began <- id
				<-reset
				_ = c.(*net.TCPConn).SetLinger(0)
				return
			}
			repeats <- time.Now()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p.hosts = []Member{{Host: "h1", Dial: addr, Site: "a", Class: "m2", Block: 7, Health: "SERVING", Share: 100}}
	return repeats
}

// noticesOf gives the notices that the platform received from a relay that is gone, without those that the relay posted
// again: it does so, and its log tells it, where the platform does not answer a post within postTime, as on a busy machine.
func (p *platform) noticesOf(gone *child) []journal.Notification {
	p.t.Helper()
	notices, log := p.told(), fmt.Sprint(gone.Stderr)
	distinct := slices.Compact(slices.Clone(notices))
	if repeats := len(notices) - len(distinct); repeats > strings.Count(log, "not received") {
		p.t.Errorf("notices %v; log:\n%s", notices, log)
	}
	return distinct
}

// Messages whose calls are reset seconds after they began end as their class says: a fragile one by its notice and without
// a second call, the others by a second call.
func TestLateResetOfAMessage(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	reset := make(chan bool)
	p.resettingHost(t, reset)
	c := p.start()
	for _, class := range []string{"status", "payment", "order"} {
		p.take(class, class, "25")
		p.called()
	}
	time.Sleep(lateReset)
	close(reset)
	p.until("all are over", func() bool { return len(readEntries(t, p.dir)) == 0 })
	p.kill(c)
	calls := p.sent()
	slices.Sort(calls)
	if want := []string{"order", "payment", "payment", "status", "status"}; !slices.Equal(calls, want) {
		t.Errorf("calls %v, want %v", calls, want)
	}
	if n := p.noticesOf(c); len(n) != 1 || n[0] != (journal.Notification{ID: "order", Status: notifier.StatusUndeliverable}) {
		t.Errorf("notices %v", n)
	}
}

// A new process takes over while a keyed message's window for repeats (1 s) runs and its call is out in the old one. The
// window counts from the first sending: an end of the call within it may be followed by a second call, one after it ends
// the message.
func TestHandoverWithinAWindow(t *testing.T) {
	const window = time.Second
	for _, tt := range []struct {
		name        string
		after, dies bool
	}{
		{"reset within the window", false, false},
		{"reset after the window", true, false},
		{"old process killed after the window", true, true},
	} {
		t.Run(strings.ReplaceAll(tt.name, " ", "_"), func(t *testing.T) {
			p := newPlatform(t)
			p.memory = window.Seconds()
			reset := make(chan bool)
			endCall := sync.OnceFunc(func() { close(reset) })
			t.Cleanup(endCall)
			again := p.resettingHost(t, reset)
			p.inherits()
			old := p.start()
			p.take("payment", "m", "25")
			p.called()
			sent := time.Now()
			successor := p.upgrade()
			if took := time.Since(sent); took >= window {
				t.Logf("the handover took %v: the window had ended before it", took)
			}
			if tt.after {
				time.Sleep(time.Until(sent.Add(window)))
			}
			if tt.dies {
				p.kill(old)
			}
			endCall()
			p.until("the message is over", func() bool { return len(readEntries(t, p.dir)) == 0 })
			p.kill(successor)
			calls, notices := p.sent(), p.noticesOf(successor)
			if len(calls)+len(notices) != 2 { // a second call, or the end of the message
				t.Errorf("calls %v, notices %v", calls, notices)
			}
			if tt.after && (len(notices) != 1 || notices[0].Status != notifier.StatusDeferred) {
				t.Errorf("calls %v, notices %v", calls, notices)
			}
			if len(again) > 0 {
				if late := (<-again).Sub(sent); late > window {
					t.Errorf("sent again %v after the first sending", late)
				}
			}
		})
	}
}

// terminate tells a relay to end, and waits until its answers say that it does.
func (p *platform) terminate(t *testing.T, c *child) {
	t.Helper()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.until("it drains", func() bool {
		resp, err := http.Get("http://" + p.addr + "/_health")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.Close
	})
}

// A message whose call is out at SIGTERM and is reset during the planned end gets its end in that process, as its class
// says: its notice, or a second call.
func TestTerminatedBetweenACallAndItsEnd(t *testing.T) {
	for class, want := range map[string]struct{ calls, notices int }{"order": {1, 1}, "payment": {2, 0}, "status": {2, 0}} {
		t.Run(class, func(t *testing.T) {
			p := newPlatform(t)
			reset := make(chan bool)
			p.resettingHost(t, reset)
			old := p.start()
			p.take(class, "m", "25")
			p.called()
			p.terminate(t, old)
			close(reset)
			if err := old.exit(t); err != nil {
				t.Errorf("exit: %v", err)
			}
			if calls, notices := p.sent(), p.noticesOf(old); len(calls) != want.calls || len(notices) != want.notices {
				t.Errorf("calls %v, notices %v, want %d and %d", calls, notices, want.calls, want.notices)
			}
			if e := readEntries(t, p.dir); len(e) != 0 {
				t.Errorf("left in the journal: %v", e)
			}
		})
	}
}

// A notice that the platform does not receive before SIGTERM, nor during the planned end, is posted by the next process.
func TestTerminatedBetweenANoticeAndItsReceipt(t *testing.T) {
	p := newPlatform(t)
	p.deaf = 1 << 30
	reset := make(chan bool)
	close(reset)
	p.resettingHost(t, reset)
	old := p.start()
	p.take("order", "m", "25")
	pending := func() bool {
		e := readEntries(t, p.dir)
		return len(e) == 1 && e[0].PendingNotification != nil
	}
	p.until("its notice is in the journal", pending)
	p.terminate(t, old)
	if err := old.exit(t); err != nil {
		t.Errorf("exit: %v", err)
	}
	if !pending() || len(p.told()) != 0 {
		t.Fatalf("left for the next process: %v; notices %v", readEntries(t, p.dir), p.told())
	}
	p.set(func() { p.deaf = 0 })
	next := p.start()
	p.until("the journal forgets it", func() bool { return len(readEntries(t, p.dir)) == 0 })
	p.kill(next)
	if calls, notices := p.sent(), p.noticesOf(next); len(calls) != 1 || len(notices) != 1 || notices[0] != (journal.Notification{ID: "m", Status: notifier.StatusUndeliverable}) {
		t.Errorf("calls %v, notices %v", calls, notices)
	}
}
