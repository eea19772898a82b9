package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/policy"
)

// An answer to a call with several messages that is read after the time of one of them counts for none, also where the
// timer that ends the call is late: here it does not fire in time.
func TestLateAnswerToASharedCall(t *testing.T) {
	answered := `[{"id":"a","state":"delivered"},{"id":"b","state":"delivered"}]`
	addr := rawHost(t, func(c net.Conn) {
		if readRequest(c) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Retry-In-Ms: 250\r\nContent-Length: 63\r\n\r\n" + answered))
		}
	})
	late := result{outcome: policy.TimedOut, wait: 250 * time.Millisecond}
	delivered := result{outcome: policy.OK, over: true, wait: 250 * time.Millisecond}
	for _, c := range []struct {
		name string
		by   instant.Time
		want result
	}{
		{"the time is up", clock.Now(), late},
		{"in time", clock.Now().Add(long), delivered},
		{"no bound", 0, delivered},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), long)
		defer cancel()
		pool := testPool()
		connection, err := pool.get(ctx, addr)
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		call := request{addr: addr, timeout: long, answerBy: c.by, parcels: []parcel{{ID: "a"}, {ID: "b"}}}
		got, reuse := pool.exchange(ctx, connection, call)
		if !slices.Equal(got, []result{c.want, c.want}) || reuse != (c.want == delivered) {
			t.Errorf("%s: %+v, reuse %v", c.name, got, reuse)
		}
	}
}

// readRequest reads one request, and tells whether it came whole.
func readRequest(c net.Conn) bool {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return false
	}
	defer request.Body.Close()
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// An answer has to be read ahead of the time of the message with the least left, by the margin or half of what is left.
func TestAnswerBy(t *testing.T) {
	now := clock.Now()
	sends := func(left ...time.Duration) (all []send) {
		for _, d := range left {
			all = append(all, send{expires: now.Add(d)})
		}
		return all
	}
	for _, c := range []struct {
		left []time.Duration
		want time.Duration
	}{
		{[]time.Duration{time.Minute, time.Second}, time.Second - answerMargin},
		{[]time.Duration{time.Second, time.Minute}, time.Second - answerMargin},
		{[]time.Duration{2 * answerMargin, time.Minute}, answerMargin},
		{[]time.Duration{answerMargin, time.Minute}, answerMargin / 2},
	} {
		if by := answerBy(now, sends(c.left...)); by.Sub(now) != c.want {
			t.Errorf("%v left: by %v, want %v", c.left, by.Sub(now), c.want)
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
		parcels []parcel
		give    bool // up, in place of a time that passes
		want    result
	}{
		{"one message", single, []parcel{{ID: "a"}}, false, result{outcome: policy.OK, over: true}},
		{"two messages", shared, []parcel{{ID: "a"}, {ID: "b"}}, false, result{outcome: policy.OK, over: true}},
		{"nothing has arrived", "", []parcel{{ID: "a"}}, false, result{outcome: policy.TimedOut}},
		{"half a line has arrived", "HTTP/1.1 2", []parcel{{ID: "a"}}, false, result{outcome: policy.TimedOut}},
		{"given up", single, []parcel{{ID: "a"}}, true, result{outcome: policy.Canceled}},
	} {
		t.Run(c.name, func(t *testing.T) {
			answered := make(chan bool)
			addr := rawHost(t, func(host net.Conn) {
				if readRequest(host) {
					_, _ = host.Write([]byte(c.answer))
					close(answered)
					<-t.Context().Done()
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			connection, err := testPool().get(ctx, addr)
			if err != nil {
				t.Fatal(err)
			}
			defer connection.Close()
			raw := connection.Conn
			held := &heldUp{Conn: raw, until: func() {
				<-answered
				for c.answer != "" && !unread(raw) {
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
			held.then = func() { call.over.Store(true); _ = connection.SetDeadline(past) }
			got, _ := testPool().exchange(call, connection, request{addr: addr, timeout: long, parcels: c.parcels})
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
	return h.Conn.(syscall.Conn).SyscallConn()
}

// endedCall is the context of a call that ends when a test says so.
type endedCall struct {
	context.Context
	over atomic.Bool
	err  error
}

func (e *endedCall) Err() error {
	if e.over.Load() {
		return e.err
	}
	return nil
}
