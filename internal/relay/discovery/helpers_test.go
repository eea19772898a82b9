package discovery

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"milletsail/internal/endpoints"
)

// Members is one object of a watch's response: a complete list, or the changes since the previous one.
type Members struct {
	Seq   int64    `json:"seq"`
	Whole bool     `json:"whole"`
	Hosts []Member `json:"hosts"`
}

// Member is one entry of Members.
type Member = endpoints.Entry

const draining = endpoints.Draining

// testTimeout bounds every wait of a test; it is far longer than any expected wait.
const testTimeout = 20 * time.Second

// receive returns the next value of a channel, and fails the test if none arrives within testTimeout.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatal("no value received within the time-out")
		panic("not reached")
	}
}

// roundTripper is a function that takes the place of discovery's HTTP server.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// collectBatches returns a batch handler that joins the batches of each object, passes the whole object to onMembers, and marks
// every batch as applied at once.
func collectBatches(onMembers func(Members)) func(Batch) {
	var object Members
	return func(b Batch) {
		if b.First {
			object = Members{}
		}
		object.Hosts = append(object.Hosts, b.Entries...)
		if b.End {
			object.Seq, object.Whole = b.Seq, b.Complete
			onMembers(object)
		}
		close(b.Applied)
	}
}

// watchMembers starts a watcher of a server with the given handler. It returns a channel of the objects received, and one that
// receives a value when a watch ends.
func watchMembers(t *testing.T, silence time.Duration, serve http.HandlerFunc) (*Watcher, chan Members, chan bool) {
	t.Helper()
	members := make(chan Members, 10)
	w, failed := startWatch(t, silence, serve, collectBatches(func(m Members) { members <- m }))
	return w, members, failed
}

// startWatch starts a watcher of a server with the given handler, and requests a watch from version 40 on. It returns a channel
// that receives a value when a watch ends.
func startWatch(t *testing.T, silence time.Duration, serve http.HandlerFunc, onBatch func(Batch)) (*Watcher, chan bool) {
	t.Helper()
	s := httptest.NewServer(serve)
	failed := make(chan bool, 10)
	w := New(strings.TrimPrefix(s.URL, "http://"), 0, onBatch, func() { failed <- true })
	w.silenceTimeout, w.Version = silence, 40
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	go w.Run(t.Context())
	w.Request()
	return w, failed
}

// fillerHosts returns n list entries, each with a block of its own, which serve only to make a list long.
func fillerHosts(n int) (hosts []Member) {
	for i := range n {
		hosts = append(hosts, Member{Host: fmt.Sprintf("filler-%06d", i), Dial: fmt.Sprintf("127.0.0.1:%d", 10_000+i%1000),
			Site: "a", Class: "m2",
			Block: 1000 + i, Health: "SERVING", Share: 1})
	}
	return hosts
}

// encodeCompleteList returns a complete list in the format of discovery.
func encodeCompleteList(t *testing.T, seq int64, hosts []Member) string {
	t.Helper()
	text, err := json.Marshal(Members{Seq: seq, Whole: true, Hosts: hosts})
	if err != nil {
		t.Fatal(err)
	}
	return string(text) + "\n"
}
