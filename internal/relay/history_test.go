package relay

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
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
	"milletsail/internal/relay/memory"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/notifier"
	"milletsail/internal/relay/upstream"
	"milletsail/internal/settings"
	"milletsail/policy"
)

const (
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
