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

// A body holds what the protocol allows, and the rest of what is owed waits for the next one.
func TestBatchFitsABody(t *testing.T) {
	n := New("127.0.0.1:0", nil)
	const owed = 1000
	for i := range owed {
		n.Enqueue(journal.Notification{ID: fmt.Sprintf("%04d%s", i, strings.Repeat("\x01", 100)), Status: StatusDeferred,
			RetryAfterMS: 5})
	}
	batch, body := n.nextBatch()
	if len(batch) == 0 || len(batch) == owed || len(body) > protocol.MaxBodySize {
		t.Fatalf("%d notices in %d bytes", len(batch), len(body))
	}
	lines := strings.Split(strings.TrimSpace(string(body)), "\n")
	if len(lines) != len(batch) {
		t.Fatalf("%d lines for %d notices", len(lines), len(batch))
	}
	for i, line := range lines {
		var notice journal.Notification
		if err := json.Unmarshal([]byte(line), &notice); err != nil || notice != batch[i] || notice.RetryAfterMS != 5 {
			t.Fatalf("line %d: %s (%v)", i, line, err)
		}
	}
}

// roundTrip stands for the platform.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// A post whose connection has gone silent is given up in time for the next one to bring the notice.
func TestNoticeBesideSilence(t *testing.T) {
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
		owed := time.Now()
		n.Enqueue(journal.Notification{ID: "m", Status: StatusDeferred})
		if ids := <-got; len(ids) != 1 || ids[0] != "m" {
			t.Errorf("received %v", ids)
		}
		if late := time.Since(owed); late > 300*time.Millisecond {
			t.Errorf("received after %v", late)
		}
	})
}

// platformUntil stands for a platform that receives all notifications but the one of message "odd", up to a time: a post with
// that one hangs, or is answered 400.
func platformUntil(healed time.Time, hangs bool) roundTrip {
	return func(r *http.Request) (*http.Response, error) {
		body, _ := io.ReadAll(r.Body)
		switch odd := strings.Contains(string(body), `"odd"`) && time.Now().Before(healed); {
		case odd && hangs:
			<-r.Context().Done()
			return nil, r.Context().Err()
		case odd:
			return &http.Response{StatusCode: http.StatusBadRequest, Body: http.NoBody}, nil
		}
		return &http.Response{StatusCode: http.StatusNoContent, Body: http.NoBody}, nil
	}
}

// A notice that the platform does not take for its form, or whose post hangs each time, holds up no other beyond 300 ms, and
// gets there itself once the platform takes it; nothing is received twice.
func TestNoticeThatIsNotTaken(t *testing.T) {
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
			healed := time.Now().Add(5 * time.Second)
			n.client.Transport = platformUntil(healed, hangs)
			go n.Run(ctx)
			due := map[string]time.Time{"odd": healed}
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
				at, owed := due[r.id]
				if late := r.at.Sub(at); !owed || late > most {
					t.Errorf("hangs %v: %s received after %v, owed %v", hangs, r.id, late, owed)
				}
				delete(due, r.id)
			}
			stop()
			synctest.Wait()
		})
	}
}
