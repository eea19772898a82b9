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

// manyHosts is the length of a list that is read and applied in many batches.
const manyHosts = 20_000

// watchResponse is discovery's response to one watch, which a test writes piece by piece.
type watchResponse struct {
	rw http.ResponseWriter
	r  *http.Request
	p  *platform
}

// index returns the version from which the watch requests changes.
func (a *watchResponse) index() string { return a.r.URL.Query().Get("index") }

// send writes a piece of the response and flushes it.
func (a *watchResponse) send(text string) {
	_, _ = io.WriteString(a.rw, text)
	_ = http.NewResponseController(a.rw).Flush()
}

// keepAlive sends empty lines, which mean that nothing has changed, until the relay disconnects or the test ends.
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

// waitFor blocks until the test sends a value. If the relay disconnects or the test ends before, it aborts the response.
func (a *watchResponse) waitFor(test <-chan bool) {
	select {
	case <-test:
	case <-a.r.Context().Done():
		a.abort()
	case <-a.p.stopping:
		a.abort()
	}
}

// abort closes the connection in the middle of the response.
func (a *watchResponse) abort() { panic(http.ErrAbortHandler) }

// fillerHosts returns n endpoints that only fill the list: each has a destination of its own, to which no test sends a message.
func fillerHosts(n int) (hosts []Member) {
	for i := range n {
		hosts = append(hosts, Member{Host: fmt.Sprintf("filler-%06d", i), Dial: fmt.Sprintf("127.0.0.1:%d", 10_000+i%1000),
			Site: "a", Class: "m2",
			Block: 1000 + i, Health: "SERVING", Share: 1})
	}
	return hosts
}

// completeList returns a line with a complete list, as discovery writes it.
func completeList(tb testing.TB, seq int64, hosts []Member) string {
	tb.Helper()
	text, err := json.Marshal(Members{Seq: seq, Whole: true, Hosts: hosts})
	if err != nil {
		tb.Fatal(err)
	}
	return string(text) + "\n"
}

// splitWithinEntry splits the text of a list within an entry near its middle.
func splitWithinEntry(list string) (first, second string) {
	cut := len(list)/2 + strings.Index(list[len(list)/2:], `"block"`)
	return list[:cut], list[cut:]
}

// memberCount returns the number of endpoints on the relay's list, from the counters at its admin endpoint.
func (p *platform) memberCount() (n int) {
	p.t.Helper()
	for line := range strings.Lines(sendAdminCommand(p.t, p.admin, "counters\n")) {
		_, _ = fmt.Sscanf(line, "relay_members %d", &n)
	}
	return n
}

// waitForMembers waits until the relay has n endpoints on its list.
func (p *platform) waitForMembers(n int) {
	p.t.Helper()
	p.waitUntil(fmt.Sprintf("%d endpoints are on the list", n), func() bool { return p.memberCount() == n })
}
