package relay

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
	"milletsail/internal/instant"
	"milletsail/internal/relay/resource"
	"milletsail/internal/settings"
)

// What discovery has to tell counts as told 6 s after it had it and could be reached, 4 s after a reload. Until then it has
// to be here, whatever went before. The module waits 0.5 s before it asks again, and an answer has what is left:
//
//	a watch falls silent:   watchSilence 2.5 + 0.5 + askWithin 2.5            = 5.5
//	an ask gets no answer:  watchSilence 2.5 + 0.5 + askWithin 2.5            = 5.5
//	an ask is refused:      0.5 + what discovery wants and a draw, 2 askWithin = 5.5
//	after a reload:         askWithin                                         = 2.5
//
// Where a relay is alone at discovery, or has an agent of its own to ask, what that has counts at once: then
// answerWithin 1 + 0.5 after an ask without an answer, and 0.5 + askAgainAlone 0.5 after a refusal, where no wait was told.
const (
	// watchSilence without a byte means that a watch is dead: an empty line comes every 2 s.
	watchSilence = 2500 * time.Millisecond
	// answerWithin is how long the only relay waits for an answer to begin.
	answerWithin = time.Second
	// Where changes come only to those who ask, a relay waits before it asks, for a time drawn from a span of askSpread
	// for each relay of the fleet, since a cause that ends one watch mostly ends all; but no longer than askWithin.
	// askAgain is the least span after a refusal. It doubles with each further one, up to askAgainMost or what the fleet
	// needs, and to askAgainAlone for a relay that is alone.
	askSpread     = 80 * time.Millisecond
	askWithin     = 2500 * time.Millisecond
	askAgain      = 250 * time.Millisecond
	askAgainMost  = 2 * time.Second
	askAgainAlone = 500 * time.Millisecond
	// lackSpan is the span after an ask that failed for a lack of this machine.
	lackSpan = time.Second
)

// unasked is the mode of discovery in which changes come to the relay's machine without its asking.
const unasked = "automatic"

// listMemory is the share of a relay's memory that one list may be as long as: an entry takes no more room in the table
// than as JSON.
const listMemory = 0.5

// watcher keeps a watch on discovery's list. It starts one each time that it is asked, and reports when it
// ends; whether and when to ask again is the module's decision, a back-off while discovery is down ours.
type watcher struct {
	client  *http.Client
	silence time.Duration // watchSilence, but in tests
	spread  time.Duration // fleetSpread
	draw    func(span time.Duration) time.Duration
	prompt  bool // the first watch begins at once; set before run
	asked   chan struct{}
	seq     int64           // of the list as it stands; set before run
	onBatch func(listBatch) // has a batch applied, sooner or later
	maxList int64           // bytes of one list; set before run
	failed  func()

	mu    sync.Mutex
	base  string
	moved context.CancelCauseFunc // ends the watch that is on; nil for none
}

// errMoved is why a watch ends when discovery has another address.
var errMoved = errors.New("discovery has moved")

// fleetSpread is the span from which the relays of a fleet draw when to ask. Where changes come unasked, all that a
// relay asks is the agent on its own machine, and what that has counts as told at once.
func fleetSpread(s *settings.Settings) time.Duration {
	if s.Discovery == unasked {
		return 0
	}
	return min(time.Duration(s.NInstances-1)*askSpread, askWithin)
}

func newWatcher(discovery string, spread time.Duration, onBatch func(listBatch), failed func()) *watcher {
	w := &watcher{onBatch: onBatch, maxList: math.MaxInt64, failed: failed, silence: watchSilence, spread: spread,
		draw:   func(span time.Duration) time.Duration { return rand.N(span + 1) },
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, asked: make(chan struct{}, 1)}
	w.Redirect(discovery)
	return w
}

// Redirect has the list watched at another address of discovery: a watch that is on, or a wait for the next one,
// ends, and a new watch begins at once.
func (w *watcher) Redirect(discovery string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.base = "http://" + discovery + "/catalog/members"
	if w.moved != nil {
		w.moved(errMoved)
	}
}

// begin gives the address to watch, and a context that ends when discovery moves.
func (w *watcher) begin(ctx context.Context) (context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.moved = context.WithCancelCause(ctx)
	return ctx, w.base
}

// ask wants a watch; it never blocks.
func (w *watcher) ask() {
	select {
	case w.asked <- struct{}{}:
	default: // one is wanted already
	}
}

// run serves asks until ctx ends.
func (w *watcher) run(ctx context.Context) {
	span, least := w.spread, time.Duration(0)
	if w.prompt {
		span = 0
	}
	var due instant.Time // of an ask whose wait a move has cut short: further moves do not put it off
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.asked:
		}
		here, base := w.begin(ctx)
		var lists int
		var err error
		wait := least + w.draw(span)
		if !due.IsZero() {
			wait = min(wait, clock.Until(due))
		}
		due = clock.Now().Add(wait)
		if clock.Sleep(here, wait) {
			due = 0
			lists, err = w.watch(here, base)
		}
		if ctx.Err() != nil {
			return
		}
		if context.Cause(here) == errMoved {
			span, least = w.spread, 0
			w.ask()
			continue
		}
		w.moved(nil)
		slog.Warn("watch ended", "lists", lists, "err", err)
		span, least = w.next(span, lists, err)
		w.failed()
	}
}

// next gives the span from which to draw the time before the next ask, and the least wait, after a watch that ended. One
// that was open, or an ask that got no answer, has taken its time already; refusals come quickly, and are spaced out.
func (w *watcher) next(span time.Duration, lists int, err error) (time.Duration, time.Duration) {
	if lists > 0 || errors.Is(err, errSilent) {
		return w.spread, 0
	}
	if resource.IsLocalFailure(err) { // it is no crowd at discovery that this relay has to make way for
		return min(w.spread, lackSpan), 0
	}
	most := askAgainAlone
	if w.spread > 0 {
		most = max(askAgainMost, 2*w.spread)
	}
	least := time.Duration(0)
	if busy := new(busyError); errors.As(err, &busy) {
		least = busy.after
	}
	return min(most, 2*span+askAgain, 2*askWithin-least), least
}
