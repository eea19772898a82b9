package frontend

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/relay/socket"
)

// The tests of this file force a certain order of concurrent events at the end of a request or connection, on real connections.
// docs/endings.md lists these orders and the test of each.

// Guards against handling a request that arrives between the idle time-out of its connection and the relay's close: it must not
// be accepted, and the client has to see the connection end without a response, so that it may send the request again.
func TestRequestRacesWithIdleClose(t *testing.T) {
	t.Parallel()
	expired, arrived := make(chan *hookedConn, 1), make(chan bool)
	ids := make(chan string, 9)
	limiter := hookedServer(t, 9, readHooks{expired: func(c *hookedConn) {
		if c.number == 1 {
			expired <- c
			<-arrived
		}
	}}, acceptAll(ids), nil)
	c := dial(t, limiter)
	write(t, c, messageRequest("first"))
	wantAccepted(t, "request before the idle time-out", c)

	relaySide := receive(t, expired)
	write(t, c, messageRequest("crossing"))
	eventually(t, "the request is in the relay's buffer", func() bool { return socket.HasUnread(relaySide) })
	close(arrived)
	if got, err := io.ReadAll(c); len(got) > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("on the closed connection: read %q and error %v, want no data", got, err)
	}
	eventually(t, "the connection is removed from the limiter", func() bool { return limiter.Count() == 0 })
	if got := drainSorted(ids); !slices.Equal(got, []string{"first"}) {
		t.Errorf("accepted %v, want only the first request", got)
	}

	again := dial(t, limiter)
	write(t, again, messageRequest("crossing"))
	wantAccepted(t, "request sent again", again)
	if got := drainSorted(ids); !slices.Equal(got, []string{"crossing"}) {
		t.Errorf("accepted %v after the first request, want only the one sent again", got)
	}
}

// Guards against evicting a connection whose request has arrived but is not read yet. As the one idle for longest it would be
// evicted first; another connection has to be evicted instead.
func TestConnectionWithUnreadRequestIsNotEvicted(t *testing.T) {
	resumeRead := make(chan bool)
	release := sync.OnceFunc(func() { close(resumeRead) })
	t.Cleanup(release)
	relaySides := make(chan *hookedConn, 1)
	var held atomic.Bool
	ids := make(chan string, 9)
	limiter := hookedServer(t, 2, readHooks{before: func(c *hookedConn) {
		if c.number == 1 && held.CompareAndSwap(false, true) {
			relaySides <- c
			<-resumeRead
			_ = c.SetReadDeadline(time.Time{}) // the delay came from the test, not from the client
		}
	}}, acceptAll(ids), nil)
	oldest := dial(t, limiter)
	relaySide := receive(t, relaySides)
	silent := dial(t, limiter)
	eventually(t, "the limiter is at its capacity", func() bool { return limiter.Count() == 2 })
	limiter.any(func(c *Connection) bool { c.progress.slow = true; return false }) // an earlier request was sent slowly
	write(t, oldest, messageRequest("unread"))
	eventually(t, "the request is in the relay's buffer", func() bool { return socket.HasUnread(relaySide) })

	newest := dial(t, limiter)
	write(t, newest, messageRequest("new"))
	if got, err := io.ReadAll(silent); len(got) > 0 || err != nil {
		t.Errorf("evicted connection: read %q and error %v, want its end without data", got, err)
	}
	wantAccepted(t, "the new connection", newest)
	release()
	wantAccepted(t, "the connection with the unread request", oldest)
	if got := drainSorted(ids); !slices.Equal(got, []string{"new", "unread"}) {
		t.Errorf("accepted %v, want new and unread", got)
	}
}

// Guards against accepting a request whose last byte arrives after the read time-out, before the relay handles that time-out.
// The client has to see its connection end, after an error response if the header had arrived completely.
func TestRequestCompletedAfterReadTimeout(t *testing.T) {
	for _, tt := range []struct{ name, early, late, want string }{
		{"in the header", strings.TrimSuffix(messageRequest("late"), "\r\nhi"), "\r\nhi", ""},
		{"in the body", strings.TrimSuffix(messageRequest("late"), "i"), "i", "HTTP/1.1 400 "},
	} {
		t.Run(strings.ReplaceAll(tt.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			expired, arrived := make(chan *hookedConn, 1), make(chan bool)
			ids := make(chan string, 9)
			limiter := hookedServer(t, 9, readHooks{expired: func(c *hookedConn) {
				if c.number == 1 {
					expired <- c
					<-arrived
				}
			}}, acceptAll(ids), nil)
			c := dial(t, limiter)
			write(t, c, tt.early)
			relaySide := receive(t, expired)
			write(t, c, tt.late)
			eventually(t, "the last byte is in the relay's buffer", func() bool { return socket.HasUnread(relaySide) })
			close(arrived)
			got, err := io.ReadAll(c)
			if !strings.HasPrefix(string(got), tt.want) || tt.want == "" && len(got) > 0 {
				t.Errorf("got response %q", got)
			}
			if err != nil && (tt.want != "" || !errors.Is(err, syscall.ECONNRESET)) {
				t.Errorf("reading the response failed: %v", err)
			}
			if got := drainSorted(ids); len(got) > 0 {
				t.Errorf("accepted %v, want none", got)
			}
			again := dial(t, limiter)
			write(t, again, messageRequest("late"))
			wantAccepted(t, "request sent again", again)
		})
	}
}

// Guards against a read time-out that also applies to the time until the response: a request that was read in time gets its
// response, however late that is decided, whether it is the first one of its connection or a later one.
func TestResponseAfterReadTimeout(t *testing.T) {
	for _, earlier := range []int{0, 1} {
		t.Run(fmt.Sprint(earlier, " requests before"), func(t *testing.T) {
			t.Parallel()
			testResponseAfterReadTimeout(t, earlier)
		})
	}
}

// testResponseAfterReadTimeout does so for a request with a number of earlier ones on its connection.
func testResponseAfterReadTimeout(t *testing.T, earlier int) {
	t.Helper()
	accepted := make(chan *Submission, 1)
	var withdrawn atomic.Bool
	limiter := hookedServer(t, 9, readHooks{}, func(a *Submission) { accepted <- a }, func(*Submission) { withdrawn.Store(true) })
	c := dial(t, limiter)
	for range earlier {
		write(t, c, messageRequest("earlier"))
		receive(t, accepted).Response <- Response{Status: http.StatusAccepted}
		wantAccepted(t, "earlier request", c)
	}
	begun := time.Now()
	write(t, c, messageRequest("m"))
	a := receive(t, accepted)
	for time.Since(begun) < ReadTimeout+200*time.Millisecond && !withdrawn.Load() {
		time.Sleep(time.Millisecond)
	}
	a.Response <- Response{Status: http.StatusAccepted}
	wantAccepted(t, "response decided after the read time-out", c)
	if withdrawn.Load() {
		t.Error("the message was withdrawn although its client is still connected")
	}
}
