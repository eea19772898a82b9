package notifier

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/protocol"
)

// testTimeout bounds every wait of a test; it is far longer than any expected wait.
const testTimeout = 20 * time.Second

// startPlatform starts a platform. For the first post, respond writes the response to the post's connection, which is closed
// afterwards; the platform answers 503 to others. It returns its address.
func startPlatform(t *testing.T, respond func(c net.Conn)) string {
	t.Helper()
	var posts atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if posts.Add(1) > 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		respond(c)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against taking a second copy of the platform's response for the response to the next post, whose notification would then
// be lost if the platform did not receive it. The copy arrives while the connection rests.
func TestSurplusIsNoResponseToNextPost(t *testing.T) {
	const received = "HTTP/1.1 204 No Content\r\n\r\n"
	resting, ended := make(chan bool), make(chan bool)
	addr := startPlatform(t, func(c net.Conn) {
		_, _ = io.WriteString(c, received)
		go func() {
			<-resting
			_, _ = io.WriteString(c, received)
		}()
		if _, err := c.Read(make([]byte, 1)); err != nil {
			close(ended)
			return
		}
		_, _ = io.WriteString(c, received) // the next post came without a rest: the copy arrives in the place of its response
	})
	n := New(addr, nil)
	n.sleep = func(ctx context.Context, d time.Duration) bool {
		if d > protocol.ResponseSettleTime {
			t.Errorf("rest of %v, want at most %v", d, protocol.ResponseSettleTime)
		}
		close(resting)
		select {
		case <-ended:
		case <-time.After(testTimeout):
			t.Error("the connection is still open although more than the response arrived")
		}
		return clock.Sleep(ctx, protocol.ResponseSettleTime)
	}
	body := encode(journal.Notification{ID: "m", Status: StatusUndeliverable})
	if err := n.post(t.Context(), body); err != nil {
		t.Fatalf("first post: %v", err)
	}
	n.respondedAt = clock.Now() // however slow this test is, the response has just arrived
	if err := n.post(t.Context(), body); err == nil {
		t.Error("second post counts as received, want the error of its own response, 503")
	}
}

// Guards against counting a notification as received by a response that can't be read to its end.
func TestUnreadableResponseIsNoReceipt(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalQQ",
		"HTTP/1.1 204 No Content\r\nhalf a hea",
	} {
		addr := startPlatform(t, func(c net.Conn) { _, _ = io.WriteString(c, response) })
		err := New(addr, nil).post(t.Context(), encode(journal.Notification{ID: "m", Status: StatusUndeliverable}))
		if err == nil || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("response %q: error %v, want one that says that it can't be read", response, err)
		}
	}
}
