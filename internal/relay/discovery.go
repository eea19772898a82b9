package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/settings"
	"milletsail/policy"
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
	// maxList bounds one list of a watch.
	maxList = 16 << 20
)

// Members is the list of hosts, or a change of it, in discovery's form.
type Members struct {
	Seq   int64    `json:"seq"`
	Whole bool     `json:"whole"`
	Hosts []Member `json:"hosts"`
}

// Member is one host of the list.
type Member struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms,omitempty"` // when it last started, in milliseconds since 1970; 0 for long ago
}

// maxBornMS bounds the times of starts: the year 2200.
const maxBornMS = 7_258_118_400_000

// unasked is the mode of discovery in which changes come to the relay's machine without its asking.
const unasked = "automatic"

// The states of a host that mean that it wants nothing new.
const (
	draining = "DRAINING"
	deleted  = "DELETED"
)

// listed translates a list into the policy's terms.
func (m Members) listed(s *settings.Settings) policy.Listed {
	e := policy.Listed{Whole: m.Whole}
	for _, h := range m.Hosts {
		e.Endpoints = append(e.Endpoints, policy.Endpoint{ID: h.Host, Destination: h.Block,
			Kind: slices.Index(s.Shapes, h.Class), Zone: slices.Index(s.Localities, h.Site), Weight: h.Share, Born: time.Duration(max(0, min(h.BornMS, maxBornMS))) * time.Millisecond,
			Draining: h.Health == draining, Gone: h.Health == deleted})
	}
	return e
}

// kept is the list as the journal keeps it.
func (m Members) kept() journal.List {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // what was read from JSON has a form in it
	}
	return journal.List{Text: text, Hosts: len(m.Hosts)}
}

// remembered is the list that a journal has kept, if there is one.
func remembered(l journal.List) (m Members, ok bool) {
	err := json.Unmarshal(l.Text, &m)
	return m, l.Text != nil && err == nil
}

// watcher keeps a watch on discovery's list. It starts one each time that it is asked, and reports when it
// ends; whether and when to ask again is the module's decision, a back-off while discovery is down ours.
type watcher struct {
	client  *http.Client
	silence time.Duration // watchSilence, but in tests
	spread  time.Duration // fleetSpread
	draw    func(span time.Duration) time.Duration
	prompt  bool // the first watch begins at once; set before run
	asked   chan struct{}
	seq     int64 // of the list as it stands; set before run
	told    func(Members)
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

func newWatcher(discovery string, spread time.Duration, told func(Members), failed func()) *watcher {
	w := &watcher{told: told, failed: failed, silence: watchSilence, spread: spread,
		draw:   func(span time.Duration) time.Duration { return rand.N(span + 1) },
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, asked: make(chan struct{}, 1)}
	w.redirect(discovery)
	return w
}

// redirect has the list watched at another address of discovery: a watch that is on, or a wait for the next one,
// ends, and a new watch begins at once.
func (w *watcher) redirect(discovery string) {
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
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.asked:
		}
		here, base := w.begin(ctx)
		var lines int
		var err error
		if clock.Sleep(here, least+w.draw(span)) {
			lines, err = w.watch(here, base)
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
		slog.Warn("watch ended", "lines", lines, "err", err)
		span, least = w.next(span, lines, err)
		w.failed()
	}
}

// next gives the span from which to draw the time before the next ask, and the least wait, after a watch that ended. One
// that was open, or an ask that got no answer, has taken its time already; refusals come quickly, and are spaced out.
func (w *watcher) next(span time.Duration, lines int, err error) (time.Duration, time.Duration) {
	if lines > 0 || errors.Is(err, errSilent) {
		return w.spread, 0
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

// errSilent is why a watch, or an ask, ends on which nothing more has come.
var errSilent = errors.New("silence")

// busyError is an answer other than 200, with the time that discovery wants to be left alone.
type busyError struct {
	status string
	after  time.Duration
}

func (e *busyError) Error() string { return "discovery answered " + e.status }

// watch follows one watch to its end and returns how many lists it brought.
func (w *watcher) watch(ctx context.Context, base string) (lines int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() {
		if context.Cause(ctx) == errSilent {
			err = errSilent
		}
	}()
	// Guards against a watch that has gone silent: a cut link ends no connection.
	answer := w.silence
	if w.spread == 0 {
		answer = min(answer, answerWithin)
	}
	dead := time.AfterFunc(answer, func() { cancel(errSilent) })
	defer dead.Stop()
	query := url.Values{"stream": {"1"}, "index": {strconv.FormatInt(w.seq, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"?"+query.Encode(), nil)
	if err != nil {
		return 0, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return 0, &busyError{resp.Status, min(settings.Seconds(max(0, after)), askAgainMost)}
	}
	dead.Reset(w.silence)
	in := &lists{Reader: resp.Body, came: func() { dead.Reset(w.silence) }}
	for decoder := json.NewDecoder(in); ; lines++ {
		var m Members
		switch err := decoder.Decode(&m); {
		case err == io.EOF:
			return lines, errors.New("end of the answer")
		case errors.As(err, new(*json.SyntaxError)), errors.As(err, new(*json.UnmarshalTypeError)):
			// What it held is lost to the changes that follow: ask for the whole list.
			w.seq = 0
			return lines, fmt.Errorf("unreadable list: %w", err)
		case err != nil: // in the middle of a list, or by silence: what was missed is told anew after the last version
			return lines, err
		}
		w.seq = m.Seq
		w.told(m)
		rest, _ := io.ReadAll(decoder.Buffered())
		in.taken(rest)
	}
}

// lists reads the lists of a watch, each a JSON object over one line or many, with empty lines while nothing changes.
type lists struct {
	io.Reader
	came func()
	open bool // in the middle of an object, as far as is known
	size int  // bytes read since the last object
}

// Read notes that the watch is alive: more of an object came, or empty lines between objects. Those behind half an object
// say that nothing changes, and the rest of it will not come.
func (l *lists) Read(b []byte) (int, error) {
	n, err := l.Reader.Read(b)
	more := len(bytes.TrimSpace(b[:n])) > 0
	if n > 0 && (more || !l.open) {
		l.came()
	}
	l.open = l.open || more
	if l.size += n; l.size > maxList {
		return 0, errors.New("list too long")
	}
	return n, err
}

// taken notes that an object was taken, and what had been read behind it.
func (l *lists) taken(rest []byte) { l.open, l.size = len(bytes.TrimSpace(rest)) > 0, len(rest) }
