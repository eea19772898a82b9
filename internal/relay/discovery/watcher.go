// Package discovery follows the platform's endpoint list by list and watch: each watch starts from the last version that came
// completely, and brings a list or changes of it.
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
)

// membersPath is discovery's path of the endpoint list.
const membersPath = "/catalog/members"

// Batch is a part of an object that discovery sent. The receiver closes Applied once it has applied the batch: until then the
// watch reads no further.
type Batch struct {
	endpoints.Batch
	Applied chan struct{}
}

// Watcher keeps a watch on discovery's list. It starts one for each Request, and reports when it ends: whether and when to
// request another is the policy's decision, the backoff while discovery is down is the watcher's.
type Watcher struct {
	// Version is that of the list as it stands, from which the next watch starts. It is set before Run, and belongs to Run then.
	Version int64
	// MaxListSize bounds the bytes of one list. It is set before Run.
	MaxListSize int64
	// Immediate has the first watch begin without jitter. It is set before Run.
	Immediate bool

	client         *http.Client
	silenceTimeout time.Duration // without a byte, until a watch is stalled
	jitter         time.Duration // of a request, where nothing has failed
	randomDelay    func(span time.Duration) time.Duration
	requests       chan struct{}
	onBatch        func(Batch)
	onEnd          func()

	mu       sync.Mutex
	url      string
	endWatch context.CancelCauseFunc // ends the watch in progress; nil before the first
}

// errRedirected is why a watch ends when discovery has another address.
var errRedirected = errors.New("discovery has moved")

// New returns a watcher of the list at discovery's address. Requests are delayed by jitter at random. It calls onBatch for
// each batch, which has it applied sooner or later, and onEnd for each watch that ends.
func New(address string, jitter time.Duration, onBatch func(Batch), onEnd func()) *Watcher {
	w := &Watcher{onBatch: onBatch, MaxListSize: math.MaxInt64, onEnd: onEnd, silenceTimeout: SilenceTimeout, jitter: jitter,
		randomDelay: func(span time.Duration) time.Duration { return rand.N(span + 1) },
		client:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, requests: make(chan struct{}, 1)}
	w.Redirect(address)
	return w
}

// Redirect has the list watched at another address of discovery: a watch in progress, or a delay of the next one, ends, and a
// new watch begins.
func (w *Watcher) Redirect(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.url = "http://" + address + membersPath
	if w.endWatch != nil {
		w.endWatch(errRedirected)
	}
}

// begin returns the URL to watch, and a context that ends when discovery moves.
func (w *Watcher) begin(ctx context.Context) (context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.endWatch = context.WithCancelCause(ctx)
	return ctx, w.url
}

// Request wants a watch; it never blocks.
func (w *Watcher) Request() {
	select {
	case w.requests <- struct{}{}:
	default: // one is wanted already
	}
}

// Run serves requests until ctx ends. It runs in one goroutine, which its caller waits for, and starts no other.
func (w *Watcher) Run(ctx context.Context) {
	next := delay{jitter: w.jitter}
	if w.Immediate {
		next.jitter = 0
	}
	var due instant.Time // of a request whose delay a move has cut short: further moves do not put it off
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.requests:
		}
		watchCtx, url := w.begin(ctx)
		var lists int
		var err error
		wait := next.minimum + w.randomDelay(next.jitter)
		if !due.IsZero() {
			wait = min(wait, clock.Until(due))
		}
		due = clock.Now().Add(wait)
		if clock.Sleep(watchCtx, wait) {
			due = 0
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
		slog.Warn("watch ended", "lists", lists, "error", err)
		next = w.nextDelay(next.jitter, lists, err)
		w.onEnd()
	}
}
