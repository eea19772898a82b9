package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletsail/policy"
)

// Guards against changes of the request format: the method, path, headers and body are fixed by the protocol.
func TestRequestFormat(t *testing.T) {
	heads := make(chan *http.Request, 1)
	bodies := make(chan string, 1)
	addr := startEndpoint(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		b, _ := io.ReadAll(r.Body)
		heads <- r
		bodies <- string(b)
	})
	call := testCall(addr)
	call.Timeout = 90 * time.Second
	testPool().Do(t.Context(), call)
	r := <-heads
	if r.Method != "POST" || r.URL.Path != "/inbox" || r.Header.Get("Request-Id") != "m1" ||
		r.Header.Get("Idempotency-Key") != "k1" || r.ContentLength != 3 {
		t.Errorf("wrong method, URL, headers or content length: %v %v %v", r.Method, r.URL, r.Header)
	}
	if !strings.HasPrefix(r.Header.Get("Request-Timeout"), "8") && r.Header.Get("Request-Timeout") != "90.000" {
		t.Errorf("Request-Timeout %q, want just under 90 s", r.Header.Get("Request-Timeout"))
	}
	if b := <-bodies; b != "a\x00b" {
		t.Errorf("body %q, want the message's bytes", b)
	}
}

// Guards against a call that timed out or was canceled but stays in flight: when Do returns, its connection has to be closed,
// which the endpoint sees.
func TestEndedCallIsNotInFlight(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		began, ended := make(chan bool, 1), make(chan error, 1)
		addr := startEndpoint(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			if err := readRequest(in); err != nil {
				return
			}
			began <- true
			_, err := in.ReadByte()
			ended <- err
		})
		ctx, cancel := context.WithCancel(t.Context())
		call := testCall(addr)
		want := policy.TimedOut
		if cancelled {
			want = policy.Canceled
			go func() {
				<-began
				cancel()
			}()
		} else {
			call.Timeout = 50 * time.Millisecond
		}
		if got := testPool().Do(ctx, call)[0]; got.Outcome != want {
			t.Errorf("cancelled %v: outcome %v, want %v", cancelled, got.Outcome, want)
		}
		select {
		case err := <-ended:
			if err == nil {
				t.Error("the endpoint read more data, want the end of the connection")
			}
		case <-time.After(testTimeout):
			t.Errorf("cancelled %v: the endpoint's connection is still open", cancelled)
		}
		cancel()
	}
}

// Guards against writing a request after its WriteTimeout because the connection took long to open.
func TestWriteTimeout(t *testing.T) {
	calls := make(chan bool, 1)
	addr := startEndpoint(t, func(c net.Conn) {
		if err := readRequest(bufio.NewReader(c)); err == nil {
			calls <- true
		}
	})
	p := testPool()
	p.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		<-ctx.Done() // the connection does not open in time
		return nil
	}
	call := testCall(addr)
	call.WriteTimeout = 20 * time.Millisecond
	if got := p.Do(t.Context(), call)[0]; got.Outcome != policy.NotSent {
		t.Errorf("outcome %v, want %v", got.Outcome, policy.NotSent)
	}
	if len(calls) > 0 {
		t.Error("the request was written after its write time-out")
	}
}

// Guards against writing a call that CancelUnwritten canceled while its connection was being opened. The connection has to be
// kept and used by the next call.
func TestCancelUnwritten(t *testing.T) {
	addr := startEndpoint(t, respondAlways("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	p := testPool()
	dials := 0
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		if dials++; dials == 1 {
			p.CancelUnwritten(addr)
		}
		return nil
	}
	if got := p.Do(t.Context(), testCall(addr))[0]; got.Outcome != policy.NotSent {
		t.Errorf("canceled call: outcome %v, want %v", got.Outcome, policy.NotSent)
	}
	if got := p.Do(t.Context(), testCall(addr))[0]; got.Outcome != policy.OK || dials != 1 {
		t.Errorf("next call: outcome %v over %d connections, want OK over the first one", got.Outcome, dials)
	}
	p.dialer.Timeout = 0
	if p.Sweep(); len(p.canceledAt) != 0 {
		t.Errorf("cancellations kept after Sweep: %v, want none", p.canceledAt)
	}
}

// Guards against writing a message that ended while its call waited for a connection. The other messages of the call have to be
// written; if none is left, the connection has to be kept.
func TestEndedMessageIsNotWritten(t *testing.T) {
	ids := make(chan string, 1)
	addr := startEndpoint(t, func(c net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			ids <- r.URL.Path + " " + r.Header.Get("Request-Id")
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	call := testCall(addr)
	call.Messages = append(call.Messages, Message{ID: "m2"})
	for i := range call.Messages {
		call.Messages[i].Claim = new(WriteClaim)
	}
	p := testPool()
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		if !call.Messages[0].Claim.Acquire() {
			t.Error("the claim of the first message was already acquired")
		}
		return nil
	}
	got := p.Do(t.Context(), call)
	if got[0].Outcome != policy.NotSent || got[1].Outcome != policy.OK {
		t.Errorf("results %v, want outcomes NotSent and OK", got)
	}
	if on := receive(t, ids); on != "/inbox m2" {
		t.Errorf("request written: %s, want \"/inbox m2\"", on)
	}
	p = testPool()
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		call.Messages[1].Claim.Acquire()
		return nil
	}
	if got := p.Do(t.Context(), call); got[0].Outcome != policy.NotSent || got[1].Outcome != policy.NotSent || p.idleCount != 1 {
		t.Errorf("all messages ended: results %v, %d connections kept; want NotSent for both and 1 connection",
			got, p.idleCount)
	}
}

// Guards against a second execution by an automatic resend: a call that is reset on a kept connection must not be sent again,
// even if its message has an idempotency key. Also checks that open connections are reused and closed ones are not.
func TestConnectionReuse(t *testing.T) {
	var conns, calls atomic.Int32
	var mode atomic.Value // what the endpoint does with a request
	mode.Store("keep")
	closed := make(chan bool, 4)
	addr := startEndpoint(t, func(c net.Conn) {
		conns.Add(1)
		in := bufio.NewReader(c)
		for {
			if err := readRequest(in); err != nil {
				return
			}
			calls.Add(1)
			m := mode.Load() // read before the response, since the test sets the next mode once it has read that
			if m == "reset" {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			if m == "close" {
				_ = c.Close()
				closed <- true
				return
			}
		}
	})
	p := testPool()
	step := func(m string, want policy.Outcome, wantConns, wantCalls int32) {
		t.Helper()
		mode.Store(m)
		if got := p.Do(t.Context(), testCall(addr))[0]; got.Outcome != want {
			t.Errorf("%s: outcome %v, want %v", m, got.Outcome, want)
		}
		if conns.Load() != wantConns || calls.Load() != wantCalls {
			t.Errorf("%s: %d connections and %d calls, want %d and %d", m, conns.Load(), calls.Load(), wantConns, wantCalls)
		}
	}
	step("keep", policy.OK, 1, 1)
	step("close", policy.OK, 1, 2)
	<-closed
	step("keep", policy.OK, 2, 3)
	step("reset", policy.Reset, 2, 4)
	p.Sweep()
	if p.idleCount != 0 {
		t.Errorf("%d idle connections kept after a reset, want 0", p.idleCount)
	}
}

// Guards against taking bytes that an endpoint sent on an idle connection, part of a line or a whole response, for the response
// to the next call.
func TestUnsolicitedBytesOnIdleConnection(t *testing.T) {
	for _, stray := range []string{"HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
		var conns atomic.Int32
		sent := make(chan bool, 1)
		addr := startEndpoint(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			if err := readRequest(in); err != nil {
				return
			}
			if conns.Add(1) > 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.WriteString(c, stray)
			sent <- true
			_ = readRequest(in)
		})
		p := testPool()
		if got := p.Do(t.Context(), testCall(addr))[0]; got.Outcome != policy.OK {
			t.Errorf("first call: outcome %v, want OK", got.Outcome)
		}
		receive(t, sent)
		if got := p.Do(t.Context(), testCall(addr))[0]; got.Outcome != policy.Failed || conns.Load() != 2 {
			t.Errorf("unsolicited bytes %q: second call ended with outcome %v after %d connections, want Failed after 2",
				stray, got.Outcome, conns.Load())
		}
	}
}

// Guards against a call that hangs while connecting to an endpoint that drops connection attempts: it has to end after the
// connect time-out, as not executed.
func TestConnectTimeout(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	local, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("socket address %v, want an IPv4 address", name)
	}
	addr := fmt.Sprint("127.0.0.1:", local.Port)
	for range 9 { // fills the accept queue, after which the kernel drops connection attempts
		c, err := (&net.Dialer{Timeout: 100 * time.Millisecond}).DialContext(t.Context(), "tcp", addr)
		if err != nil {
			break
		}
		defer func() { _ = c.Close() }()
	}
	p := NewPool(50*time.Millisecond, 10*time.Second, 4, &atomic.Int64{})
	if got := p.Do(t.Context(), testCall(addr))[0]; got.Outcome != policy.ConnectError || p.written.Load() != 0 {
		t.Errorf("outcome %v with %d messages written, want ConnectError with 0", got.Outcome, p.written.Load())
	}
}

// Guards against blaming an endpoint for a local failure to connect, such as a lack of descriptors: the outcome is NotStarted.
// Errors that the peer or network causes have the outcome ConnectError.
func TestConnectErrorClassification(t *testing.T) {
	for errno, want := range map[syscall.Errno]policy.Outcome{syscall.EMFILE: policy.NotStarted,
		syscall.ENFILE: policy.NotStarted, syscall.ENOBUFS: policy.NotStarted,
		syscall.ENOMEM: policy.NotStarted, syscall.EADDRNOTAVAIL: policy.NotStarted, syscall.EADDRINUSE: policy.NotStarted,
		syscall.EAGAIN:      policy.NotStarted,
		syscall.ENETUNREACH: policy.NotStarted, syscall.EACCES: policy.NotStarted, syscall.EPERM: policy.NotStarted,
		syscall.ECONNREFUSED: policy.ConnectError, syscall.ETIMEDOUT: policy.ConnectError, syscall.EHOSTUNREACH: policy.ConnectError} {
		p := testPool()
		p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error { return errno }
		if got := p.Do(t.Context(), testCall(startEndpoint(t, func(net.Conn) {})))[0]; got.Outcome != want {
			t.Errorf("connect failed with %v: outcome %v, want %v", errno, got.Outcome, want)
		}
	}
}

// Guards against idle connections beyond the capacity or the idle time-out, and against CloseIdle closing those of other
// endpoints.
func TestPoolCapacity(t *testing.T) {
	p := NewPool(time.Second, 10*time.Second, 2, &atomic.Int64{})
	var addrs []string
	for range 3 {
		addrs = append(addrs, startEndpoint(t, respondAlways("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")))
	}
	for _, addr := range addrs {
		p.Do(t.Context(), testCall(addr))
	}
	if p.idleCount != 2 {
		t.Errorf("%d idle connections kept, want the capacity of 2", p.idleCount)
	}
	p.CloseIdle(addrs[0])
	if p.idleCount != 1 || len(p.idle[addrs[0]]) != 0 {
		t.Errorf("after CloseIdle of one address: %d idle connections, want 1 to another address", p.idleCount)
	}
	p.idleTimeout = 0
	p.Sweep()
	if p.idleCount != 0 {
		t.Errorf("%d idle connections kept after their idle time-out, want 0", p.idleCount)
	}
}
