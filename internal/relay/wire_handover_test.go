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
	clients map[string]*clientConn // by the id of the message that each hands in
}

// forwardedIDs are the messages that clients hand in at the old process after the handover, in order.
var forwardedIDs = []string{"taken on", "refused", "withdrawn"}

// onLine takes the steps that follow from a line.
func (s *handoverScript) onLine(line handoverLine) (passes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case line.kind == `{"step":"ready"`: // the old process still takes clients
		for _, id := range forwardedIDs {
			s.connect(id)
		}
	case line.kind == `{"step":"yours"`:
		s.submit(forwardedIDs[0])
	case line.kind == `{"arrival":` && strings.Contains(line.text, `"taken on"`):
		s.submit(forwardedIDs[1])
	case line.kind == `{"arrival":` && strings.Contains(line.text, `"refused"`):
		s.submit(forwardedIDs[2])
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
	client := &clientConn{conn, bufio.NewReader(conn)}
	s.clients[id] = client
	_, _ = io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: relay\r\n\r\n")
	for line := ""; line != "\r\n"; {
		if line, err = client.in.ReadString('\n'); err != nil {
			s.p.t.Error(err)
			return
		}
	}
}

// submit writes a client's request. The second message is for a destination that there is not.
func (s *handoverScript) submit(id string) {
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

// lineTitle is the kind of lines that a line is of, with the process that sent it.
func lineTitle(from, kind string) string { return "from the " + from + " process: " + kind }

// await takes lines until there are so many of a kind from a process that hold a word.
func (r handoverRecord) await(proxy *handoverProxy, from, kind, word string, count int) {
	proxy.t.Helper()
	title := lineTitle(from, kind)
	holds := func(text string) bool { return strings.Contains(text, word) }
	deadline := time.After(testTimeout)
	for len(slices.Collect(filter(r[title], holds))) < count {
		select {
		case line := <-proxy.lines:
			r[lineTitle(line.from, line.kind)] = append(r[lineTitle(line.from, line.kind)], line.text)
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

// sortOfferedCalls puts the calls of an offer in order, of which the old process keeps none.
func sortOfferedCalls(text string) string {
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
		text += section(title, sortOfferedCalls(strings.Join(lines, "")))
	}
	return applyMasks(text, maskMoment, maskMeasured, maskClients)
}

// callsInFlight are the messages whose calls the old process has out at the handover, and the answer to each, in order.
var callsInFlight = []struct{ id, answer string }{
	{"delivered", "HTTP/1.1 200 OK\r\nServer-Load: x0=0.5,x1=25\r\nContent-Length: 0\r\n\r\n"},
	{"turned away", "HTTP/1.1 429 no\r\nX-Retry-In-Ms: 1500\r\nContent-Length: 0\r\n\r\n"},
	{"over", emptyResponse("410 Gone")},
	{"spent", emptyResponse("504 Gateway Timeout")},
}

// startHoldingHost starts an endpoint that answers the first calls of callsOut once it is let, and that of "silent" never.
// It answers other calls with 200 at once, or, where it holds all, not at all: a call that began later and has ended
// would have the relay call off those that are out.
func startHoldingHost(t *testing.T, holdsAll bool) (host *recorder, release map[string]chan bool) {
	t.Helper()
	release = map[string]chan bool{"silent": make(chan bool)}
	answers := map[string]string{}
	for _, call := range callsInFlight {
		release[call.id], answers[call.id] = make(chan bool), call.answer
	}
	done := make(chan bool)
	t.Cleanup(func() { close(done) })
	var mu sync.Mutex // guards held
	held := map[string]bool{}
	host = startRecorder(t, func(came recordedRequest) string {
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
			return emptyResponse("200 OK")
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
	host, release := startHoldingHost(t, true)
	p := newPlatform(t)
	p.hosts = []Member{memberAt(host.addr)}
	p.admin = closedAddress(t)
	p.openClientSocket()
	t.Setenv("NODE_ZONES", "on") // for a call at the admin endpoint that the loop answers
	p.start()
	oldAdmin := p.admin
	for _, call := range callsInFlight {
		p.submitAccepted("order", call.id, "25")
		host.next()
	}
	script := &handoverScript{p: p, clients: map[string]*clientConn{}}
	proxy := proxyHandover(t, p.stateDir, script.onLine)
	p.startSuccessor()
	lines := handoverRecord{}
	lines.await(proxy, "old", `{"left":`, "", 1)
	lines.await(proxy, "old", `{"answered":`, "", 2)
	text := section("operators of the old process: zone status", sendAdminCommand(t, oldAdmin, "zone status\n"))
	for _, id := range forwardedIDs[:2] {
		text += section("to the client of "+id, script.answer(t, id))
	}
	for _, call := range callsInFlight {
		close(release[call.id])
		lines.await(proxy, "old", `{"ends":`, `"id":"`+call.id+`"`, 1)
	}
	compareWire(t, "handover.txt", lines.text()+applyMasks(text, maskDate))
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
	host, _ := startHoldingHost(t, false)
	p := newPlatform(t)
	p.hosts = []Member{memberAt(host.addr)}
	p.openClientSocket()
	p.start()
	p.submitAccepted("status", "silent", "25")
	host.next()
	proxy := proxyHandover(t, p.stateDir, func(handoverLine) bool { return true })
	p.startSuccessor()
	lines := handoverRecord{}
	lines.await(proxy, "old", `{"step":"yours"`, "", 1)
	p.submitAccepted("status", "later", "25")
	lines.await(proxy, "new", `{"cancel":`, `"silent"`, 1)
	lines.await(proxy, "old", `{"ends":`, `"silent"`, 1)
	compareWire(t, "cancel.txt", lines.text(lineTitle("new", `{"cancel":`), lineTitle("old", `{"ends":`)))
}

// TestUnwrittenOnTheWire pins what a relay says whose journal can't be written: to clients, to operators, and to a
// newer process, which the journal can't tell then.
func TestUnwrittenOnTheWire(t *testing.T) {
	host, release := startHoldingHost(t, false)
	discovery := startRecorder(t, func(recordedRequest) string { return emptyResponse("503 Service Unavailable") })
	p := newPlatform(t)
	p.hosts = []Member{memberAt(host.addr)}
	p.discovery.URL = "http://" + discovery.addr
	p.admin = closedAddress(t)
	disk := &fullDisk{FS: journal.Disk}
	p.runInProcess(func(cfg *config.Config) { cfg.Files = disk })
	p.submitAccepted("order", "turned away", "0.3") // its end is deferred, and its notice owed
	host.next()
	close(release["turned away"])
	discovery.nextAt(outcomesPath)
	p.submitAccepted("order", "delivered", "25") // its call stays out
	host.next()
	disk.full.Store(true)
	text := section("a message", p.exchangeRaw(clientRequest("POST /status", "hi")))
	text += section("health", sendAdminCommand(t, p.admin, "health\n"))
	text += section("an offer", sortOfferedCalls(requestOffer(t, p.stateDir)))
	disk.full.Store(false)
	close(release["delivered"])
	compareWire(t, "unwritten.txt", applyMasks(text, maskDate, maskMoment, maskMeasured, maskClients, maskAgain))
}

// requestOffer asks the process that owns a folder for it, and gives its offer, which it does not take up.
func requestOffer(t *testing.T, dir string) string {
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

// runInProcess runs a relay in this process, which may change what no file configures, and waits until it is ready.
func (p *platform) runInProcess(change func(*config.Config)) {
	p.t.Helper()
	cfg, err := config.Read(p.writeConfig())
	if err != nil {
		p.t.Fatal(err)
	}
	change(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, cfg, p.stateDir, nil) }()
	p.t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			p.t.Error(err)
		}
	})
	p.waitUntilReady()
}
