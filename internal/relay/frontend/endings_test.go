package frontend

import (
	"errors"
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

// The tests of this file force the order of events at the end of something, on real connections: docs/endings.md lists
// the rows that they belong to.

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
	eventually(t, "its place is free", func() bool { return g.Count() == 0 })
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
	eventually(t, "all places are taken", func() bool { return g.Count() == 2 })
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
	accepted := make(chan *Submission, 1)
	var withdrawn atomic.Bool
	g := hookedServer(t, 9, readHooks{}, func(a *Submission) { accepted <- a }, func(*Submission) { withdrawn.Store(true) })
	c := dial(t, g)
	begun := time.Now()
	write(t, c, posted("m"))
	a := receive(t, accepted)
	for time.Since(begun) < ReadTimeout+200*time.Millisecond && !withdrawn.Load() {
		time.Sleep(time.Millisecond)
	}
	a.Response <- Response{Status: http.StatusAccepted}
	wantAccepted(t, "an answer decided behind the limit", c)
	if withdrawn.Load() {
		t.Error("the message was withdrawn as though its client had left")
	}
}
