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

// Guards against a watch that stalls unnoticed, when the connection stays open but no data arrives. The next watch has to start
// from the last version received.
func TestStalledWatch(t *testing.T) {
	asked := make(chan string, 10)
	w, members, failed := watchMembers(t, 300*time.Millisecond, func(rw http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Query().Get("index")
		_, _ = io.WriteString(rw, `{"seq":41,"whole":true,"hosts":[]}`+"\n")
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done()
	})
	if got := receive(t, asked); got != "40" {
		t.Errorf("first watch: index %s, want 40", got)
	}
	if m := receive(t, members); m.Seq != 41 || !m.Whole {
		t.Errorf("received %+v, want a complete list of version 41", m)
	}
	receive(t, failed)
	w.Request()
	if got := receive(t, asked); got != "41" {
		t.Errorf("second watch: index %s, want 41", got)
	}
}

// Guards against a reader that relies on one list per line or per read: a list may span lines and reads, and one read may hold
// the end of a list and the start of the next.
func TestListsInPieces(t *testing.T) {
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
		_, members, _ := watchMembers(t, testTimeout, func(rw http.ResponseWriter, r *http.Request) {
			for piece := range slices.Chunk(text, size) {
				_, _ = rw.Write(piece)
				_ = http.NewResponseController(rw).Flush()
			}
			<-r.Context().Done()
		})
		for seq := range int64(3) {
			if m := receive(t, members); m.Seq != 41+seq || m.Whole != (seq == 0) || !slices.Equal(m.Hosts, hosts[:seq]) {
				t.Errorf("response in pieces of %d bytes: received wrong list %+v", size, m)
			}
		}
	}
}

// Guards against keep-alive lines that hide a stalled list: with empty lines after an incomplete list, the rest does not arrive
// any more. The watch has to count as stalled, and the next one to start from the last complete version.
func TestIncompleteListStallsWatch(t *testing.T) {
	asked := make(chan string, 10)
	w, _, failed := watchMembers(t, 300*time.Millisecond, func(rw http.ResponseWriter, r *http.Request) {
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
		t.Errorf("watches started from indexes %s and %s, want 40 and 41", first, second)
	}
}

// Guards against missing the changes in a malformed object: the next watch has to request the complete list (index 0).
func TestMalformedListResetsVersion(t *testing.T) {
	asked := make(chan string, 10)
	w, members, failed := watchMembers(t, testTimeout, func(rw http.ResponseWriter, r *http.Request) {
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
		t.Errorf("watches started from indexes %s and %s, want 40 and 0", first, second)
	}
	if m := receive(t, members); m.Seq != 43 {
		t.Errorf("received %+v, want version 43", m)
	}
}

// Guards against ignoring the Retry-After of discovery, and against waiting for an arbitrarily long one.
func TestRetryAfterIsBounded(t *testing.T) {
	for text, want := range map[string]time.Duration{"0.75": 750 * time.Millisecond, "": 0, "soon": 0, "3600": maxRetryJitter} {
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Retry-After", text)
			rw.WriteHeader(http.StatusServiceUnavailable)
		}))
		w := New(strings.TrimPrefix(s.URL, "http://"), 0, collectBatches(func(Members) {}), func() {})
		_, err := w.watch(t.Context(), s.URL+membersPath)
		s.Close()
		unavailable := new(UnavailableError)
		if !errors.As(err, &unavailable) || unavailable.RetryAfter != want {
			t.Errorf("Retry-After %q: wrong error or wait: %v", text, err)
		}
	}
}

// Guards against a relay that is slow to apply a batch and therefore gives up a healthy watch, or gets further batches meanwhile.
func TestSlowBatchDoesNotStallWatch(t *testing.T) {
	const silence = 100 * time.Millisecond
	list := encodeCompleteList(t, 50, fillerHosts(2*endpoints.BatchSize))
	batches := make(chan Batch, 100)
	_, failed := startWatch(t, silence, func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(rw, list)
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done()
	}, func(b Batch) { batches <- b })
	first := receive(t, batches)
	select {
	case <-failed:
		t.Fatal("the watch ended while a batch was being applied")
	case <-batches:
		t.Fatal("another batch arrived while one was being applied")
	case <-time.After(5 * silence):
	}
	close(first.Applied)
	for b := receive(t, batches); ; b = receive(t, batches) {
		close(b.Applied)
		if b.End {
			break
		}
	}
	receive(t, failed) // the server sends nothing more, so the watch stalls
}

// Guards against a redirect that waits for a batch to be applied: the watch at the new address has to start at once, from the
// last complete version.
func TestRedirectWhileBatchIsApplied(t *testing.T) {
	list := encodeCompleteList(t, 50, fillerHosts(2*endpoints.BatchSize))
	batches := make(chan Batch, 100)
	w, _ := startWatch(t, testTimeout, func(rw http.ResponseWriter, r *http.Request) {
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
		t.Errorf("watch at the new address: index %s, want 40", index)
	}
}

// keepAlive sends empty lines until the client ends the watch.
func keepAlive(rw http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		if _, err := io.WriteString(rw, "\n"); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}
