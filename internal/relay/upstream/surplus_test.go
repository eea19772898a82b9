package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"milletsail/internal/relay/socket"
	"milletsail/policy"
)

// emptyOK is a complete response that says that a message was delivered.
const emptyOK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// surplusEndpoint is an endpoint that answers the first request with a response, and sends surplus on the same connection: in the
// same write as the response or, with release set, once that is signaled. It answers other requests with status 500.
type surplusEndpoint struct {
	addr     string
	requests atomic.Int32 // number of requests that arrived completely
}

func startSurplusEndpoint(t *testing.T, response, surplus string, release <-chan bool) *surplusEndpoint {
	t.Helper()
	e := &surplusEndpoint{}
	e.addr = startEndpoint(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for readRequest(in) == nil {
			switch {
			case e.requests.Add(1) > 1:
				_, _ = io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
			case release == nil:
				_, _ = io.WriteString(c, response+surplus)
			default:
				_, _ = io.WriteString(c, response)
				<-release
				_, _ = io.WriteString(c, surplus)
			}
		}
	})
	return e
}

// waitForData waits until bytes have arrived on a connection.
func waitForData(t *testing.T, c *conn) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !socket.HasUnread(c.Conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no data arrived within the time-out")
		}
	}
}

// Guards against taking what an endpoint sends behind a complete response for the response to the next call, so that a message
// counts as delivered or rejected by the response to another. The response itself counts.
func TestSurplusBehindResponse(t *testing.T) {
	const states = `[{"id":"m1","state":"delivered"},{"id":"m2","state":"refused"}]`
	batchOK := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(states), states)
	for _, tt := range []struct {
		name, response string
		batch          bool
		want           policy.Outcome
	}{
		{"delivered", emptyOK, false, policy.OK},
		{"delivered, with a body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false, policy.OK},
		{"rejected", "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno", false, policy.Rejected},
		{"rejected in chunks", "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", false, policy.Rejected},
		{"batch", batchOK, true, policy.OK},
		{"rejected batch", "HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", true, policy.Rejected},
	} {
		for _, surplus := range []string{tt.response, emptyOK, "HTTP/1.1 2", "noise", "\r\n"} {
			p, e := testPool(), startSurplusEndpoint(t, tt.response, surplus, nil)
			if got := p.Do(t.Context(), callWith(e.addr, tt.batch))[0]; got.Outcome != tt.want {
				t.Errorf("%s with surplus %q: outcome %v, want %v", tt.name, surplus, got.Outcome, tt.want)
			}
			if got := p.Do(t.Context(), callWith(e.addr, tt.batch))[0]; got.Outcome != policy.Failed {
				t.Errorf("call after %s with surplus %q: outcome %v, want %v from its own response", tt.name, surplus, got.Outcome,
					policy.Failed)
			}
		}
	}
}

// Guards against a call that is written while surplus of the previous response is on its way: the connection rests before the
// next call, and what arrives in that time closes it.
func TestSurplusWhileConnectionSettles(t *testing.T) {
	release := make(chan bool, 1)
	p, e := testPool(), startSurplusEndpoint(t, emptyOK, emptyOK, release)
	if got := p.Do(t.Context(), testCall(e.addr))[0]; got.Outcome != policy.OK {
		t.Fatalf("first call: outcome %v, want %v", got.Outcome, policy.OK)
	}
	idle := p.idle[e.addr][0]
	idle.idleSince = idle.idleSince.Add(time.Hour) // the response was just read, however slow this test is
	waits := 0
	p.sleep = func(context.Context, time.Duration) bool {
		waits++
		release <- true
		waitForData(t, idle)
		idle.idleSince = idle.idleSince.Add(-time.Hour)
		return true
	}
	if got := p.Do(t.Context(), testCall(e.addr))[0]; got.Outcome != policy.Failed || waits != 1 {
		t.Errorf("second call: outcome %v after %d waits, want %v from its own response after 1", got.Outcome, waits, policy.Failed)
	}
}

// Guards against writing a call on a connection on which surplus of the previous response arrives after the pool's check: the
// call must not be written, so that it can be sent again.
func TestSurplusBeforeWrite(t *testing.T) {
	release := make(chan bool, 1)
	p, e := testPool(), startSurplusEndpoint(t, emptyOK, emptyOK, release)
	p.Do(t.Context(), testCall(e.addr))
	connection, err := p.settle(t.Context(), e.addr, p.popReusable(e.addr))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	release <- true
	waitForData(t, connection)
	got, reuse := p.roundTrip(t.Context(), connection, testCall(e.addr))
	if got[0].Outcome != policy.NotSent || reuse || e.requests.Load() != 1 || p.written.Load() != 1 {
		t.Errorf("got %+v, reuse %v, %d requests at the endpoint and %d counted as written; want NotSent, no reuse and 1 each",
			got, reuse, e.requests.Load(), p.written.Load())
	}
}

// Guards against a call that waits for a connection to settle beyond its time-out, and against losing that connection: the call
// ends unwritten, and the connection serves the next one.
func TestCallEndsWhileConnectionSettles(t *testing.T) {
	var requests atomic.Int32
	addr := startEndpoint(t, func(c net.Conn) {
		for in := bufio.NewReader(c); readRequest(in) == nil; requests.Add(1) {
			_, _ = io.WriteString(c, emptyOK)
		}
	})
	p := testPool()
	p.Do(t.Context(), testCall(addr))
	p.sleep = func(context.Context, time.Duration) bool { return false }
	if got := p.Do(t.Context(), testCall(addr))[0]; got.Outcome != policy.NotSent || p.idleCount != 1 {
		t.Errorf("outcome %v with %d idle connections, want %v with 1", got.Outcome, p.idleCount, policy.NotSent)
	}
}

// Guards against a wait where another connection to the endpoint has settled: the pool takes the most recently used of those,
// and the one that settles first if none has.
func TestSettledConnectionIsPreferred(t *testing.T) {
	p := testPool()
	var all []*conn
	for range 3 {
		local, remote := net.Pipe()
		defer func() { _, _ = local.Close(), remote.Close() }()
		all = append(all, newConn(local))
		p.release("addr", all[len(all)-1])
	}
	resting := all[0].idleSince.Add(time.Hour)
	all[0].idleSince = all[0].idleSince.Add(-2 * time.Minute)
	all[1].idleSince = all[1].idleSince.Add(-time.Minute)
	all[2].idleSince = resting
	for i, want := range []*conn{all[1], all[0], all[2]} {
		if got := p.popIdle("addr"); got != want {
			t.Errorf("take %d: wrong connection", i+1)
		}
	}
}
