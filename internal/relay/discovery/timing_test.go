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

// Guards against a fleet overloading discovery: requests have a jitter that depends on the size of the fleet, also the first one,
// and that grows with each rejection until a list arrives.
func TestRequestJitterGrowsWithRejections(t *testing.T) {
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
	w := New(strings.TrimPrefix(s.URL, "http://"), fleet, collectBatches(func(Members) {}), func() { failed <- true })
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
			t.Errorf("request %d: maximum jitter %v, want %v", i, got, want)
		}
		receive(t, failed)
	}
}

// Guards against a jitter that delays a change beyond the time after which the protocol counts it as received: 4 s after a
// reload, whatever the size of the fleet, and no time at all in push mode.
func TestRequestJitter(t *testing.T) {
	for _, tt := range []struct {
		mode   string
		relays int
		want   time.Duration
	}{
		{"subscribe", 1, 0}, {"subscribe", 11, 10 * jitterPerRelay}, {"subscribe", 300, maxJitter}, {"automatic", 300, 0},
	} {
		if got := RequestJitter(&settings.Settings{Discovery: tt.mode, NInstances: tt.relays}); got != tt.want {
			t.Errorf("%d relays, mode %s: jitter %v, want %v", tt.relays, tt.mode, got, tt.want)
		}
	}
}

// simulatedOutage is a period in which discovery sends nothing. Open watches stall for good, and requests get no response or, if
// rejects is set, status 503.
type simulatedOutage struct {
	from, until time.Time
	rejects     bool
}

// deliveryDelayAfterOutage runs a watcher through an outage that begins when a watch has been open for openFor and lasts for
// duration. It returns the time from the end of the outage, when discovery has a change, until the watcher delivers the change.
// Every random delay has its maximum value.
func deliveryDelayAfterOutage(t *testing.T, relays int, mode string, openFor, duration time.Duration,
	rejects bool) (delay time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		spread := RequestJitter(&settings.Settings{Discovery: mode, NInstances: relays})
		begun := time.Now().Add(spread + openFor)
		down := simulatedOutage{begun, begun.Add(duration), rejects}
		delivered := make(chan time.Time, 100)
		var w *Watcher
		w = New("discovery", spread, collectBatches(func(m Members) {
			if m.Seq == 42 {
				delivered <- time.Now()
			}
		}), func() {
			time.AfterFunc(500*time.Millisecond, w.Request) // the delay that the policy uses
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
			case now.Before(down.until) && down.rejects:
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
		delay = (<-delivered).Sub(down.until)
		stop()
		time.Sleep(time.Minute) // lets the remaining goroutines end
	})
	return delay
}

// Guards against a change that arrives later than 6 s after an outage of discovery, when the protocol counts it as received, for
// any fleet size, phase of the watch and length of the outage. A relay without jitter has to receive it much sooner.
func TestChangeArrivesInTimeAfterOutage(t *testing.T) {
	const receivedAfter = 6 * time.Second
	for _, tt := range []struct {
		mode   string
		relays int
		most   time.Duration
	}{
		{"subscribe", 1, SilenceTimeout + time.Second}, {"automatic", 300, SilenceTimeout + time.Second},
		{"subscribe", 2, receivedAfter}, {"subscribe", 12, receivedAfter}, {"subscribe", 60, receivedAfter},
		{"subscribe", 300, receivedAfter},
	} {
		for _, rejects := range []bool{false, true} {
			worst, when := time.Duration(0), ""
			for open := 50 * time.Millisecond; open < 2*time.Second; open += 130 * time.Millisecond {
				for lasts := time.Duration(0); lasts < 20*time.Second; lasts += 410 * time.Millisecond {
					if took := deliveryDelayAfterOutage(t, tt.relays, tt.mode, open, lasts, rejects); took > worst {
						worst, when = took, fmt.Sprintf("outage after %v for %v", open, lasts)
					}
				}
			}
			t.Logf("mode %s, %d relays, rejects %v: change delivered after %v at most (%s)",
				tt.mode, tt.relays, rejects, worst, when)
			if worst > tt.most {
				t.Errorf("mode %s, %d relays, rejects %v: change delivered after %v (%s), want at most %v",
					tt.mode, tt.relays, rejects, worst, when, tt.most)
			}
		}
	}
}

// Guards against jitter before the first watch of a process after a handover (Immediate): a change in that time would arrive
// late.
func TestImmediateWatchHasNoJitter(t *testing.T) {
	spans := make(chan time.Duration, 1)
	w := New("127.0.0.1:0", 47*jitterPerRelay, collectBatches(func(Members) {}), func() {})
	w.Immediate = true
	w.randomDelay = func(span time.Duration) time.Duration {
		spans <- span
		return 0
	}
	go w.Run(t.Context())
	w.Request()
	if got := receive(t, spans); got != 0 {
		t.Errorf("maximum jitter of the first request: %v, want 0", got)
	}
}

// recordingTransport takes the place of discovery: it records the time and host of each request, and fails the request.
type recordingTransport struct {
	mu           sync.Mutex
	requestTimes []time.Time
	requestHosts []string
}

func (t *recordingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestTimes, t.requestHosts = append(t.requestTimes, time.Now()), append(t.requestHosts, r.URL.Host)
	return nil, errors.New("discovery is unreachable in this test")
}

// Guards against redirects in quick succession that postpone a request again and again, since each one restarts its delay. The
// request has to be sent within one maximum jitter, to the last address.
func TestRedirectsDoNotPostponeRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const moves, between = 10, 200 * time.Millisecond
		discovery := &recordingTransport{}
		w := New("old:1", maxJitter, func(Batch) {}, func() {})
		w.client.Transport = discovery
		w.randomDelay = func(span time.Duration) time.Duration { return span } // the maximum delay
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
		if len(discovery.requestTimes) == 0 {
			t.Fatal("no request was sent")
		}
		if after := discovery.requestTimes[0].Sub(begun); after > maxJitter || discovery.requestHosts[0] != addresses[(moves-1)%2] {
			t.Errorf("first request went to %s after %v; want the last address, within the maximum jitter",
				discovery.requestHosts[0], after)
		}
	})
}

// Guards against a growing backoff after local failures, such as a missing route: they say nothing about the load of discovery.
// Rejected connections do back off.
func TestNoBackoffAfterLocalFailure(t *testing.T) {
	w := New("here:1", maxJitter, func(Batch) {}, func() {})
	next := delay{jitter: w.jitter}
	for range 5 {
		next = w.nextDelay(next.jitter, 0, &net.OpError{Op: "dial", Err: syscall.ENETUNREACH})
		if next.jitter > localFailureJitter || next.minimum > 0 {
			t.Fatalf("after a local failure: maximum jitter %v after a minimum wait of %v", next.jitter, next.minimum)
		}
	}
	if next = w.nextDelay(next.jitter, 0, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}); next.jitter <= minRetryJitter {
		t.Errorf("after a refused connection: maximum jitter %v, want a longer one", next.jitter)
	}
}
