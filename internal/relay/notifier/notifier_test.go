package notifier

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"milletsail/internal/journal"
	"milletsail/internal/relay/protocol"
)

// Guards against a body beyond protocol.MaxBodySize, which the platform would reject: the notifications that do not fit have to
// stay in the queue. Their encoding is longer than the ids, since each control character takes six bytes in JSON.
func TestBatchFitsMaxBodySize(t *testing.T) {
	n := New("127.0.0.1:0", nil)
	const queued = 1000
	for i := range queued {
		n.Enqueue(journal.Notification{ID: fmt.Sprintf("%04d%s", i, strings.Repeat("\x01", 100)), Status: StatusDeferred,
			RetryAfterMS: 5})
	}
	batch, body := n.nextBatch()
	if len(batch) == 0 || len(batch) == queued || len(body) > protocol.MaxBodySize {
		t.Fatalf("batch of %d notifications in %d bytes; want a part of the queue, within MaxBodySize", len(batch), len(body))
	}
	lines := strings.Split(strings.TrimSpace(string(body)), "\n")
	if len(lines) != len(batch) {
		t.Fatalf("body has %d lines for %d notifications", len(lines), len(batch))
	}
	for i, line := range lines {
		var notification journal.Notification
		if err := json.Unmarshal([]byte(line), &notification); err != nil || notification != batch[i] ||
			notification.RetryAfterMS != 5 {
			t.Fatalf("line %d of the body does not match its notification: %s (error %v)", i, line, err)
		}
	}
}

// roundTrip is a function that takes the place of the platform's HTTP server.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a notification that arrives late because the connection of its first post is dead: that post has to time out
// early enough for a second one to arrive within 300 ms.
func TestPostRetriedAfterDeadConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan []string, 1)
		n := New("platform", func(ids []string) { got <- ids })
		posts := 0
		n.client.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
			if posts++; posts == 1 {
				<-r.Context().Done()
				return nil, r.Context().Err()
			}
			return &http.Response{StatusCode: http.StatusNoContent, Body: http.NoBody}, nil
		})
		go n.Run(t.Context())
		enqueuedAt := time.Now()
		n.Enqueue(journal.Notification{ID: "m", Status: StatusDeferred})
		if ids := <-got; len(ids) != 1 || ids[0] != "m" {
			t.Errorf("notifications received for %v, want only m", ids)
		}
		if late := time.Since(enqueuedAt); late > 300*time.Millisecond {
			t.Errorf("notification received after %v, want at most 300 ms", late)
		}
	})
}

// failingPlatform returns a platform that fails every post with a notification of the message "odd" until recoversAt: the post
// hangs or, if hang is false, is answered 400. It receives all other posts.
func failingPlatform(recoversAt time.Time, hang bool) roundTrip {
	return func(r *http.Request) (*http.Response, error) {
		body, _ := io.ReadAll(r.Body)
		switch odd := strings.Contains(string(body), `"odd"`) && time.Now().Before(recoversAt); {
		case odd && hang:
			<-r.Context().Done()
			return nil, r.Context().Err()
		case odd:
			return &http.Response{StatusCode: http.StatusBadRequest, Body: http.NoBody}, nil
		}
		return &http.Response{StatusCode: http.StatusNoContent, Body: http.NoBody}, nil
	}
}

// Guards against one notification that delays others: where the platform rejects it, or its posts hang, all others still have to
// arrive within 300 ms. It has to arrive itself once the platform accepts it, and none may be received twice.
func TestFailingNotificationDoesNotDelayOthers(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			type receipt struct {
				id string
				at time.Time
			}
			got := make(chan receipt, 1000)
			n := New("platform", func(ids []string) {
				for _, id := range ids {
					got <- receipt{id, time.Now()}
				}
			})
			recoversAt := time.Now().Add(5 * time.Second)
			n.client.Transport = failingPlatform(recoversAt, hangs)
			go n.Run(ctx)
			due := map[string]time.Time{"odd": recoversAt}
			for i := range 40 {
				for _, id := range []string{fmt.Sprint(i, "a"), fmt.Sprint(i, "b")} {
					due[id] = time.Now()
					n.Enqueue(journal.Notification{ID: id, Status: StatusDeferred})
				}
				if i == 3 {
					n.Enqueue(journal.Notification{ID: "odd", Status: StatusUndeliverable})
				}
				time.Sleep(30 * time.Millisecond)
			}
			for len(due) > 0 {
				r := <-got
				most := 300 * time.Millisecond
				if r.id == "odd" {
					most = maxRetryBackoff + postTimeout
				}
				at, expected := due[r.id]
				if late := r.at.Sub(at); !expected || late > most {
					t.Errorf("hangs %v: notification of %s received after %v (still expected: %v)", hangs, r.id, late, expected)
				}
				delete(due, r.id)
			}
			stop()
			synctest.Wait()
		})
	}
}
