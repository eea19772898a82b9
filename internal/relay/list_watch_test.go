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

// newListPlatform gives a platform with a host of destination 7, operators, and room on disk for long lists.
func newListPlatform(t *testing.T) (p *platform, known Member) {
	t.Helper()
	p = newPlatform(t)
	p.diskMB = 100
	p.admin = closedAddress(t)
	return p, p.addHost("h1", 7)
}

// A long list that is cut off in the middle removes nothing, also once the next one has begun, and the next watch asks
// from the version before it.
func TestLongListCutOff(t *testing.T) {
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
		t.Errorf("indexes %s, %s", one, two)
	}
	p.submitAccepted("status", "between", "20") // the host is not in the half that came
	p.nextCall()
	served <- true
	p.waitUntil("the next one has begun", func() bool {
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

// A long list that is spoilt in the middle removes nothing, and the whole list is asked for.
func TestLongListSpoilt(t *testing.T) {
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
		t.Errorf("indexes %s, %s", one, two)
	}
	p.submitAccepted("status", "between", "20")
	p.nextCall()
	close(served)
	p.waitForMembers(manyHosts + 1)
}

// A long list of which nothing more comes but empty lines is dead: the next watch asks from the version before it, and in
// time for what it brings.
func TestLongListSilent(t *testing.T) {
	p, known := newListPlatform(t)
	list := completeList(t, 50, append(fillerHosts(manyHosts), known))
	type ask struct {
		index string
		at    time.Time
	}
	asks, silent := make(chan ask, 1000), make(chan time.Time, 1)
	first := true
	p.serveWatch = func(a *watchResponse) {
		asks <- ask{a.index(), time.Now()}
		if first {
			first = false
			half, _ := splitWithinEntry(list)
			a.send(half)
			silent <- time.Now()
			a.keepAlive()
			return
		}
		a.send(list)
		a.keepAlive()
	}
	p.start()
	one, from, two := receive(t, asks), receive(t, silent), receive(t, asks)
	if one.index != "40" || two.index != "40" {
		t.Errorf("indexes %s, %s", one.index, two.index)
	}
	if after := two.at.Sub(from); after < discovery.SilenceTimeout || after > 6*time.Second {
		t.Errorf("asked again %v after the last of the list, want within 6 s", after)
	}
	p.waitForMembers(manyHosts + 1)
}

// A long list may come indented, and in pieces that end anywhere.
func TestLongListIndented(t *testing.T) {
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

// Messages for known destinations are served while a long list is still being read.
func TestServedWhileAListIsRead(t *testing.T) {
	p, known := newListPlatform(t)
	list := completeList(t, 50, append(fillerHosts(manyHosts), known))
	delivered := make(chan bool)
	p.serveWatch = func(a *watchResponse) {
		half, rest := splitWithinEntry(list)
		a.send(half)
		for waiting := true; waiting; { // slowly on, so that the watch lives
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
	p.waitUntil("much of the list is applied", func() bool { return p.memberCount() > manyHosts/3 })
	for i := range 20 {
		p.submitAccepted("status", fmt.Sprint("m", i), "20")
		p.nextCall()
	}
	if n := p.memberCount(); n > manyHosts {
		t.Errorf("%d hosts are on the list before all of it was written", n)
	}
	close(delivered)
	p.waitForMembers(manyHosts + 1)
}

// A whole list removes the hosts that it does not name, however many others it names: they get nothing new. What is
// remembered of the others stays.
func TestCompleteListRemovesEndpoints(t *testing.T) {
	p, gone := newListPlatform(t)
	stays := p.addHost("h2", 7)
	served := make(chan bool)
	p.serveWatch = func(a *watchResponse) {
		a.waitFor(served)
		a.send(completeList(t, 50, append(fillerHosts(manyHosts), stays)))
		a.keepAlive()
	}
	c := p.start()
	p.submitAccepted("status", "before", "20") // the module knows the destination
	p.nextCall()
	close(served)
	p.waitUntil("the whole list is in force", func() bool {
		hosts, seq := readStoredList(t, p.stateDir)
		return seq == 50 && len(hosts) == manyHosts+1
	})
	var hit []string
	p.update(func() {
		p.respond = func(r *http.Request) int {
			hit = append(hit, r.Host)
			return http.StatusOK
		}
	})
	for i := range 10 {
		p.submitAccepted("status", fmt.Sprint("m", i), "20")
		p.nextCall()
	}
	for _, dial := range hit {
		if dial == gone.Dial {
			t.Fatal("a host that was removed got new work")
		}
	}
	p.kill(c)
	if strings.Contains(fmt.Sprint(c.Stderr), "of another destination") {
		t.Error("the module was not told that the host is gone")
	}
}
