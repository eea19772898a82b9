package relay

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/endpoints"
	"milletsail/internal/journal"
	"milletsail/internal/relay/config"
	"milletsail/internal/relay/discovery"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/handover"
	"milletsail/internal/relay/memory"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/notifier"
	"milletsail/internal/relay/upstream"
	"milletsail/internal/settings"
	"milletsail/policy"
)

const (
	// equivalenceSeedsVariable is the environment variable with the number of histories to draw.
	equivalenceSeedsVariable = "RELAY_TEST_HISTORIES"
	// equivalenceSeeds is that number if the variable is not set.
	equivalenceSeeds = 150
	// historySteps is the number of steps in a drawn history.
	historySteps = 40
	// historyAttempts is the number of attempts that a message may have in it.
	historyAttempts = 4
	// historyDestination is the destination of all its messages.
	historyDestination = 7
	// unroutable is an address to which a connection fails on this machine.
	unroutable = "255.255.255.255:9"
)

// historyClasses has one class of each effect.
var historyClasses = []policy.Class{
	{Name: "status", Deadline: time.Minute, Effect: policy.Idempotent},
	{Name: "payment", Deadline: time.Minute, Effect: policy.IdempotentWithKey, IdempotencyWindow: time.Minute},
	{Name: "order", Deadline: time.Minute, Effect: policy.NotIdempotent},
}

// heldCall is a call at the endpoint of a history, which waits for what the test wants the endpoint to do with it.
type heldCall struct {
	ids    []string
	answer chan string // response to write; empty to close the connection
}

// knowledge is what a process has to know of a message: how many attempts were made, whether one may have been executed, and whether
// the call of the last one is in flight.
type knowledge struct {
	attempts    int
	mayHaveRun  bool
	inFlight    bool
	notExecuted int // attempts that ended as not executed
}

// knowledgeOf returns what a process knows of a message.
func knowledgeOf(m *message) knowledge {
	known := knowledge{attempts: len(m.Attempts), inFlight: m.cancel != nil}
	for _, a := range m.Attempts {
		if a.Ended && a.NotExecuted {
			known.notExecuted++
		}
	}
	known.mayHaveRun = known.notExecuted < known.attempts
	return known
}

// history drives the loop of a relay through drawn steps, in place of the policy, and keeps what it has to know of each message.
type history struct {
	t       *testing.T
	random  *rand.Rand
	dir     string
	disk    *fullDisk
	loop    *loop
	calls   chan *heldCall
	held    []*heldCall
	want    map[string]knowledge
	order   []string // ids of the messages, as accepted
	number  int      // number of the last call
	refused string   // address that refuses connections
	addr    string   // address of the endpoint that holds its calls
}

// newHistoryLoop returns a loop that owns a state directory and sends to endpoints.
func newHistoryLoop(t *testing.T, dir string, files journal.FS, listed ...Member) *loop {
	t.Helper()
	table := endpoints.NewTable()
	for _, m := range listed {
		table.Put(m)
	}
	list := &endpointList{settings: &settings.Settings{}, table: table}
	cfg := &config.Config{Policy: policy.Settings{FleetSize: 1, Slots: 1, QueueCapacity: 99, MaxAttempts: historyAttempts,
		Classes: historyClasses, Directory: list}}
	cfg.Limits.Sockets, cfg.Listen = 100, "127.0.0.1:0"
	dispatcher, err := policy.New(cfg.Policy, 1)
	if err != nil {
		t.Fatal(err)
	}
	opened, _, err := journal.Open(dir, journal.Options{DiskMB: 3, Files: files})
	if err != nil {
		t.Fatal(err)
	}
	counters := metrics.New(historyClasses)
	clients, err := frontend.Listen(t.Context(), cfg, &counters.Reasons)
	if err != nil {
		t.Fatal(err)
	}
	pool := upstream.NewPool(time.Second, time.Minute, 10, &atomic.Int64{})
	pool.Memory = new(memory.Pool)
	l := &loop{cfg: cfg, dispatcher: dispatcher, journal: opened, endpoints: list, clients: clients, metrics: counters,
		inbox: make(chan event, inboxCapacity), messages: map[string]*message{}, pool: pool, notifier: &recordedNotifications{},
		watcher: discovery.New("", 0, nil, nil), owner: nil}
	t.Cleanup(func() {
		_ = clients.Close()
		_ = opened.Close()
		pool.DisableKeepAlives()
	})
	return l
}

// newHistory starts a history with an endpoint that holds its calls, one that refuses connections, and one that can't be reached.
func newHistory(t *testing.T, seed uint64) *history {
	t.Helper()
	h := &history{t: t, random: rand.New(rand.NewPCG(seed, 0)), dir: t.TempDir(), disk: &fullDisk{FS: journal.Disk},
		calls: make(chan *heldCall), want: map[string]knowledge{}}
	h.addr = serveRaw(t, h.serve)
	h.refused = closedAddress(t)
	var listed []Member
	for host, dial := range map[string]string{"holds": h.addr, "refuses": h.refused, "unroutable": unroutable} {
		listed = append(listed, Member{Host: host, Dial: dial, Block: historyDestination})
	}
	h.loop = newHistoryLoop(t, h.dir, h.disk, listed...)
	owner, err := journal.AcquireOwnership(h.dir)
	if err != nil {
		t.Fatal(err)
	}
	h.loop.owner, h.loop.handover.completed = owner, make(chan struct{})
	t.Cleanup(owner.Release)
	return h
}

// serve passes the calls on a connection to the test, and does with each what the test wants.
func (h *history) serve(conn net.Conn) {
	for in := bufio.NewReader(conn); ; {
		request, err := readCall(in)
		if err != nil {
			return
		}
		call := &heldCall{ids: strings.Split(request.Header.Get("Request-Id"), " "), answer: make(chan string, 1)}
		select {
		case h.calls <- call:
		case <-h.t.Context().Done():
			return
		}
		select {
		case text := <-call.answer:
			if text == "" {
				return
			}
			_, _ = conn.Write([]byte(text))
		case <-h.t.Context().Done():
			return
		}
	}
}

// accept accepts a message of a drawn class.
func (h *history) accept() {
	if h.disk.full.Load() || h.loop.journal.WriteError() != nil {
		return
	}
	class := historyClasses[h.random.IntN(len(historyClasses))]
	m := &message{Entry: &journal.Entry{ID: fmt.Sprint("m", len(h.order)), Class: class.Name, Dest: historyDestination,
		ExpiresAt: clock.Now().Add(time.Minute), Body: []byte("body")}}
	h.loop.addMessage(m)
	h.loop.journal.Accept(m.Entry)
	h.loop.commit(h.t.Context())
	h.order = append(h.order, m.ID)
	h.want[m.ID] = knowledge{}
}

// pick returns a drawn message for which a condition holds, or nil.
func (h *history) pick(condition func(*message, knowledge) bool) *message {
	var matching []*message
	for _, id := range h.order {
		if m := h.loop.messages[id]; m != nil && condition(m, h.want[id]) {
			matching = append(matching, m)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return matching[h.random.IntN(len(matching))]
}

// send starts an attempt, with a drawn shortage or endpoint, and waits until its call is held or the attempt has ended.
func (h *history) send() {
	m := h.pick(func(m *message, k knowledge) bool {
		repeatable := !k.mayHaveRun || m.Class != "order"
		return !m.ended && !k.inFlight && k.attempts < historyAttempts && repeatable
	})
	if m == nil {
		return
	}
	endpoint := []string{"holds", "holds", "holds", "holds", "refuses", "unroutable"}[h.random.IntN(6)]
	h.loop.pool.Memory.Resize(1 << 20)
	if h.random.IntN(4) == 0 {
		h.loop.pool.Memory.Resize(0)
	}
	if h.random.IntN(3) == 0 { // otherwise an idle connection may be used
		h.loop.pool.CloseIdle(h.addr)
	}
	h.number++
	h.loop.send(clock.Now(), policy.Send{ID: m.ID, Endpoint: endpoint, Call: h.number})
	h.loop.commit(h.t.Context())
	for !h.ended(m.ID) && !h.want[m.ID].inFlight {
		select {
		case call := <-h.calls:
			h.held = append(h.held, call)
			known := h.want[m.ID]
			known.attempts, known.mayHaveRun, known.inFlight = known.attempts+1, true, true
			h.want[m.ID] = known
		case e := <-h.loop.inbox:
			h.loop.handleEvent(e)
			h.loop.commit(h.t.Context())
		case <-time.After(testTimeout):
			h.t.Fatalf("%s: the attempt at endpoint %s neither begins nor ends", m.ID, endpoint)
		}
	}
}

// ended takes the events for the policy, and reports whether an attempt of a message is among those that have ended.
func (h *history) ended(id string) (found bool) {
	for _, e := range h.loop.batch.events {
		ended, ok := e.(policy.AttemptEnded)
		if !ok {
			continue
		}
		found = found || ended.ID == id
		if ended.Outcome == policy.NotStarted {
			continue
		}
		known := h.want[ended.ID]
		if !known.inFlight {
			known.attempts++
		}
		known.inFlight = false
		if ended.Outcome.ProvesNotExecuted() {
			known.notExecuted++
		}
		known.mayHaveRun = known.notExecuted < known.attempts
		h.want[ended.ID] = known
		if known.attempts >= historyAttempts { // as the policy ends it
			h.loop.endUndelivered(h.loop.messages[ended.ID], frontend.Response{}, notifier.StatusDeferred, policy.ReasonAttemptsExhausted)
			h.loop.commit(h.t.Context())
		}
	}
	h.loop.batch.events = nil
	return found
}

// answer ends a held call in a drawn way.
func (h *history) answer() {
	if len(h.held) == 0 {
		return
	}
	i := h.random.IntN(len(h.held))
	call := h.held[i]
	h.held = slices.Delete(h.held, i, i+1)
	call.answer <- []string{"", emptyResponse("429 No"), emptyResponse("500 No"), emptyResponse("503 No"), emptyResponse("200 OK")}[h.random.IntN(5)]
	for id := call.ids[0]; ; {
		select {
		case e := <-h.loop.inbox:
			h.loop.handleEvent(e)
			h.loop.commit(h.t.Context())
		case <-time.After(testTimeout):
			h.t.Fatalf("%s: the call doesn't end", id)
		}
		if h.ended(id) {
			return
		}
	}
}

// step takes a drawn step.
func (h *history) step() {
	switch h.random.IntN(13) {
	case 0, 1:
		h.accept()
	case 2, 3, 4, 5, 6:
		h.send()
	case 7, 8:
		h.answer()
	case 9:
		h.disk.full.Store(!h.disk.full.Load())
		h.loop.setWritable(h.loop.journal.Retry()) // a segment that was not written is followed by a new one
	case 10: // a write after which a full disk is noticed
		h.loop.journal.RecordHealth("holds", journal.HealthRecord{ChangedAt: clock.Now()})
		h.loop.commit(h.t.Context())
	case 11:
		h.checkRestart()
	case 12:
		h.checkTorn()
	}
}

// compare compares what a process knows of the live messages with what it has to know.
func (h *history) compare(what string, l *loop, want map[string]knowledge) {
	h.t.Helper()
	for id, wanted := range want {
		m := l.messages[id]
		if m == nil {
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
	return slices.MaxFunc(paths, func(a, b string) int { return len(a) - len(b) })
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
