package relay

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// manyHosts is the length of a list that comes in many batches.
const manyHosts = 20_000

// watchResponse is discovery's answer to one watch, as a test writes it.
type watchResponse struct {
	rw http.ResponseWriter
	r  *http.Request
	p  *platform
}

// index is the version from which the watch asks.
func (a *watchResponse) index() string { return a.r.URL.Query().Get("index") }

// send writes a piece of the answer.
func (a *watchResponse) send(text string) {
	_, _ = io.WriteString(a.rw, text)
	_ = http.NewResponseController(a.rw).Flush()
}

// keepAlive tells that nothing changes until the relay leaves.
func (a *watchResponse) keepAlive() {
	for {
		a.send("\n")
		select {
		case <-a.r.Context().Done():
			return
		case <-a.p.stopping:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// waitFor waits for the test, unless that or the relay ends.
func (a *watchResponse) waitFor(test <-chan bool) {
	select {
	case <-test:
	case <-a.r.Context().Done():
		a.abort()
	case <-a.p.stopping:
		a.abort()
	}
}

// abort ends the connection in the middle of the answer.
func (a *watchResponse) abort() { panic(http.ErrAbortHandler) }

// fillerHosts are hosts of destinations of their own, which no message is for.
func fillerHosts(n int) (hosts []Member) {
	for i := range n {
		hosts = append(hosts, Member{Host: fmt.Sprintf("filler-%06d", i), Dial: fmt.Sprintf("127.0.0.1:%d", 10_000+i%1000),
			Site: "a", Class: "m2",
			Block: 1000 + i, Health: "SERVING", Share: 1})
	}
	return hosts
}

// completeList is a whole list as discovery writes it.
func completeList(tb testing.TB, seq int64, hosts []Member) string {
	tb.Helper()
	text, err := json.Marshal(Members{Seq: seq, Whole: true, Hosts: hosts})
	if err != nil {
		tb.Fatal(err)
	}
	return string(text) + "\n"
}

// splitWithinEntry cuts a list within an entry near its middle.
func splitWithinEntry(list string) (first, second string) {
	cut := len(list)/2 + strings.Index(list[len(list)/2:], `"block"`)
	return list[:cut], list[cut:]
}

// memberCount is how many hosts the relay has on its list.
func (p *platform) memberCount() (n int) {
	p.t.Helper()
	for line := range strings.Lines(sendAdminCommand(p.t, p.admin, "counters\n")) {
		_, _ = fmt.Sscanf(line, "relay_members %d", &n)
	}
	return n
}

// waitForMembers waits until the relay has a list of some length.
func (p *platform) waitForMembers(n int) {
	p.t.Helper()
	p.waitUntil(fmt.Sprintf("%d hosts are on the list", n), func() bool { return p.memberCount() == n })
}
