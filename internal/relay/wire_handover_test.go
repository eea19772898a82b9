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

// Masks for the lines of a handover link.
var (
	// maskMoment hides a wall time in RFC 3339.
	maskMoment = mask{regexp.MustCompile(`"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.?\d*(Z|[+-]\d\d:\d\d)"`), `"MOMENT"`}
	// maskMeasured hides measured values: durations of calls, times within the policy's state and the clock readings, and levels
	// that are computed from them. A time of 0, which means none, is not hidden.
	maskMeasured = mask{regexp.MustCompile(
		`"(took|Tokens|N)":[0-9.e+-]+|"(At|Wall|Since|TokensAt|SickAt|Recovered|LastOK|FirstFull|Wait|Hold)":[1-9]\d*`),
		`"$1$2":MEASURED`}
	// maskClients hides the number of open client connections.
	maskClients = mask{regexp.MustCompile(`"clients":\d+`), `"clients":NUMBER`}
)

// handoverLine is one line that was sent over a handover link.
type handoverLine struct {
	from string // "old" for the predecessor or "new" for the successor
	kind string // its first key, followed by the value if that is a string
	text string // the whole line
}

// handoverKind matches the kind of a line.
var handoverKind = regexp.MustCompile(`^\{"(\w+)":("\w+")?`)

// handoverScript performs the actions of the predecessor's clients during a handover. Each action is triggered by a line of the
// link, so that their order is the same in every run.
type handoverScript struct {
	p       *platform
	mu      sync.Mutex
	clients map[string]*clientConn // by the id of the message that each client submits
}

// forwardedIDs are the ids of the messages that clients submit to the predecessor after the handover, in order.
var forwardedIDs = []string{"taken on", "refused", "withdrawn"}

// onLine performs the action that a line triggers, and reports whether the proxy is to forward the line.
func (s *handoverScript) onLine(line handoverLine) (forward bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case line.kind == `{"step":"ready"`: // the predecessor still accepts connections
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
		return false // otherwise the successor could respond before the client has left
	case line.kind == `{"left":`:
		return false // the successor never got the message
	}
	return true
}

// connect opens a client's connection and gets a response to a health request on it. After that the connection surely belongs to
// the predecessor: both processes accept on the same socket.
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

// submit sends a client's request with a message. The message "refused" is for a destination that does not exist.
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

// handoverRecord holds the lines of a link by their title (see lineTitle). Lines with the same title are in the order in which
// they were sent; the order of lines with different titles may vary between runs.
type handoverRecord map[string][]string

// lineTitle returns the title of a section of a golden file for the lines of one kind from one process.
func lineTitle(from, kind string) string { return "from the " + from + " process: " + kind }

// await records lines of a proxy until there are count lines of a kind from a process that contain a word.
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
			proxy.t.Fatalf("timed out waiting for a line %s with %q; recorded lines: %v", title, word, r)
		}
	}
}

// filter returns the texts for which a condition holds.
func filter(texts []string, holds func(string) bool) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, text := range texts {
			if holds(text) && !yield(text) {
				return
			}
		}
	}
}

var (
	// callsOfOffer matches the list of calls in flight in an offer.
	callsOfOffer = regexp.MustCompile(`"out":\[[^\]]*\]`)
	// callOfOffer matches one call of that list.
	callOfOffer = regexp.MustCompile(`\{[^}]*\}`)
)

// sortOfferedCalls sorts the calls in an offer, whose order varies between runs.
func sortOfferedCalls(text string) string {
	return callsOfOffer.ReplaceAllStringFunc(text, func(calls string) string {
		return `"out":[` + strings.Join(slices.Sorted(slices.Values(callOfOffer.FindAllString(calls, -1))), ",") + "]"
	})
}

// text formats the lines with the given titles, or all lines if none is given, for a golden file. It sorts responses to
// submissions, whose order varies, and keeps only the first line with the number of client connections, since the number of such
// lines varies.
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

// callsInFlight are the messages whose calls the predecessor has in flight at the handover, and an endpoint's response to each,
// in the order in which the endpoint answers.
var callsInFlight = []struct{ id, answer string }{
	{"delivered", "HTTP/1.1 200 OK\r\nServer-Load: x0=0.5,x1=25\r\nContent-Length: 0\r\n\r\n"},
	{"turned away", "HTTP/1.1 429 no\r\nX-Retry-In-Ms: 1500\r\nContent-Length: 0\r\n\r\n"},
	{"over", emptyResponse("410 Gone")},
	{"spent", emptyResponse("504 Gateway Timeout")},
}

// startHoldingHost starts an endpoint that answers the first call of each message in callsInFlight once its channel in
// release is closed, and never answers the first call of the message "silent". It answers other calls with 200 at once or,
// with holdsAll, not before the test ends: the end of a call that began later may make the relay cancel those in flight.
func startHoldingHost(t *testing.T, holdsAll bool) (host *recorder, release map[string]chan bool) {
	t.Helper()
	release = map[string]chan bool{"silent": make(chan bool)}
	answers := map[string]string{}
	for _, call := range callsInFlight {
		release[call.id], answers[call.id] = make(chan bool), call.answer
	}
	done := make(chan bool)
	t.Cleanup(func() { close(done) })
	var mu sync.Mutex // guards the map held
	held := map[string]bool{}
	host = startRecorder(t, func(request recordedRequest) string {
		_, id, _ := strings.Cut(request.raw, "\r\nRequest-Id: ")
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

// A process may take over from one of an earlier version and hand over to one of a later version. The test compares all lines of
// a handover link, in both directions, byte for byte.
func TestHandoverOnTheWire(t *testing.T) {
	host, release := startHoldingHost(t, true)
	p := newPlatform(t)
	p.hosts = []Member{memberAt(host.addr)}
	p.admin = closedAddress(t)
	p.openClientSocket()
	t.Setenv("NODE_ZONES", "on") // enables an admin command that the event loop answers
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

// answer reads the header of the response to the client that submitted a message.
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

// The test compares the lines by which a successor cancels a call in flight in the predecessor, and the predecessor reports its
// end.
func TestHandoverCancelOnTheWire(t *testing.T) {
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

// The test compares what a relay sends while it can't write its journal: the response to a client, the reply to "health", and the
// offer to a successor, which then has to contain the state that is missing from the journal.
func TestFailedJournalOnTheWire(t *testing.T) {
	host, release := startHoldingHost(t, false)
	discovery := startRecorder(t, func(recordedRequest) string { return emptyResponse("503 Service Unavailable") })
	p := newPlatform(t)
	p.hosts = []Member{memberAt(host.addr)}
	p.discovery.URL = "http://" + discovery.addr
	p.admin = closedAddress(t)
	disk := &fullDisk{FS: journal.Disk}
	p.runInProcess(func(cfg *config.Config) { cfg.Files = disk })
	p.submitAccepted("order", "turned away", "0.3") // it ends as deferred, and its notification can't be delivered
	host.next()
	close(release["turned away"])
	discovery.nextForPath(outcomesPath)
	p.submitAccepted("order", "delivered", "25") // its call stays in flight
	host.next()
	disk.full.Store(true)
	text := section("a message", p.exchangeRaw(clientRequest("POST /status", "hi")))
	text += section("health", sendAdminCommand(t, p.admin, "health\n"))
	text += section("an offer", sortOfferedCalls(requestOffer(t, p.stateDir)))
	disk.full.Store(false)
	close(release["delivered"])
	compareWire(t, "unwritten.txt", applyMasks(text, maskDate, maskMoment, maskMeasured, maskClients, maskAgain))
}

// requestOffer requests the state directory from the process that owns it, and returns the offer without accepting it.
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

// runInProcess runs a relay in the test process and waits until it serves clients. Here change can also set fields of the
// configuration that the file does not contain.
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
