package relay

import (
	"bufio"
	"context"
	"io"
	"iter"
	"maps"
	"net"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"milletsail/internal/journal"
	"milletsail/internal/relay/config"
)

// Masks of the handover.
var (
	// maskMoment hides a wall time in RFC 3339.
	maskMoment = mask{regexp.MustCompile(`"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.?\d*(Z|[+-]\d\d:\d\d)"`), `"MOMENT"`}
	// maskMeasured hides what was measured: how long a call took, the moments of what was learned and of the clocks, and
	// levels that follow from them. Of moments, 0 stays, which is none.
	maskMeasured = mask{regexp.MustCompile(
		`"(took|Tokens|N)":[0-9.e+-]+|"(At|Wall|Since|TokensAt|SickAt|Recovered|LastOK|FirstFull|Wait|Hold)":[1-9]\d*`),
		`"$1$2":MEASURED`}
	// maskClients hides how many connections of clients are open.
	maskClients = mask{regexp.MustCompile(`"clients":\d+`), `"clients":NUMBER`}
)

// handoverLine is one line of the link between two processes, as its bytes came.
type handoverLine struct {
	from string // "old" or "new"
	kind string // its first key, with the step where it is one
	text string
}

// handoverKind finds the first key of a line.
var handoverKind = regexp.MustCompile(`^\{"(\w+)":("\w+")?`)

// handoverScript leads clients of the old process through a handover. Each of its steps follows from a line of the
// link, so that their order is the same in each run.
type handoverScript struct {
	p       *platform
	mu      sync.Mutex
	clients map[string]*keptConn // by the id of the message that each hands in
}

// messagesPassed are the messages that clients hand in at the old process after the handover, in order.
var messagesPassed = []string{"taken on", "refused", "withdrawn"}

// meet takes the steps that follow from a line.
func (s *handoverScript) meet(line handoverLine) (passes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case line.kind == `{"step":"ready"`: // the old process still takes clients
		for _, id := range messagesPassed {
			s.connect(id)
		}
	case line.kind == `{"step":"yours"`:
		s.handIn(messagesPassed[0])
	case line.kind == `{"arrival":` && strings.Contains(line.text, `"taken on"`):
		s.handIn(messagesPassed[1])
	case line.kind == `{"arrival":` && strings.Contains(line.text, `"refused"`):
		s.handIn(messagesPassed[2])
	case line.kind == `{"arrival":` && strings.Contains(line.text, `"withdrawn"`):
		_ = s.clients["withdrawn"].Close()
		return false // else the new process could answer it first
	case line.kind == `{"left":`:
		return false // the new process knows nothing of it
	}
	return true
}

// connect opens a client's connection, and has the old process answer on it, so that it is that one's.
func (s *handoverScript) connect(id string) {
	conn, err := (&net.Dialer{}).DialContext(s.p.t.Context(), "tcp", s.p.addr)
	if err != nil {
		s.p.t.Error(err)
		return
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	client := &keptConn{conn, bufio.NewReader(conn)}
	s.clients[id] = client
	_, _ = io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: relay\r\n\r\n")
	for line := ""; line != "\r\n"; {
		if line, err = client.in.ReadString('\n'); err != nil {
			s.p.t.Error(err)
			return
		}
	}
}

// handIn writes a client's request. The second message is for a destination that there is not.
func (s *handoverScript) handIn(id string) {
	destination := "X-Envelope: dest=7"
	if id == "refused" {
		destination = "X-Envelope: dest=9"
	}
	request := clientRequest("POST /status", "hi", "Request-Id: "+id, destination)
	if _, err := io.WriteString(s.clients[id], request); err != nil {
		s.p.t.Error(err)
	}
}

// handoverRecord is what went over a link, by the kinds of lines: lines of one kind have an order, which those of
// different kinds need not have.
type handoverRecord map[string][]string

// titleOf is the kind of lines that a line is of, with the process that sent it.
func titleOf(from, kind string) string { return "from the " + from + " process: " + kind }

// await takes lines until there are so many of a kind from a process that hold a word.
func (r handoverRecord) await(proxy *handoverProxy, from, kind, word string, count int) {
	proxy.t.Helper()
	title := titleOf(from, kind)
	holds := func(text string) bool { return strings.Contains(text, word) }
	deadline := time.After(testTimeout)
	for len(slices.Collect(filter(r[title], holds))) < count {
		select {
		case line := <-proxy.lines:
			r[titleOf(line.from, line.kind)] = append(r[titleOf(line.from, line.kind)], line.text)
		case <-deadline:
			proxy.t.Fatalf("no line %s with %q: %v", title, word, r)
		}
	}
}

// filter gives the texts that a condition holds for.
func filter(texts []string, holds func(string) bool) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, text := range texts {
			if holds(text) && !yield(text) {
				return
			}
		}
	}
}

// callsOfOffer finds the calls of an offer, and callOfOffer each of them.
var (
	callsOfOffer = regexp.MustCompile(`"out":\[[^\]]*\]`)
	callOfOffer  = regexp.MustCompile(`\{[^}]*\}`)
)

// sortedOffer puts the calls of an offer in order, of which the old process keeps none.
func sortedOffer(text string) string {
	return callsOfOffer.ReplaceAllStringFunc(text, func(calls string) string {
		return `"out":[` + strings.Join(slices.Sorted(slices.Values(callOfOffer.FindAllString(calls, -1))), ",") + "]"
	})
}

// text gives the lines of some kinds as a golden file has them, or of all where none is named. Answers to several
// messages come in any order, and of the lines on clients' connections, which come by chance, there is one.
func (r handoverRecord) text(titles ...string) string {
	if len(titles) == 0 {
		titles = slices.Sorted(maps.Keys(r))
	}
	text := ""
	for _, title := range titles {
		lines := slices.Clone(r[title])
		switch {
		case strings.HasSuffix(title, `{"clients":`):
			lines = lines[:1]
		case strings.HasSuffix(title, `{"verdict":`), strings.HasSuffix(title, `{"answered":`):
			slices.Sort(lines)
		}
		text += section(title, sortedOffer(strings.Join(lines, "")))
	}
	return masked(text, maskMoment, maskMeasured, maskClients)
}

// callsOut are the messages whose calls the old process has out at the handover, and the answer to each, in order.
var callsOut = []struct{ id, answer string }{
	{"delivered", "HTTP/1.1 200 OK\r\nServer-Load: x0=0.5,x1=25\r\nContent-Length: 0\r\n\r\n"},
	{"turned away", "HTTP/1.1 429 no\r\nX-Retry-In-Ms: 1500\r\nContent-Length: 0\r\n\r\n"},
	{"over", emptyAnswer("410 Gone")},
	{"spent", emptyAnswer("504 Gateway Timeout")},
}

// holdingHost starts an endpoint that answers the first calls of callsOut once it is let, and that of "silent" never.
// It answers other calls with 200 at once, or, where it holds all, not at all: a call that began later and has ended
// would have the relay call off those that are out.
func holdingHost(t *testing.T, holdsAll bool) (host *recorder, release map[string]chan bool) {
	t.Helper()
	release = map[string]chan bool{"silent": make(chan bool)}
	answers := map[string]string{}
	for _, call := range callsOut {
		release[call.id], answers[call.id] = make(chan bool), call.answer
	}
	done := make(chan bool)
	t.Cleanup(func() { close(done) })
	var mu sync.Mutex // guards held
	held := map[string]bool{}
	host = record(t, func(came recordedRequest) string {
		_, id, _ := strings.Cut(came.raw, "\r\nRequest-Id: ")
		id, _, _ = strings.Cut(id, "\r\n")
		mu.Lock()
		first := release[id] != nil && !held[id]
		held[id] = true
		mu.Unlock()
		switch {
		case !first && holdsAll:
			<-done
			fallthrough
		case !first:
			return emptyAnswer("200 OK")
		}
		select {
		case <-release[id]:
		case <-done:
		}
		return answers[id]
	})
	return host, release
}

// TestHandoverOnTheWire pins the lines between an old process and a new one, both ways: a process of this version
// follows one of the version before, and is followed by one of the next.
func TestHandoverOnTheWire(t *testing.T) {
	host, release := holdingHost(t, true)
	p := newPlatform(t)
	p.hosts = []Member{hostAt(host.addr)}
	p.admin = closedAddress(t)
	p.inherits()
	t.Setenv("NODE_ZONES", "on") // for a call at the admin endpoint that the loop answers
	p.start()
	oldAdmin := p.admin
	for _, call := range callsOut {
		p.take("order", call.id, "25")
		host.next()
	}
	script := &handoverScript{p: p, clients: map[string]*keptConn{}}
	proxy := proxyHandover(t, p.dir, script.meet)
	p.upgrade()
	lines := handoverRecord{}
	lines.await(proxy, "old", `{"left":`, "", 1)
	lines.await(proxy, "old", `{"answered":`, "", 2)
	text := section("operators of the old process: zone status", askOperator(t, oldAdmin, "zone status\n"))
	for _, id := range messagesPassed[:2] {
		text += section("to the client of "+id, script.answer(t, id))
	}
	for _, call := range callsOut {
		close(release[call.id])
		lines.await(proxy, "old", `{"ends":`, `"id":"`+call.id+`"`, 1)
	}
	compareWire(t, "handover.txt", lines.text()+masked(text, maskDate))
}

// answer reads the answer that a client has got.
func (s *handoverScript) answer(t *testing.T, id string) (text string) {
	t.Helper()
	for line := ""; line != "\r\n"; {
		var err error
		if line, err = s.clients[id].in.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		text += line
	}
	return text
}

// TestCancelOnTheWire pins the line by which a new process calls off a call that the old one has out.
func TestCancelOnTheWire(t *testing.T) {
	host, _ := holdingHost(t, false)
	p := newPlatform(t)
	p.hosts = []Member{hostAt(host.addr)}
	p.inherits()
	p.start()
	p.take("status", "silent", "25")
	host.next()
	proxy := proxyHandover(t, p.dir, func(handoverLine) bool { return true })
	p.upgrade()
	lines := handoverRecord{}
	lines.await(proxy, "old", `{"step":"yours"`, "", 1)
	p.take("status", "later", "25")
	lines.await(proxy, "new", `{"cancel":`, `"silent"`, 1)
	lines.await(proxy, "old", `{"ends":`, `"silent"`, 1)
	compareWire(t, "cancel.txt", lines.text(titleOf("new", `{"cancel":`), titleOf("old", `{"ends":`)))
}

// TestUnwrittenOnTheWire pins what a relay says whose journal can't be written: to clients, to operators, and to a
// newer process, which the journal can't tell then.
func TestUnwrittenOnTheWire(t *testing.T) {
	host, release := holdingHost(t, false)
	discovery := record(t, func(recordedRequest) string { return emptyAnswer("503 Service Unavailable") })
	p := newPlatform(t)
	p.hosts = []Member{hostAt(host.addr)}
	p.discovery.URL = "http://" + discovery.addr
	p.admin = closedAddress(t)
	disk := &fullDisk{FS: journal.Disk}
	p.runHere(func(cfg *config.Config) { cfg.Files = disk })
	p.take("order", "turned away", "0.3") // its end is deferred, and its notice owed
	host.next()
	close(release["turned away"])
	discovery.nextAt(outcomesPath)
	p.take("order", "delivered", "25") // its call stays out
	host.next()
	disk.full.Store(true)
	text := section("a message", p.exchangeRaw(clientRequest("POST /status", "hi")))
	text += section("health", askOperator(t, p.admin, "health\n"))
	text += section("an offer", sortedOffer(askHandover(t, p.dir)))
	disk.full.Store(false)
	close(release["delivered"])
	compareWire(t, "unwritten.txt", masked(text, maskDate, maskMoment, maskMeasured, maskClients, maskAgain))
}

// askHandover asks the process that owns a folder for it, and gives its offer, which it does not take up.
func askHandover(t *testing.T, dir string) string {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "unix", filepath.Join(dir, "handover"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, `{"step":"ask"}`+"\n"); err != nil {
		t.Fatal(err)
	}
	offer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return offer
}

// runHere runs a relay in this process, which may change what no file configures, and waits until it is ready.
func (p *platform) runHere(change func(*config.Config)) {
	p.t.Helper()
	cfg, err := config.Read(p.config())
	if err != nil {
		p.t.Fatal(err)
	}
	change(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, cfg, p.dir, nil) }()
	p.t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			p.t.Error(err)
		}
	})
	p.untilReady()
}
