package discovery

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"milletsail/internal/endpoints"
)

// A watch that goes silent is given up, and the next one asks from the last version that came.
func TestSilentWatch(t *testing.T) {
	asked := make(chan string, 10)
	w, members, failed := watchOf(t, 300*time.Millisecond, func(rw http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Query().Get("index")
		_, _ = io.WriteString(rw, `{"seq":41,"whole":true,"hosts":[]}`+"\n")
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done()
	})
	if got := receive(t, asked); got != "40" {
		t.Errorf("first index %s", got)
	}
	if m := receive(t, members); m.Seq != 41 || !m.Whole {
		t.Errorf("told %+v", m)
	}
	receive(t, failed)
	w.Request()
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
				_ = http.NewResponseController(rw).Flush()
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
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(rw, "\n")
		}
	})
	receive(t, failed)
	w.Request()
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
	w.Request()
	if first, second := receive(t, asked), receive(t, asked); first != "40" || second != "0" {
		t.Errorf("indexes %s, %s", first, second)
	}
	if m := receive(t, members); m.Seq != 43 {
		t.Errorf("told %+v", m)
	}
}

// What discovery asks for as a wait is kept, up to a bound.
func TestUnavailableDiscovery(t *testing.T) {
	for text, want := range map[string]time.Duration{"0.75": 750 * time.Millisecond, "": 0, "soon": 0, "3600": maxRetryJitter} {
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Retry-After", text)
			rw.WriteHeader(http.StatusServiceUnavailable)
		}))
		w := New(strings.TrimPrefix(s.URL, "http://"), 0, inObjects(func(Members) {}), func() {})
		_, err := w.watch(t.Context(), s.URL+membersPath)
		s.Close()
		busy := new(UnavailableError)
		if !errors.As(err, &busy) || busy.RetryAfter != want {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// A relay that takes long over a batch does not take the watch for silent, and gets no other batch meanwhile.
func TestBusyRelayIsNoStalledWatch(t *testing.T) {
	const silence = 100 * time.Millisecond
	list := wholeList(t, 50, filler(2*endpoints.BatchSize))
	batches := make(chan Batch, 100)
	_, failed := startWatch(t, silence, func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(rw, list)
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done()
	}, func(b Batch) { batches <- b })
	first := receive(t, batches)
	select {
	case <-failed:
		t.Fatal("the watch was given up while a batch was applied")
	case <-batches:
		t.Fatal("another batch came while one was applied")
	case <-time.After(5 * silence):
	}
	close(first.Applied)
	for b := receive(t, batches); ; b = receive(t, batches) {
		close(b.Applied)
		if b.End {
			break
		}
	}
	receive(t, failed) // now nothing comes any more
}

// Discovery may move while a batch is applied: the watch at the new address begins at once, from the last version that
// is whole.
func TestRedirectWhileABatchIsApplied(t *testing.T) {
	list := wholeList(t, 50, filler(2*endpoints.BatchSize))
	batches := make(chan Batch, 100)
	w, _ := startWatch(t, long, func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(rw, list)
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done()
	}, func(b Batch) { batches <- b })
	receive(t, batches)
	indexes := make(chan string, 1)
	next := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		indexes <- r.URL.Query().Get("index")
		keepAlive(rw, r)
	}))
	t.Cleanup(next.Close)
	w.Redirect(strings.TrimPrefix(next.URL, "http://"))
	if index := receive(t, indexes); index != "40" {
		t.Errorf("index %s", index)
	}
}

// keepAlive sends empty lines until the watch ends.
func keepAlive(rw http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		if _, err := io.WriteString(rw, "\n"); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}
