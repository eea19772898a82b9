package relay

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletsail/internal/relay/discovery"
)

// newListPlatform returns a platform with one endpoint of destination 7, an admin endpoint, and enough disk space for long lists.
func newListPlatform(t *testing.T) (p *platform, known Member) {
	t.Helper()
	p = newPlatform(t)
	p.diskMB = 100
	p.admin = closedAddress(t)
	return p, p.addHost("h1", 7)
}

// A complete list that breaks off must not remove the endpoints that were still to come, neither then nor while the next one is
// read. The next watch has to begin from the version before the list.
func TestLongListBrokenOff(t *testing.T) {
	p, known := newListPlatform(t)
	list := completeList(t, 50, append(fillerHosts(manyHosts), known))
	indexes, served := make(chan string, 1000), make(chan bool, 2)
	first := true
	p.serveWatch = func(a *watchResponse) {
		indexes <- a.index()
		half, rest := splitWithinEntry(list)
		if first {
			first = false
			a.send(half)
			a.abort()
		}
		a.waitFor(served)
		a.send(`{"seq":49,"whole":false,"hosts":[]}` + "\n" + half)
		a.waitFor(served)
		a.send(rest)
		a.keepAlive()
	}
	p.start()
	if one, two := receive(t, indexes), receive(t, indexes); one != "40" || two != "40" {
		t.Errorf("watches began from versions %s and %s, want 40 and 40", one, two)
	}
	p.submitAccepted("status", "between", "20") // its endpoint is in the half that was not sent
	p.nextCall()
	served <- true
	p.waitUntil("the second watch has begun", func() bool {
		_, seq := readStoredList(t, p.stateDir)
		return seq == 49
	})
	p.submitAccepted("status", "meanwhile", "20")
	p.nextCall()
	served <- true
	p.waitForMembers(manyHosts + 1)
	p.waitUntil("the list is on disk", func() bool {
		hosts, seq := readStoredList(t, p.stateDir)
		return seq == 50 && len(hosts) == manyHosts+1
	})
}

// A complete list with a syntax error in the middle must not remove the endpoints after the error. The next watch has to request
// the whole list, because the state before the error is unknown.
func TestLongListMalformed(t *testing.T) {
	p, known := newListPlatform(t)
	list := completeList(t, 50, append(fillerHosts(manyHosts), known))
	indexes, served := make(chan string, 1000), make(chan bool)
	first := true
	p.serveWatch = func(a *watchResponse) {
		indexes <- a.index()
		if first {
			first = false
			half, rest := splitWithinEntry(list)
			a.send(half + strings.Replace(rest, `"block":`, `"block":"x`, 1))
			a.keepAlive()
			return
		}
		a.waitFor(served)
		a.send(list)
		a.keepAlive()
	}
	p.start()
	if one, two := receive(t, indexes), receive(t, indexes); one != "40" || two != "0" {
		t.Errorf("watches began from versions %s and %s, want 40 and 0", one, two)
	}
	p.submitAccepted("status", "between", "20")
	p.nextCall()
	close(served)
	p.waitForMembers(manyHosts + 1)
}

// A list that stalls in the middle while empty lines keep the connection alive would leave the relay without updates. The relay
// has to give the watch up after discovery.SilenceTimeout and to watch again from the version before the list, within 6 s.
func TestLongListStalled(t *testing.T) {
	p, known := newListPlatform(t)
	list := completeList(t, 50, append(fillerHosts(manyHosts), known))
	type request struct {
		index string
		at    time.Time
	}
	requests, stalled := make(chan request, 1000), make(chan time.Time, 1)
	first := true
	p.serveWatch = func(a *watchResponse) {
		requests <- request{a.index(), time.Now()}
		if first {
			first = false
			half, _ := splitWithinEntry(list)
			a.send(half)
			stalled <- time.Now()
			a.keepAlive()
			return
		}
		a.send(list)
		a.keepAlive()
	}
	p.start()
	one, stalledAt, two := receive(t, requests), receive(t, stalled), receive(t, requests)
	if one.index != "40" || two.index != "40" {
		t.Errorf("watches began from versions %s and %s, want 40 and 40", one.index, two.index)
	}
	if after := two.at.Sub(stalledAt); after < discovery.SilenceTimeout || after > 6*time.Second {
		t.Errorf("watched again %v after the last data of the list, want after the silence timeout and within 6 s", after)
	}
	p.waitForMembers(manyHosts + 1)
}

// The reader of the list must not depend on its layout or on where the pieces of the response end: it has to read an indented
// list, with carriage returns, in pieces of many sizes.
func TestLongListIndentedInPieces(t *testing.T) {
	p, known := newListPlatform(t)
	hosts := append(fillerHosts(manyHosts), known)
	text, err := json.MarshalIndent(Members{Seq: 50, Whole: true, Hosts: hosts}, "", "    ")
	if err != nil {
		t.Fatal(err)
	}
	p.serveWatch = func(a *watchResponse) {
		rest := string(text) + "\r\n\n" + endpointUpdate(t, 51, Member{Host: "last", Block: 8, Health: "SERVING"}) + "\n"
		for size := 1; len(rest) > 0; size = size%9973 + 1 {
			size = min(size, len(rest))
			a.send(rest[:size])
			rest = rest[size:]
		}
		a.keepAlive()
	}
	p.start()
	p.waitUntil("the list and the change are on disk", func() bool {
		stored, seq := readStoredList(t, p.stateDir)
		return seq == 51 && len(stored) == len(hosts)+1
	})
	p.waitForMembers(len(hosts) + 1)
}

// Reading a long list must not block the relay: messages for known destinations have to be delivered while the list is still
// read.
func TestMessagesDeliveredWhileListIsRead(t *testing.T) {
	p, known := newListPlatform(t)
	list := completeList(t, 50, append(fillerHosts(manyHosts), known))
	delivered := make(chan bool)
	p.serveWatch = func(a *watchResponse) {
		half, rest := splitWithinEntry(list)
		a.send(half)
		for waiting := true; waiting; { // sends a little now and then, so that the watch does not time out
			select {
			case <-delivered:
				waiting = false
			case <-a.r.Context().Done():
				return
			case <-time.After(discovery.SilenceTimeout / 5):
				a.send(rest[:1])
				rest = rest[1:]
			}
		}
		a.send(rest)
		a.keepAlive()
	}
	p.start()
	p.waitUntil("a third of the list is applied", func() bool { return p.memberCount() > manyHosts/3 })
	for i := range 20 {
		p.submitAccepted("status", fmt.Sprint("m", i), "20")
		p.nextCall()
	}
	if n := p.memberCount(); n > manyHosts {
		t.Errorf("%d endpoints are on the list before all of it was sent", n)
	}
	close(delivered)
	p.waitForMembers(manyHosts + 1)
}

// An endpoint that a complete list does not contain must get no further calls, however long the list is: the relay has to remove
// it and to tell the policy so.
func TestCompleteListRemovesEndpoints(t *testing.T) {
	p, removed := newListPlatform(t)
	kept := p.addHost("h2", 7)
	list := completeList(t, 50, append(fillerHosts(manyHosts), kept))
	served := make(chan bool)
	p.serveWatch = func(a *watchResponse) {
		a.waitFor(served)
		a.send(list)
		a.keepAlive()
	}
	c := p.start()
	p.submitAccepted("status", "before", "20") // so that the policy knows the destination
	p.nextCall()
	close(served)
	p.waitUntil("the complete list is on disk", func() bool {
		hosts, seq := readStoredList(t, p.stateDir)
		return seq == 50 && len(hosts) == manyHosts+1
	})
	var called []string
	p.update(func() {
		p.respond = func(r *http.Request) int {
			called = append(called, r.Host)
			return http.StatusOK
		}
	})
	for i := range 10 {
		p.submitAccepted("status", fmt.Sprint("m", i), "20")
		p.nextCall()
	}
	for _, dial := range called {
		if dial == removed.Dial {
			t.Fatal("a removed endpoint was called")
		}
	}
	p.kill(c)
	if strings.Contains(fmt.Sprint(c.Stderr), "of another destination") {
		t.Error("the policy was not told that the endpoint was removed: the log names an endpoint of another destination")
	}
}
