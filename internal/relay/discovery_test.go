package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"milletsail/internal/settings"
)

// hostLine is a change of one host, as a watch tells it.
func hostLine(t *testing.T, seq int64, m Member) string {
	t.Helper()
	line, err := json.Marshal(Members{Seq: seq, Hosts: []Member{m}})
	if err != nil {
		t.Fatal(err)
	}
	return string(line)
}

// A host that drains gets nothing new, and one that is not of a destination nothing at all. That holds as well
// where the settings say that changes come unasked.
func TestDrainedHost(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		t.Run(mode, func(t *testing.T) { testDrainedHost(t, mode) })
	}
}

func testDrainedHost(t *testing.T, mode string) {
	p := newPlatform(t)
	p.mode = mode
	old := p.addHost("h1", 7)
	p.start()
	p.take("status", "a", "20")
	p.called()
	old.Health = draining
	fresh := p.addHost("h2", 7)
	var hit string
	p.set(func() {
		p.answer = func(r *http.Request) int {
			hit = r.Host
			return http.StatusOK
		}
	})
	p.lines <- hostLine(t, 42, old)
	p.lines <- hostLine(t, 43, fresh)
	n := 0
	p.until("the new host is used", func() bool {
		n++
		p.take("status", "b"+strings.Repeat("b", n), "20")
		p.called()
		return hit == fresh.Dial
	})
	for range 5 {
		n++
		p.take("status", "b"+strings.Repeat("b", n), "20")
		if p.called(); hit != fresh.Dial {
			t.Fatal("a draining host got new work")
		}
	}
}

// long is longer than anything that a test waits for in vain.
const long = 20 * time.Second

// roundTripper stands for discovery.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// receive waits for a value.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(long):
		t.Fatal("waited in vain")
		panic("not reached")
	}
}

// A host that was told to drain gets nothing from the next process either, though the configuration's list is
// older than that and discovery is down.
func TestDrainToldBeforeRestart(t *testing.T) {
	p := newPlatform(t)
	old := p.addHost("h1", 7)
	c := p.start()
	old.Health = draining
	p.lines <- hostLine(t, 42, old)
	p.until("the change is noted", func() bool {
		_, seq := storedList(t, p.dir)
		return seq == 42
	})
	p.kill(c)
	p.set(func() { p.down = true })
	p.start()
	p.take("status", "m", "0.5")
	p.until("it has its end", func() bool { return len(p.told()) == 1 })
	if calls := p.sent(); len(calls) != 0 {
		t.Errorf("calls at a draining host: %v", calls)
	}
}

// watchOf follows a handler's watches and returns what the watcher tells.
func watchOf(t *testing.T, silence time.Duration, serve http.HandlerFunc) (*watcher, chan Members, chan bool) {
	t.Helper()
	members := make(chan Members, 10)
	w, failed := startWatch(t, silence, serve, inObjects(func(m Members) { members <- m }))
	return w, members, failed
}

// startWatch starts a watcher of a handler, from version 40 on.
func startWatch(t *testing.T, silence time.Duration, serve http.HandlerFunc, told func(listBatch)) (*watcher, chan bool) {
	t.Helper()
	s := httptest.NewServer(serve)
	failed := make(chan bool, 10)
	w := newWatcher(strings.TrimPrefix(s.URL, "http://"), 0, told, func() { failed <- true })
	w.silence, w.seq = silence, 40
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	go w.run(t.Context())
	w.ask()
	return w, failed
}

// A watch that goes silent is given up, and the next one asks from the last version that came.
func TestSilentWatch(t *testing.T) {
	asked := make(chan string, 10)
	w, members, failed := watchOf(t, 300*time.Millisecond, func(rw http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Query().Get("index")
		_, _ = io.WriteString(rw, `{"seq":41,"whole":true,"hosts":[]}`+"\n")
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	if got := receive(t, asked); got != "40" {
		t.Errorf("first index %s", got)
	}
	if m := receive(t, members); m.Seq != 41 || !m.Whole {
		t.Errorf("told %+v", m)
	}
	receive(t, failed)
	w.ask()
	if got := receive(t, asked); got != "41" {
		t.Errorf("second index %s", got)
	}
}

// A list may come over many lines and in pieces; what follows it in the same piece is the next one.
func TestIndentedLists(t *testing.T) {
	hosts := []Member{{Host: "h1", Dial: "127.0.0.1:1", Block: 7, Health: "SERVING"}, {Host: "h2", Block: 8, Health: draining}}
	var text []byte
	for seq := range int64(3) {
		list, err := json.MarshalIndent(Members{Seq: 41 + seq, Whole: seq == 0, Hosts: hosts[:seq]}, "  ", "\t")
		if err != nil {
			t.Fatal(err)
		}
		text = append(append(text, list...), "\r\n\n"...)
	}
	for _, size := range []int{1, 7, len(text)} {
		_, members, _ := watchOf(t, long, func(rw http.ResponseWriter, r *http.Request) {
			for piece := range slices.Chunk(text, size) {
				_, _ = rw.Write(piece)
				rw.(http.Flusher).Flush()
			}
			<-r.Context().Done()
		})
		for seq := range int64(3) {
			if m := receive(t, members); m.Seq != 41+seq || m.Whole != (seq == 0) || !slices.Equal(m.Hosts, hosts[:seq]) {
				t.Errorf("pieces of %d: told %+v", size, m)
			}
		}
	}
}

// Empty lines behind half a list say that the rest of it will not come: the watch counts as silent, and the next one asks
// from the last version that came whole.
func TestHalfAList(t *testing.T) {
	asked := make(chan string, 10)
	w, _, failed := watchOf(t, 300*time.Millisecond, func(rw http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Query().Get("index")
		_, err := io.WriteString(rw, `{"seq":41,"whole":true,"hosts":[]}{"seq":42,`+"\n")
		for err == nil && r.Context().Err() == nil {
			rw.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(rw, "\n")
		}
	})
	receive(t, failed)
	w.ask()
	if first, second := receive(t, asked), receive(t, asked); first != "40" || second != "41" {
		t.Errorf("indexes %s, %s", first, second)
	}
}

// A line that can't be read is skipped, and since what it held is missing the whole list is asked for.
func TestUnreadableLine(t *testing.T) {
	asked := make(chan string, 10)
	w, members, failed := watchOf(t, long, func(rw http.ResponseWriter, r *http.Request) {
		index := r.URL.Query().Get("index")
		asked <- index
		if index == "40" {
			_, _ = io.WriteString(rw, "{\"seq\":41,\n{\"seq\":42,\"hosts\":[]}\n")
			return
		}
		_, _ = io.WriteString(rw, `{"seq":43,"whole":true,"hosts":[]}`+"\n")
	})
	receive(t, failed)
	w.ask()
	if first, second := receive(t, asked), receive(t, asked); first != "40" || second != "0" {
		t.Errorf("indexes %s, %s", first, second)
	}
	if m := receive(t, members); m.Seq != 43 {
		t.Errorf("told %+v", m)
	}
}

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
	w := newWatcher(strings.TrimPrefix(s.URL, "http://"), fleet, inObjects(func(Members) {}), func() { failed <- true })
	w.draw = func(span time.Duration) time.Duration {
		spans <- span
		return 0
	}
	go w.run(t.Context())
	for i, want := range []time.Duration{fleet, 2*fleet + askAgain, max(2*fleet, askAgainMost), max(2*fleet, askAgainMost), fleet} {
		if i == 3 {
			lists <- true
		}
		w.ask()
		if got := receive(t, spans); got != min(want, max(2*fleet, askAgainMost)) {
			t.Errorf("ask %d: drawn from %v, want %v", i, got, want)
		}
		receive(t, failed)
	}
}

// A relay asks so soon that what discovery tells arrives before it counts as told, however large the fleet: after a
// reload that is 4 s, and where changes come unasked it is at once.
func TestAsksBeforeListsCountAsTold(t *testing.T) {
	for _, tt := range []struct {
		mode   string
		relays int
		want   time.Duration
	}{
		{"subscribe", 1, 0}, {"subscribe", 11, 10 * askSpread}, {"subscribe", 300, askWithin}, {"automatic", 300, 0},
	} {
		if got := fleetSpread(&settings.Settings{Discovery: tt.mode, NInstances: tt.relays}); got != tt.want {
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
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		spread := fleetSpread(&settings.Settings{Discovery: mode, NInstances: relays})
		begun := time.Now().Add(spread + open)
		down := outage{begun, begun.Add(lasts), refuses}
		told := make(chan time.Time, 100)
		var w *watcher
		w = newWatcher("discovery", spread, inObjects(func(m Members) {
			if m.Seq == 42 {
				told <- time.Now()
			}
		}), func() {
			time.AfterFunc(500*time.Millisecond, w.ask) // as the module does
		})
		w.prompt = true
		w.draw = func(span time.Duration) time.Duration { return span }
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
		go w.run(ctx)
		w.ask()
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
		{"subscribe", 1, watchSilence + time.Second}, {"automatic", 300, watchSilence + time.Second},
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
func TestWatchAfterTakeover(t *testing.T) {
	spans := make(chan time.Duration, 1)
	w := newWatcher("127.0.0.1:0", 47*askSpread, inObjects(func(Members) {}), func() {})
	w.prompt = true
	w.draw = func(span time.Duration) time.Duration {
		spans <- span
		return 0
	}
	go w.run(t.Context())
	w.ask()
	if got := receive(t, spans); got != 0 {
		t.Errorf("first ask drawn from %v", got)
	}
}

// What discovery asks for as a wait is kept, up to a bound.
func TestBusyDiscovery(t *testing.T) {
	for text, want := range map[string]time.Duration{"0.75": 750 * time.Millisecond, "": 0, "soon": 0, "3600": askAgainMost} {
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Retry-After", text)
			rw.WriteHeader(http.StatusServiceUnavailable)
		}))
		w := newWatcher(strings.TrimPrefix(s.URL, "http://"), 0, inObjects(func(Members) {}), func() {})
		_, err := w.watch(t.Context(), s.URL+"/catalog/members")
		s.Close()
		busy := new(busyError)
		if !errors.As(err, &busy) || busy.after != want {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// A reload moves the watch and the notices to the new address, and what is held stays.
func TestReload(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	c := p.start()
	next := newPlatform(t)
	next.addr = p.addr
	fresh := next.addHost("h2", 8)
	text, err := os.ReadFile(next.config())
	if err != nil {
		t.Fatal(err)
	}
	reload := func(text []byte) {
		t.Helper()
		if err := os.WriteFile(c.config, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := c.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	reload([]byte("{")) // changes nothing
	p.take("status", "a", "20")
	p.called()
	reload(text)
	p.until("the new list is in force", func() bool {
		hosts, _ := storedList(t, p.dir)
		return len(hosts) == 1 && hosts[0].Host == fresh.Host
	})
	next.answer = func(*http.Request) int { return 0 }
	r := p.handIn("order", "b", "0.4", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") })
	if r.StatusCode != http.StatusAccepted {
		t.Errorf("b: %s", r.Status)
	}
	p.until("the notice comes to the new address", func() bool { return len(next.told()) == 1 })
	if n := p.told(); len(n) != 0 {
		t.Errorf("notices at the old address: %v", n)
	}
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, c.exited); err != nil {
		t.Errorf("exit: %v", err)
	}
}
