package relay

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/handover"
	"milletsail/policy"
)

const (
	// equivalenceSeedsVariable is the environment variable with the number of histories to draw.
	equivalenceSeedsVariable = "RELAY_TEST_HISTORIES"
	// equivalenceSeeds is that number if the variable is not set.
	equivalenceSeeds = 150
)

// compare compares what a process knows of the live messages with what it has to know.
func (h *history) compare(what string, l *loop, want map[string]knowledge) {
	h.t.Helper()
	for id, wanted := range want {
		m := l.messages[id]
		if m == nil {
			h.t.Errorf("%s: message %s is lost", what, id)
			continue
		}
		if known := knowledgeOf(m); known != wanted {
			h.t.Errorf("%s: message %s of class %s: the process knows %+v, want %+v; attempts %+v", what, id, m.Class, known, wanted,
				m.Attempts)
		}
	}
	for _, entry := range l.journal.Entries() {
		if l.messages[entry.ID] == nil {
			h.t.Errorf("%s: message %s is lost", what, entry.ID)
		}
	}
}

// live returns what has to be known of the messages that the running process has in its journal.
func (h *history) live() map[string]knowledge {
	live := map[string]knowledge{}
	for _, entry := range h.loop.journal.Entries() {
		live[entry.ID] = h.want[entry.ID]
	}
	return live
}

// checkRestart compares the running process, and what a process builds that starts after a kill.
func (h *history) checkRestart() {
	h.compare("running process", h.loop, h.live())
	if h.loop.journal.WriteError() != nil {
		return // what is missing on disk belongs to idempotent classes alone, or has no effect yet
	}
	want := h.live()
	for id, known := range want {
		known.inFlight = false
		want[id] = known
	}
	h.compare("after a kill", h.restarted(0), want)
}

// checkTorn makes an attempt, and compares what a process builds that starts after a kill within the writes of it: the state before it,
// after it, or one in between.
func (h *history) checkTorn() {
	before, path, size := h.live(), segment(h.t, h.dir), h.segmentSize()
	h.send()
	written := h.segmentSize() - size
	if written <= 0 || h.loop.journal.WriteError() != nil || segment(h.t, h.dir) != path {
		return
	}
	restarted := h.restarted(1 + h.random.Int64N(written))
	for id, after := range h.live() {
		m := restarted.messages[id]
		if m == nil {
			h.t.Errorf("after a kill within a write: message %s is lost", id)
			continue
		}
		made := len(m.Attempts)
		mayHaveRun := slices.ContainsFunc(m.Attempts, func(a journal.Attempt) bool { return !a.Ended || !a.NotExecuted })
		if made < before[id].attempts || made > after.attempts || before[id].mayHaveRun && !mayHaveRun {
			h.t.Errorf("after a kill within a write: message %s has attempts %+v, want between %+v and %+v", id, m.Attempts, before[id], after)
		}
	}
}

// segment returns the path of the newest segment of a directory.
func segment(t *testing.T, dir string) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "segment-*"))
	if err != nil || len(paths) == 0 {
		t.Fatal(paths, err)
	}
	return slices.MaxFunc(paths, func(a, b string) int { return cmp.Or(len(a)-len(b), strings.Compare(a, b)) })
}

// segmentSize returns the size of the newest segment.
func (h *history) segmentSize() int64 {
	info, err := os.Stat(segment(h.t, h.dir))
	if err != nil {
		h.t.Fatal(err)
	}
	return info.Size()
}

// restarted returns a process that starts from a copy of the state directory, without the last bytes of its segment.
func (h *history) restarted(torn int64) *loop {
	dir, path := h.t.TempDir(), segment(h.t, h.dir)
	content, err := os.ReadFile(path)
	if err != nil {
		h.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, filepath.Base(path)), content[:int64(len(content))-torn], 0o600); err != nil {
		h.t.Fatal(err)
	}
	l := newHistoryLoop(h.t, dir, journal.Disk)
	h.restore(l, nil, nil)
	return l
}

// restore restores the state of an earlier process, and compares what the policy is told of each message with what the process knows.
func (h *history) restore(l *loop, link *handover.Link, offer *handover.Offer) {
	l.restoreState(h.t.Context(), link, offer)
	told := map[string]bool{}
	for _, e := range l.batch.events {
		arrived, ok := e.(policy.Arrived)
		if !ok || told[arrived.ID] { // the policy ignores a known message
			continue
		}
		told[arrived.ID] = true
		known := knowledge{attempts: len(arrived.PriorAttempts)}
		for _, prior := range arrived.PriorAttempts {
			known.inFlight = known.inFlight || prior.InFlight
			if prior.NotExecuted {
				known.notExecuted++
			}
		}
		known.mayHaveRun = known.notExecuted < known.attempts
		if m := l.messages[arrived.ID]; known != knowledgeOf(m) && !arrived.Completed {
			h.t.Errorf("message %s: the policy is told %+v, the process knows %+v", arrived.ID, known, knowledgeOf(m))
		}
	}
	l.step(h.t.Context())
}

// checkHandover hands over to a successor, and compares what that process builds: at once, after the predecessor's calls have ended,
// and after a kill.
func (h *history) checkHandover() {
	ctx := h.t.Context()
	requests := make(chan *handover.Link, 1)
	handover.ListenForSuccessors(ctx, h.dir, &h.loop.metrics.Reasons, func(link *handover.Link) { requests <- link })
	transferred := make(chan *handover.Acquired, 1)
	go func() {
		acquired, err := handover.Request(ctx, h.dir, clock.Now().Add(testTimeout))
		if err != nil {
			h.t.Error(err)
		}
		transferred <- acquired
	}()
	want := h.live()
	if !h.loop.handOver(ctx, <-requests) {
		h.t.Fatal("no handover")
	}
	h.loop.releaseTransferred()
	acquired := <-transferred
	h.disk.full.Store(false)
	successor := newHistoryLoop(h.t, h.dir, h.disk)
	h.restore(successor, acquired.Predecessor, acquired.Offer)
	h.compare("after a handover", successor, want)

	predecessor := h.loop
	h.loop = successor
	go successor.followPredecessor(acquired.Predecessor, acquired.Offer)
	go func() {
		for {
			select {
			case e := <-predecessor.inbox:
				predecessor.handleAfterHandover(e)
			case <-ctx.Done():
				return
			}
		}
	}()
	for len(h.held) > 0 {
		h.answer()
	}
	h.checkRestart()
	acquired.Predecessor.Close()
}

// TestSuccessorsKnowWhatTheProcessKnows guards against issue 58: a restart or a handover built other attempts of a message than the
// running process had made, because attempts that could not be started were recorded and taken back by some parties alone. It draws
// histories; RELAY_TEST_HISTORIES sets their number.
func TestSuccessorsKnowWhatTheProcessKnows(t *testing.T) {
	seeds := equivalenceSeeds
	if n, err := strconv.Atoi(os.Getenv(equivalenceSeedsVariable)); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := newHistory(t, seed)
			for range historySteps {
				h.step()
			}
			h.checkRestart()
			h.checkHandover()
		})
	}
}

// Guards against issue 58 with the folder of an earlier version, which recorded attempts that could not be started like rejected ones:
// a message that is found with all its attempts used up, none of them executed, has to get one more.
func TestFolderWithAttemptsNotStarted(t *testing.T) {
	dir := t.TempDir()
	earlier := openTestJournal(t, dir, 3)
	for id, last := range map[string]bool{"untried": true, "in flight": false} {
		entry := &journal.Entry{ID: id, Class: "order", Dest: historyDestination, ExpiresAt: clock.Now().Add(time.Minute)}
		earlier.Accept(entry)
		for range historyAttempts - 1 {
			earlier.StartAttempt(entry, "h1", clock.Now())
			earlier.EndAttempt(entry, true)
		}
		earlier.StartAttempt(entry, "h1", clock.Now())
		if last {
			earlier.EndAttempt(entry, true)
		}
	}
	commit(t, earlier)
	l := newHistoryLoop(t, dir, journal.Disk)
	l.restore(t.Context(), nil, nil)
	for id, attempts := range map[string]int{"untried": historyAttempts - 1, "in flight": historyAttempts} {
		if found := l.messages[id].Attempts; len(found) != attempts {
			t.Errorf("message %s has %d attempts, want %d: %+v", id, len(found), attempts, found)
		}
		if stored := readJournal(t, dir).Get(id).Attempts; len(stored) != attempts {
			t.Errorf("message %s has %d attempts on disk, want %d: %+v", id, len(stored), attempts, stored)
		}
	}
}
