package relay

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	// scarceMemoryMB is a memory limit that leaves room for fewer calls than scarceMessages.
	scarceMemoryMB = 16
	// ampleMemoryMB is a memory limit that leaves room for all calls.
	ampleMemoryMB = 192
	// scarceMessages is how many messages a test submits under scarceMemoryMB.
	scarceMessages = 45
	// scarceSlots is the number of slots of the relay, half of which one destination may use.
	scarceSlots = 4 * scarceMessages
	// fewAttempts and manyAttempts are numbers of attempts that a message may have.
	fewAttempts, manyAttempts = 2, 100
	// shortagesAMessage is how many calls for each waiting message cannot be started before a test goes on.
	shortagesAMessage = 2 * fewAttempts
)

// writeScarceConfig writes a configuration with limits on memory and on the attempts for a message, and enough slots for all messages.
func (p *platform) writeScarceConfig(memoryMB, attempts int) string {
	p.t.Helper()
	return p.writeModifiedConfig(func(top, settings, limits map[string]any) {
		top["limits"] = map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": p.sockets, "disk_mb": p.diskMB}
		settings["specifics"] = map[string]any{"bundle_max": []int{1}, "loses_worth": "linear", "max_calls": scarceSlots,
			"separate_routes": []bool{false}}
		limits["max_open"], limits["max_attempts"] = scarceSlots, attempts
	})
}

// startShortOfMemory starts a relay without memory for all calls that it has to make, and submits messages of a class. The endpoint
// holds each call until the test sends to release. It returns once the calls of the remaining messages could not be started several
// times each.
func (p *platform) startShortOfMemory(class string, attempts int) (relay *child, release chan bool) {
	p.t.Helper()
	release = make(chan bool)
	p.respond = p.respondAfter(release)
	p.admin = closedAddress(p.t)
	relay = p.startWithConfig(p.writeScarceConfig(scarceMemoryMB, attempts))
	for i := range scarceMessages {
		p.submitAccepted(class, fmt.Sprint("m", i), "28")
	}
	p.waitUntil("the calls of the remaining messages could not be started", func() bool {
		waiting := scarceMessages - len(p.calls())
		return waiting > 0 && p.countNotStarted() > shortagesAMessage*waiting
	})
	return relay, release
}

// countNotStarted returns how many attempts could not be started, by the relay's counters.
func (p *platform) countNotStarted() int {
	p.t.Helper()
	const name = `relay_calls_without_delivery{reason="not begun"} `
	for line := range strings.Lines(sendAdminCommand(p.t, p.admin, "diagnostics\n")) {
		if text, found := strings.CutPrefix(line, name); found {
			count, err := strconv.Atoi(strings.TrimSpace(text))
			if err != nil {
				p.t.Fatal(err)
			}
			return count
		}
	}
	return 0
}

// uncalled returns the ids of the submitted messages without a call.
func (p *platform) uncalled() (ids []string) {
	called := p.calls()
	for i := range scarceMessages {
		if id := fmt.Sprint("m", i); !slices.Contains(called, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// repeatedCalls returns the ids that were called more than once.
func (p *platform) repeatedCalls() []string {
	counts := map[string]int{}
	for _, id := range p.calls() {
		counts[id]++
	}
	maps.DeleteFunc(counts, func(_ string, n int) bool { return n == 1 })
	return slices.Sorted(maps.Keys(counts))
}

// Guards against issue 58, review/6: an upgrade sent messages again, or reported them as undeliverable, whose calls were in flight in
// the predecessor, because the journal still counted attempts that the predecessor could not start for lack of memory.
func TestUpgradeAfterCallsNotStarted(t *testing.T) {
	for class, attempts := range map[string]int{"status": manyAttempts, "payment": fewAttempts, "order": fewAttempts} {
		t.Run(class, func(t *testing.T) {
			p := newPlatform(t)
			p.addHost("h1", 7)
			p.openClientSocket()
			old, release := p.startShortOfMemory(class, attempts)
			for range p.uncalled() {
				release <- true // makes room for one more call
			}
			p.waitUntil("all messages have been called", func() bool { return len(p.uncalled()) == 0 })
			p.admin = closedAddress(t)
			p.startWithConfig(p.writeScarceConfig(ampleMemoryMB, attempts))
			p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
			p.submitAccepted(class, "after", "25")
			p.waitUntil("the successor sends a message", func() bool { return slices.Contains(p.calls(), "after") })
			close(release)
			if err := old.waitForExit(t); err != nil {
				t.Errorf("predecessor exited with an error: %v", err)
			}
			p.waitUntil("all messages have ended", func() bool { return len(readEntries(t, p.stateDir)) == 0 })
			if repeated, notifications := p.repeatedCalls(), p.notifications(); len(repeated)+len(notifications) > 0 {
				t.Errorf("called more than once: %v; notifications %v; want none of either", repeated, notifications)
			}
		})
	}
}

// Guards against issue 58, review/7: after a kill, messages that no endpoint had seen were given up without a call, because attempts
// that could not be started for lack of memory counted as attempts.
func TestRestartAfterCallsNotStarted(t *testing.T) {
	for _, class := range []string{"status", "order"} {
		t.Run(class, func(t *testing.T) {
			p := newPlatform(t)
			p.addHost("h1", 7)
			relay, _ := p.startShortOfMemory(class, fewAttempts)
			untried := p.uncalled()
			p.kill(relay)
			p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
			p.startWithConfig(p.writeScarceConfig(ampleMemoryMB, fewAttempts))
			p.waitUntil("the messages found untried are called", func() bool { return len(p.uncalled()) == 0 })
			notified := p.notifications()
			for _, n := range notified {
				if slices.Contains(untried, n.ID) {
					t.Errorf("message %s was found untried and reported as %s", n.ID, n.Status)
				}
			}
		})
	}
}
