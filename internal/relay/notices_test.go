package relay

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"milletsail/internal/journal"
)

// A body holds what the protocol allows, and the rest of what is owed waits for the next one.
func TestNoticesOfABody(t *testing.T) {
	n := newNotifier("127.0.0.1:0", nil)
	const owed = 1000
	for i := range owed {
		n.owe(journal.Notice{ID: fmt.Sprintf("%04d%s", i, strings.Repeat("\x01", 100)), Status: deferred, AgainMS: 5})
	}
	ids, body := n.next()
	if len(ids) == 0 || len(ids) == owed || len(body) > maxBody {
		t.Fatalf("%d notices in %d bytes", len(ids), len(body))
	}
	lines := strings.Split(strings.TrimSpace(string(body)), "\n")
	if len(lines) != len(ids) {
		t.Fatalf("%d lines for %d ids", len(lines), len(ids))
	}
	for i, line := range lines {
		var notice journal.Notice
		if err := json.Unmarshal([]byte(line), &notice); err != nil || notice.ID != ids[i] || notice.AgainMS != 5 {
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
		n := newNotifier("platform", func(ids []string) { got <- ids })
		posts := 0
		n.client.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
			if posts++; posts == 1 {
				<-r.Context().Done()
				return nil, r.Context().Err()
			}
			return &http.Response{StatusCode: http.StatusNoContent, Body: http.NoBody}, nil
		})
		go n.run(t.Context())
		owed := time.Now()
		n.owe(journal.Notice{ID: "m", Status: deferred})
		if ids := <-got; len(ids) != 1 || ids[0] != "m" {
			t.Errorf("received %v", ids)
		}
		if late := time.Since(owed); late > 300*time.Millisecond {
			t.Errorf("received after %v", late)
		}
	})
}
