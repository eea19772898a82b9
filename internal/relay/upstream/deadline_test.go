package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/socket"
	"milletsail/policy"
)

// An answer to a call with several messages that is read after the time of one of them counts for none, also where the
// timer that ends the call is late: here it does not fire in time.
func TestLateAnswerToASharedCall(t *testing.T) {
	answered := `[{"id":"a","state":"delivered"},{"id":"b","state":"delivered"}]`
	addr := rawHost(t, func(c net.Conn) {
		if readCall(bufio.NewReader(c)) == nil {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Retry-In-Ms: 250\r\nContent-Length: 63\r\n\r\n" + answered))
		}
	})
	late := Result{Outcome: policy.TimedOut, RetryAfter: 250 * time.Millisecond}
	delivered := Result{Outcome: policy.OK, Completed: true, RetryAfter: 250 * time.Millisecond}
	for _, c := range []struct {
		name string
		by   instant.Time
		want Result
	}{
		{"the time is up", clock.Now(), late},
		{"in time", clock.Now().Add(long), delivered},
		{"no bound", 0, delivered},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), long)
		defer cancel()
		pool := testPool()
		connection, err := pool.acquire(ctx, addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		call := Call{Addr: addr, Timeout: long, ResponseDeadline: c.by, Messages: []Message{{ID: "a"}, {ID: "b"}}}
		got, reuse := pool.roundTrip(ctx, connection, call)
		if !slices.Equal(got, []Result{c.want, c.want}) || reuse != (c.want == delivered) {
			t.Errorf("%s: %+v, reuse %v", c.name, got, reuse)
		}
	}
}

// An answer that has arrived counts although the time of its call is up when the relay comes to read it, as after it was held
// up; a call that was given up on purpose has none.
func TestAnswerThatHasArrived(t *testing.T) {
	single := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	bulk := `[{"id":"a","state":"delivered"},{"id":"b","state":"delivered"}]`
	shared := "HTTP/1.1 200 OK\r\nContent-Length: 63\r\n\r\n" + bulk
	for _, c := range []struct {
		name    string
		answer  string
		parcels []Message
		give    bool // up, in place of a time that passes
		want    Result
	}{
		{"one message", single, []Message{{ID: "a"}}, false, Result{Outcome: policy.OK, Completed: true}},
		{"two messages", shared, []Message{{ID: "a"}, {ID: "b"}}, false, Result{Outcome: policy.OK, Completed: true}},
		{"nothing has arrived", "", []Message{{ID: "a"}}, false, Result{Outcome: policy.TimedOut}},
		{"half a line has arrived", "HTTP/1.1 2", []Message{{ID: "a"}}, false, Result{Outcome: policy.TimedOut}},
		{"given up", single, []Message{{ID: "a"}}, true, Result{Outcome: policy.Canceled}},
	} {
		t.Run(c.name, func(t *testing.T) {
			answered := make(chan bool)
			addr := rawHost(t, func(host net.Conn) {
				if readCall(bufio.NewReader(host)) == nil {
					_, _ = host.Write([]byte(c.answer))
					close(answered)
					<-t.Context().Done()
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			connection, err := testPool().acquire(ctx, addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = connection.Close() }()
			raw := connection.Conn
			held := &heldUp{Conn: raw, until: func() {
				<-answered
				for c.answer != "" && !socket.HasUnread(raw) {
					time.Sleep(time.Millisecond)
				}
			}}
			connection.Conn = held
			expired, done := context.WithDeadline(ctx, time.Now().Add(long))
			defer done()
			call := &endedCall{Context: expired, err: context.DeadlineExceeded}
			if c.give {
				call.err = context.Canceled
			}
			held.then = func() { call.over.Store(true); _ = connection.SetDeadline(pastDeadline) }
			got, _ := testPool().roundTrip(call, connection, Call{Addr: addr, Timeout: long, Messages: c.parcels})
			for _, one := range got {
				if one != c.want {
					t.Errorf("%+v, want %+v", one, c.want)
				}
			}
		})
	}
}

// heldUp is a connection whose reader is held up before its first read, until something has happened, and then finds
// that something else has, too.
type heldUp struct {
	net.Conn
	until, then func()
	once        sync.Once
}

func (h *heldUp) Read(b []byte) (int, error) {
	h.once.Do(func() {
		h.until()
		h.then()
	})
	return h.Conn.Read(b)
}

func (h *heldUp) SyscallConn() (syscall.RawConn, error) {
	raw, ok := h.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}

// endedCall is the context of a call that ends when a test says so.
type endedCall struct {
	context.Context //nolint:containedctx // it stands for a context
	over            atomic.Bool
	err             error
}

func (e *endedCall) Err() error {
	if e.over.Load() {
		return e.err
	}
	return nil
}

// lateReset is how long an endpoint works on a call before it resets the connection: longer than every limit of a call
// that is not its own time-out (connecting, a stalled answer).
const lateReset = 2 * time.Second

// A reset seconds after the call was written means that it may have run, as one at once does.
func TestLateResetOfACall(t *testing.T) {
	for _, tt := range []struct{ name, first string }{
		{"before the answer", ""},
		{"after an interim answer", "HTTP/1.1 103 wait\r\n\r\n"},
	} {
		t.Run(strings.ReplaceAll(tt.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			began, reset := make(chan time.Time, 1), make(chan bool)
			addr := rawHost(t, func(c net.Conn) {
				if err := readCall(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, tt.first)
				began <- time.Now()
				<-reset
				resetAtClose(c)
			})
			p, call := testPool(), testCall(addr)
			call.Timeout = time.Hour // a reset that is not noticed fails by the test's own end
			results := make(chan []Result, 1)
			go func() { results <- p.Do(t.Context(), call) }()
			time.Sleep(time.Until(receive(t, began).Add(lateReset)))
			if len(results) > 0 {
				t.Errorf("the call ended before its reset: %+v", <-results)
			}
			close(reset)
			if got := receive(t, results)[0]; got != (Result{Outcome: policy.Reset}) {
				t.Errorf("result %+v", got)
			}
			if p.idleCount != 0 {
				t.Errorf("%d connections kept after the reset", p.idleCount)
			}
		})
	}
}
