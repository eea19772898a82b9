package notifier

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/protocol"
)

// testTimeout bounds every wait of a test; it is far longer than any expected wait.
const testTimeout = 20 * time.Second

// startPlatform starts a platform that handles each connection with serve and closes it afterwards. It returns its address.
func startPlatform(t *testing.T, serve func(in *bufio.Reader, c net.Conn)) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
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
				defer func() { _ = c.Close() }()
				serve(bufio.NewReader(c), c)
			}()
		}
	}()
	return l.Addr().String()
}

// readPost reads one complete post and discards it.
func readPost(in *bufio.Reader) error {
	r, err := http.ReadRequest(in)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return err
}

// Guards against taking a second copy of the platform's response for the response to the next post, whose notification would then
// be lost if the platform did not receive it. The copy arrives while the connection rests.
func TestSurplusIsNoResponseToNextPost(t *testing.T) {
	const received = "HTTP/1.1 204 No Content\r\n\r\n"
	resting, ended := make(chan bool), make(chan bool)
	posts := make(chan int, 1)
	posts <- 0
	addr := startPlatform(t, func(in *bufio.Reader, c net.Conn) {
		for readPost(in) == nil {
			count := <-posts
			posts <- count + 1
			if count > 0 {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			_, _ = io.WriteString(c, received)
			go func() {
				<-resting
				_, _ = io.WriteString(c, received)
			}()
			if _, err := in.Peek(1); err != nil {
				close(ended)
				return
			}
			_, _ = io.WriteString(c, received) // the next post came without a rest: the copy arrives before its response
		}
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
		addr := startPlatform(t, func(in *bufio.Reader, c net.Conn) {
			if readPost(in) == nil {
				_, _ = io.WriteString(c, response)
			}
		})
		err := New(addr, nil).post(t.Context(), encode(journal.Notification{ID: "m", Status: StatusUndeliverable}))
		if err == nil || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("response %q: error %v, want one that says that it can't be read", response, err)
		}
	}
}
