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

// Guards against counting a batch response that is read after the response deadline, when the timer that should end the call
// fires late. In this test that timer does not fire at all.
func TestBatchResponseAfterDeadline(t *testing.T) {
	statuses := `[{"id":"a","state":"delivered"},{"id":"b","state":"delivered"}]`
	addr := startEndpoint(t, func(c net.Conn) {
		if readRequest(bufio.NewReader(c)) == nil {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Retry-In-Ms: 250\r\nContent-Length: 63\r\n\r\n" + statuses))
		}
	})
	late := Result{Outcome: policy.TimedOut, RetryAfter: 250 * time.Millisecond}
	delivered := Result{Outcome: policy.OK, Completed: true, RetryAfter: 250 * time.Millisecond}
	for _, c := range []struct {
		name string
		by   instant.Time
		want Result
	}{
		{"deadline passed", clock.Now(), late},
		{"before the deadline", clock.Now().Add(testTimeout), delivered},
		{"no deadline", 0, delivered},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		pool := testPool()
		connection, err := pool.dial(ctx, addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		call := Call{Addr: addr, Timeout: testTimeout, ResponseDeadline: c.by, Messages: []Message{{ID: "a"}, {ID: "b"}}}
		got, reuse := pool.roundTrip(ctx, connection, call)
		if !slices.Equal(got, []Result{c.want, c.want}) || reuse != (c.want == delivered) {
			t.Errorf("%s: wrong results %+v or reuse %v", c.name, got, reuse)
		}
	}
}

// Guards against discarding a response that arrived before the deadline of its call, when the relay was suspended and reads it
// only after the deadline. A canceled call does not get its response.
func TestResponseArrivedBeforeDeadline(t *testing.T) {
	single := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	bulk := `[{"id":"a","state":"delivered"},{"id":"b","state":"delivered"}]`
	shared := "HTTP/1.1 200 OK\r\nContent-Length: 63\r\n\r\n" + bulk
	for _, c := range []struct {
		name     string
		answer   string
		messages []Message
		cancel   bool // cancels the call, in place of its deadline passing
		want     Result
	}{
		{"one message", single, []Message{{ID: "a"}}, false, Result{Outcome: policy.OK, Completed: true}},
		{"two messages", shared, []Message{{ID: "a"}, {ID: "b"}}, false, Result{Outcome: policy.OK, Completed: true}},
		{"nothing has arrived", "", []Message{{ID: "a"}}, false, Result{Outcome: policy.TimedOut}},
		{"part of the status line has arrived", "HTTP/1.1 2", []Message{{ID: "a"}}, false, Result{Outcome: policy.TimedOut}},
		{"canceled", single, []Message{{ID: "a"}}, true, Result{Outcome: policy.Canceled}},
	} {
		t.Run(c.name, func(t *testing.T) {
			answered := make(chan bool)
			addr := startEndpoint(t, func(server net.Conn) {
				if readRequest(bufio.NewReader(server)) == nil {
					_, _ = server.Write([]byte(c.answer))
					close(answered)
					<-t.Context().Done()
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			connection, err := testPool().dial(ctx, addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = connection.Close() }()
			raw := connection.Conn
			held := &delayedConn{Conn: raw, beforeRead: func() {
				<-answered
				for c.answer != "" && !socket.HasUnread(raw) {
					time.Sleep(time.Millisecond)
				}
			}}
			connection.Conn = held
			expired, done := context.WithDeadline(ctx, time.Now().Add(testTimeout))
			defer done()
			call := &controlledContext{Context: expired, err: context.DeadlineExceeded}
			if c.cancel {
				call.err = context.Canceled
			}
			held.afterWait = func() { call.ended.Store(true); _ = connection.SetDeadline(pastDeadline) }
			got, _ := testPool().roundTrip(call, connection, Call{Addr: addr, Timeout: testTimeout, Messages: c.messages})
			for _, one := range got {
				if one != c.want {
					t.Errorf("result %+v, want %+v", one, c.want)
				}
			}
		})
	}
}

// delayedConn is a connection that calls beforeRead and then afterWait ahead of its first read. beforeRead waits for data to
// arrive, and afterWait ends the call.
type delayedConn struct {
	net.Conn
	beforeRead, afterWait func()
	once                  sync.Once
}

func (h *delayedConn) Read(b []byte) (int, error) {
	h.once.Do(func() {
		h.beforeRead()
		h.afterWait()
	})
	return h.Conn.Read(b)
}

func (h *delayedConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := h.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}

// controlledContext is the context of a call; its Err returns err once the test has set ended.
type controlledContext struct {
	context.Context //nolint:containedctx // the type implements a context
	ended           atomic.Bool
	err             error
}

func (e *controlledContext) Err() error {
	if e.ended.Load() {
		return e.err
	}
	return nil
}

// lateResetDelay is how long an endpoint processes a call before it resets the connection. It is longer than all time limits
// within a call other than Call.Timeout: those for connecting and for a stalled response.
const lateResetDelay = 2 * time.Second

// Guards against missing or misclassifying a reset that comes seconds after the request was written. Like an early reset, it
// means that the message may have been executed.
func TestLateConnectionReset(t *testing.T) {
	for _, tt := range []struct{ name, first string }{
		{"before the response", ""},
		{"after an interim response", "HTTP/1.1 103 wait\r\n\r\n"},
	} {
		t.Run(strings.ReplaceAll(tt.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			began, reset := make(chan time.Time, 1), make(chan bool)
			addr := startEndpoint(t, func(c net.Conn) {
				if err := readRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, tt.first)
				began <- time.Now()
				<-reset
				resetOnClose(c)
			})
			p, call := testPool(), testCall(addr)
			call.Timeout = time.Hour // if the reset goes unnoticed, the test fails by its own time-out
			results := make(chan []Result, 1)
			go func() { results <- p.Do(t.Context(), call) }()
			time.Sleep(time.Until(receive(t, began).Add(lateResetDelay)))
			if len(results) > 0 {
				t.Errorf("the call ended before the reset: %+v", <-results)
			}
			close(reset)
			if got := receive(t, results)[0]; got != (Result{Outcome: policy.Reset}) {
				t.Errorf("result %+v, want outcome Reset", got)
			}
			if p.idleCount != 0 {
				t.Errorf("%d idle connections kept after the reset, want 0", p.idleCount)
			}
		})
	}
}
