// Package discovery keeps the endpoint list up to date by watching the platform's discovery service. Each watch starts from the
// last version that was received completely, and delivers a complete list or changes to it.
package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/endpoints"
	"milletsail/internal/instant"
	"milletsail/internal/relay/protocol"
)

// membersPath is the path of the endpoint list at discovery.
const membersPath = "/catalog/members"

// Batch is one part of a list, or of a set of changes, that discovery sent.
type Batch struct {
	endpoints.Batch
	// Applied is closed by the receiver once it has applied the batch. The watch reads on only after that.
	Applied chan struct{}
}

// Watcher watches the endpoint list at discovery. It starts one watch for each Request and reports when the watch ends. The
// policy decides whether and when to request another; the watcher adds the backoff while discovery is unavailable.
type Watcher struct {
	// Version is the version of the last list that was received completely, from which the next watch starts; 0 requests a
	// complete list. It is set before Run, and only Run accesses it afterwards.
	Version int64
	// MaxListSize is the maximum size of one list in bytes. It is set before Run.
	MaxListSize int64
	// Immediate makes the first watch start without jitter. It is set before Run.
	Immediate bool

	client         *http.Client
	silenceTimeout time.Duration                          // time without a received byte after which a watch is stalled
	jitter         time.Duration                          // maximum jitter of a request when nothing has failed
	randomDelay    func(span time.Duration) time.Duration // returns a random time between 0 and span
	requests       chan struct{}                          // holds at most one pending request for a watch
	onBatch        func(Batch)
	onEnd          func()

	mu       sync.Mutex
	url      string                  // of the endpoint list at discovery's current address
	endWatch context.CancelCauseFunc // cancels the current watch or the delay before it; nil before the first
}

// errRedirected is the cause with which a watch is canceled when discovery's address changes.
var errRedirected = errors.New("discovery address changed")

// New returns a watcher of the endpoint list at discovery's address. Requests are delayed by a random time of at most jitter,
// and by longer after failures (see nextDelay). The watcher calls onBatch for each batch; the callee has to close Batch.Applied
// once the batch is applied. It calls onEnd after each watch that ended, unless by a redirect or by the end of Run's context.
func New(address string, jitter time.Duration, onBatch func(Batch), onEnd func()) *Watcher {
	w := &Watcher{onBatch: onBatch, MaxListSize: math.MaxInt64, onEnd: onEnd, silenceTimeout: SilenceTimeout, jitter: jitter,
		randomDelay: func(span time.Duration) time.Duration { return rand.N(span + 1) },
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true,
			MaxResponseHeaderBytes: protocol.MaxHeadSize}}, requests: make(chan struct{}, 1)}
	w.Redirect(address)
	return w
}

// Redirect makes the watcher use another address of discovery. It cancels the current watch, or the delay before it, and a new
// watch is requested at the new address.
func (w *Watcher) Redirect(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.url = "http://" + address + membersPath
	if w.endWatch != nil {
		w.endWatch(errRedirected)
	}
}

// beginWatch returns the URL to watch, and a context that Redirect cancels.
func (w *Watcher) beginWatch(ctx context.Context) (context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.endWatch = context.WithCancelCause(ctx)
	return ctx, w.url
}

// Request requests a watch. It never blocks; while a request is pending, further ones have no effect.
func (w *Watcher) Request() {
	select {
	case w.requests <- struct{}{}:
	default: // a request is pending already
	}
}

// Run carries out the requested watches, one at a time, until ctx ends. It starts no goroutines; its caller waits for it to
// return.
func (w *Watcher) Run(ctx context.Context) {
	next := delay{jitter: w.jitter}
	if w.Immediate {
		next.jitter = 0
	}
	var latestStart instant.Time // bounds the delay of a request after redirects, so that repeated redirects cannot postpone it
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.requests:
		}
		watchCtx, url := w.beginWatch(ctx)
		var lists int
		var err error
		wait := next.minimum + w.randomDelay(next.jitter)
		if !latestStart.IsZero() {
			wait = min(wait, clock.Until(latestStart))
		}
		latestStart = clock.Now().Add(wait)
		if clock.Sleep(watchCtx, wait) {
			latestStart = 0
			lists, err = w.watch(watchCtx, url)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(context.Cause(watchCtx), errRedirected) {
			next = delay{jitter: w.jitter}
			w.Request()
			continue
		}
		w.endWatch(nil)
		slog.Warn("discovery watch ended", "lists", lists, "error", err)
		next = w.nextDelay(next.jitter, lists, err)
		w.onEnd()
	}
}
