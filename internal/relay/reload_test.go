package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

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
		w := newWatcher("old:1", askWithin, func(listBatch) {}, func() {})
		w.client.Transport = discovery
		w.draw = func(span time.Duration) time.Duration { return span } // the longest that may be drawn
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool)
		go func() {
			w.run(ctx)
			close(done)
		}()
		begun := time.Now()
		w.ask()
		addresses := []string{"a:1", "b:1"}
		for i := range moves {
			time.Sleep(between)
			w.Redirect(addresses[i%2])
		}
		time.Sleep(askWithin)
		cancel()
		<-done
		discovery.mu.Lock()
		defer discovery.mu.Unlock()
		if len(discovery.asks) == 0 {
			t.Fatal("nothing was asked")
		}
		if after := discovery.asks[0].Sub(begun); after > askWithin || discovery.to[0] != addresses[(moves-1)%2] {
			t.Errorf("%s is asked after %v", discovery.to[0], after)
		}
	})
}

// A configuration that is being written when its signal comes is read once it is whole, and further signals meanwhile lose
// nothing.
func TestReloadOfAFileThatIsBeingWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	p := newPlatform(t)
	whole, err := os.ReadFile(p.config())
	if err != nil {
		t.Fatal(err)
	}
	write := func(text []byte) {
		t.Helper()
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(whole[:len(whole)/2])
	signals := make(chan os.Signal, 1)
	addresses := Reloads(t.Context(), path, signals)
	signals <- syscall.SIGHUP
	select {
	case address := <-addresses:
		t.Fatalf("half a file gives %q", address)
	case <-time.After(2 * folderRetryInterval):
	}
	write(whole)
	if address := <-addresses; address == "" {
		t.Error("no address")
	}
}

// An ask that failed for a lack of this machine comes again soon, however often that happens: it is no crowd at discovery.
func TestAskAgainAfterALack(t *testing.T) {
	w := newWatcher("here:1", askWithin, func(listBatch) {}, func() {})
	span := w.spread
	for range 5 {
		least := time.Duration(0)
		if span, least = w.next(span, 0, &net.OpError{Op: "dial", Err: syscall.ENETUNREACH}); span > lackSpan || least > 0 {
			t.Fatalf("a span of %v behind %v", span, least)
		}
	}
	if span, _ = w.next(span, 0, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}); span <= askAgain {
		t.Errorf("after a refusal a span of %v", span)
	}
}
