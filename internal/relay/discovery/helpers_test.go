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

// Members is an object of discovery's, a list or a change of it, and Member one of its entries.
type Members struct {
	Seq   int64    `json:"seq"`
	Whole bool     `json:"whole"`
	Hosts []Member `json:"hosts"`
}

type Member = endpoints.Entry

const draining = endpoints.Draining

// long is longer than anything that a test waits for in vain.
const long = 20 * time.Second

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

// roundTripper stands for discovery.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// inObjects gathers batches into the objects that they are of, and has the watch go on at once.
func inObjects(told func(Members)) func(Batch) {
	var object Members
	return func(b Batch) {
		if b.First {
			object = Members{}
		}
		object.Hosts = append(object.Hosts, b.Entries...)
		if b.End {
			object.Seq, object.Whole = b.Seq, b.Complete
			told(object)
		}
		close(b.Applied)
	}
}

// watchOf follows a handler's watches and returns what the watcher tells.
func watchOf(t *testing.T, silence time.Duration, serve http.HandlerFunc) (*Watcher, chan Members, chan bool) {
	t.Helper()
	members := make(chan Members, 10)
	w, failed := startWatch(t, silence, serve, inObjects(func(m Members) { members <- m }))
	return w, members, failed
}

// startWatch starts a watcher of a handler, from version 40 on.
func startWatch(t *testing.T, silence time.Duration, serve http.HandlerFunc, told func(Batch)) (*Watcher, chan bool) {
	t.Helper()
	s := httptest.NewServer(serve)
	failed := make(chan bool, 10)
	w := New(strings.TrimPrefix(s.URL, "http://"), 0, told, func() { failed <- true })
	w.silenceTimeout, w.Version = silence, 40
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	go w.Run(t.Context())
	w.Request()
	return w, failed
}

// filler are hosts of destinations of their own, which no message is for.
func filler(n int) (hosts []Member) {
	for i := range n {
		hosts = append(hosts, Member{Host: fmt.Sprintf("filler-%06d", i), Dial: fmt.Sprintf("127.0.0.1:%d", 10_000+i%1000),
			Site: "a", Class: "m2",
			Block: 1000 + i, Health: "SERVING", Share: 1})
	}
	return hosts
}

// wholeList is a whole list as discovery writes it.
func wholeList(t *testing.T, seq int64, hosts []Member) string {
	t.Helper()
	text, err := json.Marshal(Members{Seq: seq, Whole: true, Hosts: hosts})
	if err != nil {
		t.Fatal(err)
	}
	return string(text) + "\n"
}
