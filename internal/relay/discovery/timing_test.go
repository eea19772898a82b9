package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"milletsail/internal/settings"
)

// A relay of a fleet asks after a time drawn from a span that the fleet sets, the first time too, and that grows
// while discovery turns it away; what was told starts it anew.
func TestWatchesSpreadOut(t *testing.T) {
	lists := make(chan bool, 1)
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-lists:
			_, _ = io.WriteString(rw, `{"seq":41,"whole":true,"hosts":[]}`+"\n")
		default:
			rw.Header().Set("Retry-After", "0.001")
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(s.Close)
	const fleet = 800 * time.Millisecond
	failed, spans := make(chan bool, 10), make(chan time.Duration, 10)
	w := New(strings.TrimPrefix(s.URL, "http://"), fleet, inObjects(func(Members) {}), func() { failed <- true })
	w.randomDelay = func(span time.Duration) time.Duration {
		spans <- span
		return 0
	}
	go w.Run(t.Context())
	for i, want := range []time.Duration{fleet, 2*fleet + minRetryJitter, max(2*fleet, maxRetryJitter), max(2*fleet,
		maxRetryJitter), fleet} {
		if i == 3 {
			lists <- true
		}
		w.Request()
		if got := receive(t, spans); got != min(want, max(2*fleet, maxRetryJitter)) {
			t.Errorf("ask %d: drawn from %v, want %v", i, got, want)
		}
		receive(t, failed)
	}
}

// A relay asks so soon that what discovery tells arrives before it counts as told, however large the fleet: after a
// reload that is 4 s, and where changes come unasked it is at once.
func TestRequestJitter(t *testing.T) {
	for _, tt := range []struct {
		mode   string
		relays int
		want   time.Duration
	}{
		{"subscribe", 1, 0}, {"subscribe", 11, 10 * jitterPerRelay}, {"subscribe", 300, maxJitter}, {"automatic", 300, 0},
	} {
		if got := RequestJitter(&settings.Settings{Discovery: tt.mode, NInstances: tt.relays}); got != tt.want {
			t.Errorf("%d relays, %s: %v, want %v", tt.relays, tt.mode, got, tt.want)
		}
	}
}

// outage is a time in which discovery tells nothing: watches that are open fall silent for good, and what is asked
// meanwhile gets no answer, or is turned away.
type outage struct {
	from, until time.Time
	refuses     bool
}

// toldAfter plays a watcher through an outage that begins after a watch has been open for a while, and gives the time from
// the moment at which discovery had a change and could be reached to that at which the watcher told it. Draws are the
// longest ones.
func toldAfter(t *testing.T, relays int, mode string, open, lasts time.Duration, refuses bool) (took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		spread := RequestJitter(&settings.Settings{Discovery: mode, NInstances: relays})
		begun := time.Now().Add(spread + open)
		down := outage{begun, begun.Add(lasts), refuses}
		told := make(chan time.Time, 100)
		var w *Watcher
		w = New("discovery", spread, inObjects(func(m Members) {
			if m.Seq == 42 {
				told <- time.Now()
			}
		}), func() {
			time.AfterFunc(500*time.Millisecond, w.Request) // as the module does
		})
		w.Immediate = true
		w.randomDelay = func(span time.Duration) time.Duration { return span }
		w.client.Transport = roundTripper(func(r *http.Request) (*http.Response, error) {
			now := time.Now()
			switch {
			case now.Before(down.from):
				in, out := io.Pipe()
				context.AfterFunc(r.Context(), func() { _ = in.CloseWithError(r.Context().Err()) })
				go func() {
					_, err := io.WriteString(out, `{"seq":41,"whole":true,"hosts":[]}`+"\n")
					for time.Sleep(2 * time.Second); err == nil && time.Now().Before(down.from); time.Sleep(2 * time.Second) {
						_, err = io.WriteString(out, "\n")
					}
				}()
				return &http.Response{StatusCode: http.StatusOK, Body: in}, nil
			case now.Before(down.until) && down.refuses:
				return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody,
					Header: http.Header{"Retry-After": {"9"}}}, nil
			case now.Before(down.until):
				<-r.Context().Done()
				return nil, r.Context().Err()
			}
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(`{"seq":42,"hosts":[]}`))}, nil
		})
		go w.Run(ctx)
		w.Request()
		took = (<-told).Sub(down.until)
		stop()
		time.Sleep(time.Minute) // what still waits ends
	})
	return took
}

// Discovery's changes are here before they count as told, which is after 6 s, at each phase of a watch that falls silent
// and of an outage, whatever the size of the fleet; and far sooner where the relay has nobody beside it to spare.
func TestToldInTime(t *testing.T) {
	const counts = 6 * time.Second
	for _, tt := range []struct {
		mode   string
		relays int
		most   time.Duration
	}{
		{"subscribe", 1, SilenceTimeout + time.Second}, {"automatic", 300, SilenceTimeout + time.Second},
		{"subscribe", 2, counts}, {"subscribe", 12, counts}, {"subscribe", 60, counts}, {"subscribe", 300, counts},
	} {
		for _, refuses := range []bool{false, true} {
			worst, when := time.Duration(0), ""
			for open := 50 * time.Millisecond; open < 2*time.Second; open += 130 * time.Millisecond {
				for lasts := time.Duration(0); lasts < 20*time.Second; lasts += 410 * time.Millisecond {
					if took := toldAfter(t, tt.relays, tt.mode, open, lasts, refuses); took > worst {
						worst, when = took, fmt.Sprintf("silent after %v for %v", open, lasts)
					}
				}
			}
			t.Logf("%s, %d relays, refuses %v: told after %v at worst (%s)", tt.mode, tt.relays, refuses, worst, when)
			if worst > tt.most {
				t.Errorf("%s, %d relays, refuses %v: told after %v (%s), at most %v", tt.mode, tt.relays, refuses, worst, when, tt.most)
			}
		}
	}
}

// A process that took over from another asks at once: what changes meanwhile would come too late.
func TestWatchAfterHandover(t *testing.T) {
	spans := make(chan time.Duration, 1)
	w := New("127.0.0.1:0", 47*jitterPerRelay, inObjects(func(Members) {}), func() {})
	w.Immediate = true
	w.randomDelay = func(span time.Duration) time.Duration {
		spans <- span
		return 0
	}
	go w.Run(t.Context())
	w.Request()
	if got := receive(t, spans); got != 0 {
		t.Errorf("first ask drawn from %v", got)
	}
}

// transport stands in for discovery: it notes when each ask comes, and answers none.
type transport struct {
	mu   sync.Mutex
	asks []time.Time
	to   []string
}

func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asks, t.to = append(t.asks, time.Now()), append(t.to, r.URL.Host)
	return nil, errors.New("not here")
}

// New addresses of discovery in quick succession put an ask off no further than one does, and it goes to the last of them.
func TestMovesInQuickSuccession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const moves, between = 10, 200 * time.Millisecond
		discovery := &transport{}
		w := New("old:1", maxJitter, func(Batch) {}, func() {})
		w.client.Transport = discovery
		w.randomDelay = func(span time.Duration) time.Duration { return span } // the longest that may be drawn
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool)
		go func() {
			w.Run(ctx)
			close(done)
		}()
		begun := time.Now()
		w.Request()
		addresses := []string{"a:1", "b:1"}
		for i := range moves {
			time.Sleep(between)
			w.Redirect(addresses[i%2])
		}
		time.Sleep(maxJitter)
		cancel()
		<-done
		discovery.mu.Lock()
		defer discovery.mu.Unlock()
		if len(discovery.asks) == 0 {
			t.Fatal("nothing was asked")
		}
		if after := discovery.asks[0].Sub(begun); after > maxJitter || discovery.to[0] != addresses[(moves-1)%2] {
			t.Errorf("%s is asked after %v", discovery.to[0], after)
		}
	})
}

// An ask that failed for a lack of this machine comes again soon, however often that happens: it is no crowd at discovery.
func TestAskAgainAfterALack(t *testing.T) {
	w := New("here:1", maxJitter, func(Batch) {}, func() {})
	next := delay{jitter: w.jitter}
	for range 5 {
		next = w.nextDelay(next.jitter, 0, &net.OpError{Op: "dial", Err: syscall.ENETUNREACH})
		if next.jitter > localFailureJitter || next.minimum > 0 {
			t.Fatalf("a span of %v behind %v", next.jitter, next.minimum)
		}
	}
	if next = w.nextDelay(next.jitter, 0, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}); next.jitter <= minRetryJitter {
		t.Errorf("after a refusal a span of %v", next.jitter)
	}
}
