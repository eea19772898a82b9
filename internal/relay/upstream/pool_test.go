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

func TestRequestOnTheWire(t *testing.T) {
	heads := make(chan *http.Request, 1)
	bodies := make(chan string, 1)
	addr := rawHost(t, func(c net.Conn) {
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
		t.Errorf("head: %v %v %v", r.Method, r.URL, r.Header)
	}
	if !strings.HasPrefix(r.Header.Get("Request-Timeout"), "8") && r.Header.Get("Request-Timeout") != "90.000" {
		t.Errorf("time-out %q", r.Header.Get("Request-Timeout"))
	}
	if b := <-bodies; b != "a\x00b" {
		t.Errorf("body %q", b)
	}
}

// A call that timed out or was called off is off the wire when its end is reported: the host's side of the
// connection ends.
func TestGivenUpCallIsOffTheWire(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		began, ended := make(chan bool, 1), make(chan error, 1)
		addr := rawHost(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			if err := readCall(in); err != nil {
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
				t.Error("the host read more")
			}
		case <-time.After(long):
			t.Errorf("cancelled %v: the connection is still open", cancelled)
		}
		cancel()
	}
}

// A call that must be written in a time is not written after it, however late its connection comes up.
func TestCallWrittenInTimeOrNot(t *testing.T) {
	calls := make(chan bool, 1)
	addr := rawHost(t, func(c net.Conn) {
		if err := readCall(bufio.NewReader(c)); err == nil {
			calls <- true
		}
	})
	p := testPool()
	p.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		<-ctx.Done() // a connection that does not come up
		return nil
	}
	call := testCall(addr)
	call.WriteTimeout = 20 * time.Millisecond
	if got := p.Do(t.Context(), call)[0]; got.Outcome != policy.NotSent {
		t.Errorf("outcome %v, want %v", got.Outcome, policy.NotSent)
	}
	if len(calls) > 0 {
		t.Error("the call was written")
	}
}

// A call that is withheld while its connection comes up is not written, but the next one goes over that connection.
func TestWithheldCall(t *testing.T) {
	addr := rawHost(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	p := testPool()
	dials := 0
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		if dials++; dials == 1 {
			p.CancelUnwritten(addr)
		}
		return nil
	}
	if got := p.Do(t.Context(), testCall(addr))[0]; got.Outcome != policy.NotSent {
		t.Errorf("withheld: outcome %v, want %v", got.Outcome, policy.NotSent)
	}
	if got := p.Do(t.Context(), testCall(addr))[0]; got.Outcome != policy.OK || dials != 1 {
		t.Errorf("the next: outcome %v, %d connections", got.Outcome, dials)
	}
	p.dialer.Timeout = 0
	if p.Sweep(); len(p.canceledAt) != 0 {
		t.Errorf("remembered: %v", p.canceledAt)
	}
}

// A message that ends while its call waits for a connection is not written with the others of the call.
func TestMessageEndedBeforeItsCallIsWritten(t *testing.T) {
	ids := make(chan string, 1)
	addr := rawHost(t, func(c net.Conn) {
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
			t.Error("settled twice")
		}
		return nil
	}
	got := p.Do(t.Context(), call)
	if got[0].Outcome != policy.NotSent || got[1].Outcome != policy.OK {
		t.Errorf("outcomes %v", got)
	}
	if on := receive(t, ids); on != "/inbox m2" {
		t.Errorf("on the wire: %s", on)
	}
	p = testPool()
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		call.Messages[1].Claim.Acquire()
		return nil
	}
	if got := p.Do(t.Context(), call); got[0].Outcome != policy.NotSent || got[1].Outcome != policy.NotSent || p.idleCount != 1 {
		t.Errorf("all ended: %v, %d connections kept", got, p.idleCount)
	}
}

// A kept connection carries the next call; one that the host has closed carries none, and a call that is
// reset on a kept connection is not made again by itself although it has a key.
func TestReuse(t *testing.T) {
	var conns, calls atomic.Int32
	var mode atomic.Value // what the host does after an answer
	mode.Store("keep")
	closed := make(chan bool, 4)
	addr := rawHost(t, func(c net.Conn) {
		conns.Add(1)
		in := bufio.NewReader(c)
		for {
			if err := readCall(in); err != nil {
				return
			}
			calls.Add(1)
			m := mode.Load() // of this call: the next one's is set as soon as the answer is read
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
		t.Errorf("%d connections kept after a reset", p.idleCount)
	}
}

// What a host sends on a resting connection, half a line or a whole answer, is no answer to the next call.
func TestBytesOnARestingConnection(t *testing.T) {
	for _, stray := range []string{"HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
		var conns atomic.Int32
		sent := make(chan bool, 1)
		addr := rawHost(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			if err := readCall(in); err != nil {
				return
			}
			if conns.Add(1) > 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.WriteString(c, stray)
			sent <- true
			_ = readCall(in)
		})
		p := testPool()
		if got := p.Do(t.Context(), testCall(addr))[0]; got.Outcome != policy.OK {
			t.Errorf("the first call: %v", got.Outcome)
		}
		receive(t, sent)
		if got := p.Do(t.Context(), testCall(addr))[0]; got.Outcome != policy.Failed || conns.Load() != 2 {
			t.Errorf("%q: outcome %v over %d connections", stray, got.Outcome, conns.Load())
		}
	}
}

// A connection that never comes up is given up after the limit for it, and the call has not run.
func TestConnectionThatNeverComesUp(t *testing.T) {
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
		t.Fatalf("an address %v", name)
	}
	addr := fmt.Sprint("127.0.0.1:", local.Port)
	for range 9 { // until its queue is full and what comes is dropped
		c, err := (&net.Dialer{Timeout: 100 * time.Millisecond}).DialContext(t.Context(), "tcp", addr)
		if err != nil {
			break
		}
		defer func() { _ = c.Close() }()
	}
	p := NewPool(50*time.Millisecond, 10*time.Second, 4, &atomic.Int64{})
	if got := p.Do(t.Context(), testCall(addr))[0]; got.Outcome != policy.ConnectError || p.written.Load() != 0 {
		t.Errorf("outcome %v, %d written", got.Outcome, p.written.Load())
	}
}

// A call for which this process has no descriptor left says nothing of the host.
func TestNoDescriptorForACall(t *testing.T) {
	for errno, want := range map[syscall.Errno]policy.Outcome{syscall.EMFILE: policy.NotStarted,
		syscall.ENFILE: policy.NotStarted, syscall.ENOBUFS: policy.NotStarted,
		syscall.ENOMEM: policy.NotStarted, syscall.EADDRNOTAVAIL: policy.NotStarted, syscall.EADDRINUSE: policy.NotStarted,
		syscall.EAGAIN:      policy.NotStarted,
		syscall.ENETUNREACH: policy.NotStarted, syscall.EACCES: policy.NotStarted, syscall.EPERM: policy.NotStarted,
		syscall.ECONNREFUSED: policy.ConnectError, syscall.ETIMEDOUT: policy.ConnectError, syscall.EHOSTUNREACH: policy.ConnectError} {
		p := testPool()
		p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error { return errno }
		if got := p.Do(t.Context(), testCall(rawHost(t, func(net.Conn) {})))[0]; got.Outcome != want {
			t.Errorf("%v: outcome %v, want %v", errno, got.Outcome, want)
		}
	}
}

func TestPoolBounds(t *testing.T) {
	p := NewPool(time.Second, 10*time.Second, 2, &atomic.Int64{})
	var addrs []string
	for range 3 {
		addrs = append(addrs, rawHost(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")))
	}
	for _, addr := range addrs {
		p.Do(t.Context(), testCall(addr))
	}
	if p.idleCount != 2 {
		t.Errorf("%d idle connections kept, want the 2 that there is room for", p.idleCount)
	}
	p.CloseIdle(addrs[0])
	if p.idleCount != 1 || len(p.idle[addrs[0]]) != 0 {
		t.Errorf("after closing one host's: %d", p.idleCount)
	}
	p.idleTimeout = 0
	p.Sweep()
	if p.idleCount != 0 {
		t.Errorf("%d kept past their time", p.idleCount)
	}
}
