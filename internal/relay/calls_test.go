package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletsail/policy"
)

// long is longer than anything that a test waits for in vain.
const long = 20 * time.Second

// rawHost serves each connection to a host by a function.
func rawHost(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// readCall reads one whole request.
func readCall(in *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(in)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return r, err
}

// answering gives every request of a connection the same answer.
func answering(text string) func(net.Conn) {
	return func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			if _, err := readCall(in); err != nil {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

func testPool() *pool { return newPool(time.Second, 10*time.Second, 4, &atomic.Int64{}) }

func testCall(addr string) request {
	return request{addr: addr, parcels: []parcel{{ID: "m1", Key: "k1", Body: []byte("a\x00b")}}, timeout: long}
}

func TestOutcomes(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	readThen := func(do func(c net.Conn)) string {
		return rawHost(t, func(c net.Conn) {
			if _, err := readCall(bufio.NewReader(c)); err == nil {
				do(c)
			}
		})
	}
	reply := func(text string) string { return rawHost(t, answering(text)) }
	tests := []struct {
		name string
		addr string
		want result
	}{
		{"delivered", reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"), result{outcome: policy.OK, over: true}},
		{"an interim answer ahead", reply("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
			result{outcome: policy.OK, over: true}},
		{"error", reply("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), result{outcome: policy.Failed}},
		{"told to wait", reply("HTTP/1.1 429 No\r\nX-Retry-In-Ms: 250\r\nContent-Length: 0\r\n\r\n"),
			result{outcome: policy.Rejected, wait: 250 * time.Millisecond}},
		{"turned away", reply("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), result{outcome: policy.Rejected}},
		{"no slot", reply("HTTP/1.1 503 No\r\nX-No-Slot: 1\r\nContent-Length: 0\r\n\r\n"), result{outcome: policy.NotSent}},
		{"attempts spent", reply("HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n"), result{outcome: policy.NotSent, spent: true}},
		{"over", reply("HTTP/1.1 410 No\r\nContent-Length: 0\r\n\r\n"), result{outcome: policy.NotSent, over: true}},
		{"connection refused", closed.Addr().String(), result{outcome: policy.ConnectError}},
		{"closed with no answer", readThen(func(net.Conn) {}), result{outcome: policy.Reset}},
		{"reset", readThen(func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }), result{outcome: policy.Reset}},
		{"a head without end", readThen(func(c net.Conn) {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for err == nil {
				_, err = io.WriteString(c, "X-More: and more\r\n")
			}
		}), result{outcome: policy.OK, over: true}},
		{"a head that can't be read", reply("HTTP/1.1 200 OK\r\nno header\r\n\r\n"), result{outcome: policy.OK, over: true}},
		{"an error's head that can't be read", reply("HTTP/1.1 500 No\r\nno header\r\n\r\n"),
			result{outcome: policy.Reset}},
		{"half a first line, then an end", readThen(func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK") }),
			result{outcome: policy.Reset}},
		{"half a first line, then a reset", readThen(func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 ")
			_ = c.(*net.TCPConn).SetLinger(0)
		}), result{outcome: policy.Reset}},
		{"half a first line, then silence", readThen(func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r")
			_, _ = c.Read(make([]byte, 1))
		}), result{outcome: policy.Reset}},
		{"a first line in pieces", readThen(func(c net.Conn) {
			for _, piece := range []string{"HTTP/1", ".1 200 O", "K\r", "\n"} {
				_, _ = io.WriteString(c, piece)
				time.Sleep(time.Millisecond) // so that most come apart; the outcome is the same if they do not
			}
		}), result{outcome: policy.OK, over: true}},
		{"a longer status", reply("HTTP/1.1 2000 OK\r\n\r\n"), result{outcome: policy.Reset}},
		{"a body without end", readThen(func(c net.Conn) {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat("more", 1000))
			}
		}), result{outcome: policy.OK, over: true}},
		{"no HTTP", readThen(func(c net.Conn) { _, _ = io.WriteString(c, "what?\r\n\r\n") }), result{outcome: policy.Reset}},
	}
	for _, tt := range tests {
		if got := testPool().call(t.Context(), testCall(tt.addr))[0]; got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// A call with several messages tells each one's end, or one for all.
func TestBulkOutcomes(t *testing.T) {
	reply := func(head, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	wait := 250 * time.Millisecond
	failed := result{outcome: policy.Failed}
	tests := []struct {
		name, answer string
		want         []result
	}{
		{"each its end", reply("200 OK\r\nX-Retry-In-Ms: 250", `[{"id":"e","state":"spent"},{"id":"a","state":"delivered"},
		 {"id":"b","state":"failed"},{"id":"c","state":"refused"},{"id":"d","state":"over"},{"id":"z","state":"delivered"}]`),
			[]result{{outcome: policy.OK, over: true, wait: wait}, {outcome: policy.Failed, wait: wait},
				{outcome: policy.Rejected, wait: wait}, {outcome: policy.NotSent, over: true, wait: wait},
				{outcome: policy.NotSent, spent: true, wait: wait}}},
		{"one is missing", reply("200 OK", `[{"id":"a","state":"delivered"},{"id":"b","state":"odd"}]`),
			[]result{{outcome: policy.OK, over: true}, failed, failed, failed, failed}},
		{"unreadable", reply("200 OK", `delivered`), slices.Repeat([]result{failed}, 5)},
		{"cut off", "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n[{", slices.Repeat([]result{{outcome: policy.Reset}}, 5)},
		{"error", reply("500 No", ""), slices.Repeat([]result{failed}, 5)},
		{"told to wait", reply("429 No\r\nX-Retry-In-Ms: 250", ""),
			slices.Repeat([]result{{outcome: policy.Rejected, wait: wait}}, 5)},
		{"too many", reply("413 No", ""), slices.Repeat([]result{{outcome: policy.NotSent}}, 5)},
		{"not understood", reply("400 No", ""), slices.Repeat([]result{{outcome: policy.NotSent}}, 5)},
	}
	for _, tt := range tests {
		paths, bodies := make(chan string, 1), make(chan []byte, 1)
		addr := rawHost(t, func(c net.Conn) {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			paths <- r.URL.Path
			bodies <- body
			_, _ = io.WriteString(c, tt.answer)
		})
		call := request{addr: addr, timeout: long}
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			call.parcels = append(call.parcels, parcel{ID: id, Key: "k" + id, Body: []byte("hello")})
		}
		if got := testPool().call(t.Context(), call); !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
		var sent []map[string]string
		if err := json.Unmarshal(<-bodies, &sent); err != nil || len(sent) != 5 || sent[1]["id"] != "b" ||
			sent[1]["key"] != "kb" || sent[1]["body"] != "aGVsbG8=" {
			t.Errorf("%s: sent %v (%v)", tt.name, sent, err)
		}
		if path := <-paths; path != "/inbox/bulk" {
			t.Errorf("%s: path %s", tt.name, path)
		}
	}
}

func TestReport(t *testing.T) {
	for text, want := range map[string]*policy.LoadReport{
		"x0=0.4,x1=25": {Remaining: 0.4, Limit: 25}, "x1=3, x0=0": {Limit: 3}, "": nil, "x0=0.4": nil, "x0=NaN,x1=1": nil,
		"x0=-1,x1=2": nil, "x0=a,x1=2": nil, "x0=1;x1=2": nil,
	} {
		if got := parseReport(text); (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
}

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
	call.timeout = 90 * time.Second
	testPool().call(t.Context(), call)
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

// A host that stops in the middle of its answer does not hold the call to its end; one that works long before it
// answers, or between an interim answer and the real one, does.
func TestStalledAnswers(t *testing.T) {
	slow := make(chan bool)
	time.AfterFunc(3*stallTime/2, func() { close(slow) })
	tests := []struct {
		name, first, rest string
		bulk              bool
		want              policy.Outcome
	}{
		{"in the first line", "HTTP/1.1 20", "", false, policy.Reset},
		{"after a first line that says 200", "HTTP/1.1 200 OK\r\nContent-Le", "", false, policy.OK},
		{"the same, but only the body tells", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n[", "", true, policy.Reset},
		{"in the head of a refusal", "HTTP/1.1 503 no\r\n", "", false, policy.Reset},
		{"before the first byte", "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, policy.OK},
		{"after an interim answer", "HTTP/1.1 103 wait\r\n\r\n", "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n", false, policy.Failed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			gone := make(chan error, 1)
			addr := rawHost(t, func(c net.Conn) {
				in := bufio.NewReader(c)
				if _, err := readCall(in); err != nil {
					return
				}
				_, _ = io.WriteString(c, tt.first)
				if tt.rest != "" {
					<-slow
					_, _ = io.WriteString(c, tt.rest)
				}
				_, err := in.ReadByte()
				gone <- err
			})
			p, call := testPool(), testCall(addr)
			call.timeout = time.Hour // a stalled answer that is waited for fails by the test's own end
			if tt.bulk {
				call.parcels = append(call.parcels, parcel{ID: "m2"})
			}
			if got := p.call(t.Context(), call)[0]; got.outcome != tt.want {
				t.Errorf("outcome %v, want %v", got.outcome, tt.want)
			}
			if tt.rest != "" {
				p.closeIf(func(string, *conn) bool { return true })
			}
			receive(t, gone)
		})
	}
}

// A call that timed out or was called off is off the wire when its end is reported: the host's side of the
// connection ends.
func TestGivenUpCallIsOffTheWire(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		began, ended := make(chan bool, 1), make(chan error, 1)
		addr := rawHost(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			if _, err := readCall(in); err != nil {
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
			call.timeout = 50 * time.Millisecond
		}
		if got := testPool().call(ctx, call)[0]; got.outcome != want {
			t.Errorf("cancelled %v: outcome %v, want %v", cancelled, got.outcome, want)
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
		if _, err := readCall(bufio.NewReader(c)); err == nil {
			calls <- true
		}
	})
	p := testPool()
	p.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		<-ctx.Done() // a connection that does not come up
		return nil
	}
	call := testCall(addr)
	call.within = 20 * time.Millisecond
	if got := p.call(t.Context(), call)[0]; got.outcome != policy.NotSent {
		t.Errorf("outcome %v, want %v", got.outcome, policy.NotSent)
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
			p.withhold(addr)
		}
		return nil
	}
	if got := p.call(t.Context(), testCall(addr))[0]; got.outcome != policy.NotSent {
		t.Errorf("withheld: outcome %v, want %v", got.outcome, policy.NotSent)
	}
	if got := p.call(t.Context(), testCall(addr))[0]; got.outcome != policy.OK || dials != 1 {
		t.Errorf("the next: outcome %v, %d connections", got.outcome, dials)
	}
	p.dialer.Timeout = 0
	if p.sweep(); len(p.held) != 0 {
		t.Errorf("remembered: %v", p.held)
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
	call.parcels = append(call.parcels, parcel{ID: "m2"})
	for i := range call.parcels {
		call.parcels[i].fate = new(fate)
	}
	p := testPool()
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		if !call.parcels[0].fate.settle() {
			t.Error("settled twice")
		}
		return nil
	}
	got := p.call(t.Context(), call)
	if got[0].outcome != policy.NotSent || got[1].outcome != policy.OK {
		t.Errorf("outcomes %v", got)
	}
	if on := receive(t, ids); on != "/inbox m2" {
		t.Errorf("on the wire: %s", on)
	}
	p = testPool()
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		call.parcels[1].fate.settle()
		return nil
	}
	if got := p.call(t.Context(), call); got[0].outcome != policy.NotSent || got[1].outcome != policy.NotSent || p.count != 1 {
		t.Errorf("all ended: %v, %d connections kept", got, p.count)
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
			if _, err := readCall(in); err != nil {
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
		if got := p.call(t.Context(), testCall(addr))[0]; got.outcome != want {
			t.Errorf("%s: outcome %v, want %v", m, got.outcome, want)
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
	p.sweep()
	if p.count != 0 {
		t.Errorf("%d connections kept after a reset", p.count)
	}
}

// What a host sends on a resting connection, half a line or a whole answer, is no answer to the next call.
func TestBytesOnARestingConnection(t *testing.T) {
	for _, stray := range []string{"HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
		var conns atomic.Int32
		sent := make(chan bool, 1)
		addr := rawHost(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			if _, err := readCall(in); err != nil {
				return
			}
			if conns.Add(1) > 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.WriteString(c, stray)
			sent <- true
			_, _ = readCall(in)
		})
		p := testPool()
		if got := p.call(t.Context(), testCall(addr))[0]; got.outcome != policy.OK {
			t.Errorf("the first call: %v", got.outcome)
		}
		receive(t, sent)
		if got := p.call(t.Context(), testCall(addr))[0]; got.outcome != policy.Failed || conns.Load() != 2 {
			t.Errorf("%q: outcome %v over %d connections", stray, got.outcome, conns.Load())
		}
	}
}

// A connection that never comes up is given up after the limit for it, and the call has not run.
func TestConnectionThatNeverComesUp(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	for range 9 { // until its queue is full and what comes is dropped
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	p := newPool(50*time.Millisecond, 10*time.Second, 4, &atomic.Int64{})
	if got := p.call(t.Context(), testCall(addr))[0]; got.outcome != policy.ConnectError || p.written.Load() != 0 {
		t.Errorf("outcome %v, %d written", got.outcome, p.written.Load())
	}
}

// A call for which this process has no descriptor left says nothing of the host.
func TestNoDescriptorForACall(t *testing.T) {
	for errno, want := range map[syscall.Errno]policy.Outcome{syscall.EMFILE: policy.NotStarted, syscall.ENFILE: policy.NotStarted, syscall.ENOBUFS: policy.NotStarted,
		syscall.ENOMEM: policy.NotStarted, syscall.EADDRNOTAVAIL: policy.NotStarted, syscall.EADDRINUSE: policy.NotStarted, syscall.EAGAIN: policy.NotStarted,
		syscall.ENETUNREACH: policy.NotStarted, syscall.EACCES: policy.NotStarted, syscall.EPERM: policy.NotStarted,
		syscall.ECONNREFUSED: policy.ConnectError, syscall.ETIMEDOUT: policy.ConnectError, syscall.EHOSTUNREACH: policy.ConnectError} {
		p := testPool()
		p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error { return errno }
		if got := p.call(t.Context(), testCall(rawHost(t, func(net.Conn) {})))[0]; got.outcome != want {
			t.Errorf("%v: outcome %v, want %v", errno, got.outcome, want)
		}
	}
}

func TestPoolBounds(t *testing.T) {
	p := newPool(time.Second, 10*time.Second, 2, &atomic.Int64{})
	var addrs []string
	for range 3 {
		addrs = append(addrs, rawHost(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")))
	}
	for _, addr := range addrs {
		p.call(t.Context(), testCall(addr))
	}
	if p.count != 2 {
		t.Errorf("%d idle connections kept, want the 2 that there is room for", p.count)
	}
	p.closeIdle(addrs[0])
	if p.count != 1 || len(p.idle[addrs[0]]) != 0 {
		t.Errorf("after closing one host's: %d", p.count)
	}
	p.keep = 0
	p.sweep()
	if p.count != 0 {
		t.Errorf("%d kept past their time", p.count)
	}
}
