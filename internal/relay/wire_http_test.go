package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
)

// recordedRequest is one request as its bytes came.
type recordedRequest struct {
	raw  string
	path string
}

// recorder is a listener that keeps each request that comes, byte for byte, and answers it.
type recorder struct {
	t        *testing.T
	addr     string
	requests chan recordedRequest
}

// startRecorder starts a recorder; answer gives the whole answer to a request, or nothing to leave it without one.
func startRecorder(t *testing.T, answer func(recordedRequest) string) *recorder {
	t.Helper()
	server := &recorder{t: t, requests: make(chan recordedRequest, 100)}
	server.addr = serveRaw(t, func(conn net.Conn) { server.serve(conn, answer) })
	return server
}

// serve keeps and answers the requests of a connection, until an answer that closes it.
func (r *recorder) serve(conn net.Conn, answer func(recordedRequest) string) {
	var raw bytes.Buffer
	in := bufio.NewReader(io.TeeReader(conn, &raw)) // nothing comes behind a request until it is answered
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		came := recordedRequest{raw: raw.String(), path: request.URL.Path}
		raw.Reset()
		r.requests <- came
		text := answer(came)
		if _, err := io.WriteString(conn, text); err != nil || strings.Contains(text, "\r\nConnection: close\r\n") {
			return
		}
	}
}

// serveRaw has each connection to an address served, and closed at the end of that.
func serveRaw(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil { // closed
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// next waits for a request and gives its bytes.
func (r *recorder) next() string {
	r.t.Helper()
	select {
	case came := <-r.requests:
		return came.raw
	case <-time.After(testTimeout):
		r.t.Fatal("no request came")
		return ""
	}
}

// nextAt waits for a request at a path, past those at others, and gives its bytes.
func (r *recorder) nextAt(path string) string {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		raw := r.next()
		if _, target, _ := strings.Cut(raw, " "); strings.HasPrefix(target, path) {
			return raw
		}
	}
	r.t.Fatalf("no request at %s came", path)
	return ""
}

// The paths of discovery.
const (
	// watchPath is that of the list of endpoints.
	watchPath = "/catalog/members"
	// outcomesPath is that of notices.
	outcomesPath = "/v1/outcomes"
)

// emptyResponse is an answer without a body.
func emptyResponse(status string) string { return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n" }

// memberAt lists an endpoint of destination 7 at an address.
func memberAt(addr string) Member {
	return Member{Host: "h1", Dial: addr, Site: "a", Class: "m2", Block: 7, Health: "SERVING", Share: 100}
}

// TestCallsOnTheWire pins calls to endpoints: of one message, with a key and without one, and of several.
func TestCallsOnTheWire(t *testing.T) {
	host := startRecorder(t, func(came recordedRequest) string {
		if came.path != "/inbox/bulk" {
			return emptyResponse("200 OK")
		}
		body := `[{"id":"a","state":"delivered"},{"id":"b","state":"delivered"}]`
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	})
	p := newPlatform(t)
	p.maxBatch = 3
	p.hosts = []Member{memberAt(host.addr)}
	j := openTestJournal(t, p.stateDir, 3)
	for id, key := range map[string]string{"a": "key <of> a", "b": ""} { // "b" has none
		j.Accept(&journal.Entry{ID: id, Class: "status", Dest: 7, Key: key, ExpiresAt: clock.Now().Add(time.Minute),
			Body: []byte("body of " + id)})
	}
	commit(t, j)
	p.start()
	text := section("several messages", sortMessages(host.next()))
	p.submitAccepted("payment", "with a key", "25")
	text += section("one message with a key", host.next())
	p.submit("order", "without-a-key", "25", func(r *http.Request) { r.Header.Del("Idempotency-Key") })
	text += section("one message without a key", host.next())
	compareWire(t, "calls.txt", applyMasks(text, maskPort, maskTimeout))
}

// sortMessages puts the two messages of a call in the order of their ids: the journal does not keep any.
func sortMessages(request string) string {
	head, body, _ := strings.Cut(request, "\r\n\r\n")
	parcels := strings.SplitAfter(strings.Trim(body, "[]"), "}")
	for i := range parcels {
		parcels[i] = strings.TrimPrefix(parcels[i], ",")
	}
	parcels = slices.DeleteFunc(parcels, func(parcel string) bool { return parcel == "" })
	slices.Sort(parcels)
	return head + "\r\n\r\n[" + strings.Join(parcels, ",") + "]"
}

// clientRequest is a request of a client, head and body; fields are further fields of its head, or others in place of
// those that it has.
func clientRequest(line string, body string, fields ...string) string {
	head := []string{"Host: relay", "Tenant: acme", "Request-Id: m", "Idempotency-Key: k", "Request-Timeout: 25",
		"X-Envelope: dest=7", fmt.Sprint("Content-Length: ", len(body))}
	for _, field := range fields {
		name, value, _ := strings.Cut(field, ":")
		head = slices.DeleteFunc(head, func(old string) bool { return strings.HasPrefix(old, name+":") })
		if value != "" {
			head = append(head, field)
		}
	}
	return line + " HTTP/1.1\r\n" + strings.Join(head, "\r\n") + "\r\n\r\n" + body
}

// exchangeRaw sends a request on a connection of its own and gives the whole answer, byte for byte.
func (p *platform) exchangeRaw(request string) string {
	p.t.Helper()
	conn, err := (&net.Dialer{}).DialContext(p.t.Context(), "tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, request); err != nil {
		p.t.Fatal(err)
	}
	return readRawResponse(p.t, conn)
}

// readRawResponse reads one answer, byte for byte.
func readRawResponse(tb testing.TB, conn net.Conn) string {
	tb.Helper()
	var raw bytes.Buffer
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(conn, &raw)), nil)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		tb.Fatal(err)
	}
	return raw.String()
}

// TestAnswersOnTheWire pins the answers to clients that one request alone decides, head and body.
func TestAnswersOnTheWire(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.start()
	requests := []struct{ title, request string }{
		{"health", "GET /_health HTTP/1.1\r\nHost: relay\r\n\r\n"},
		{"taken on", clientRequest("POST /status", "hi")},
		{"taken on, with a close", clientRequest("POST /status", "hi", "Request-Id: n", "Connection: close")},
		{"no POST", clientRequest("PUT /status", "hi")},
		{"unknown class", clientRequest("POST /unknown", "hi")},
		{"unknown tenant", clientRequest("POST /status", "hi", "Tenant: nobody")},
		{"no id", clientRequest("POST /status", "hi", "Request-Id:")},
		{"no key in a keyed class", clientRequest("POST /payment", "hi", "Idempotency-Key:")},
		{"no destination", clientRequest("POST /status", "hi", "X-Envelope: 7")},
		{"no time-out", clientRequest("POST /status", "hi", "Request-Timeout: soon")},
		{"no length", clientRequest("POST /status", "0\r\n\r\n", "Content-Length:", "Transfer-Encoding: chunked")},
		{"too long", clientRequest("POST /status", strings.Repeat("x", 64<<10+1))},
		{"head too long", clientRequest("POST /status", "hi", "X-Long: "+strings.Repeat("x", 32<<10))},
		{"no request", "nonsense\r\n\r\n"},
		{"no host", clientRequest("POST /status", "hi", "Host:")},
		{"unknown destination", clientRequest("POST /status", "hi", "Request-Id: o", "X-Envelope: dest=9")},
	}
	text := ""
	for _, r := range requests {
		text += section(r.title, p.exchangeRaw(r.request))
	}
	compareWire(t, "answers.txt", applyMasks(text, maskDate))
}

// TestAnswersToRepeatsOnTheWire pins the answers to a message that is handed in once more, while the platform has not
// yet taken the notice of its end: 502 where it may have run, else 503.
func TestAnswersToRepeatsOnTheWire(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.failingPosts = 1 << 30
	p.respond = func(*http.Request) int { return http.StatusInternalServerError }
	p.admin = closedAddress(t)
	p.start()
	text := section("taken on", p.exchangeRaw(clientRequest("POST /order", "hi", "Request-Id: fragile")))
	p.nextCall()
	p.waitUntil("it has failed", func() bool { return strings.Contains(sendAdminCommand(t, p.admin, "counters\n"), "relay_pending 0\n") })
	text += section("failed", p.exchangeRaw(clientRequest("POST /order", "hi", "Request-Id: fragile")))
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusTooManyRequests } })
	p.exchangeRaw(clientRequest("POST /order", "hi", "Request-Id: refused", "Request-Timeout: 0.3"))
	p.nextCall()
	p.waitUntil("its time is up", func() bool { return strings.Contains(sendAdminCommand(t, p.admin, "counters\n"), "relay_pending 0\n") })
	text += section("refused", p.exchangeRaw(clientRequest("POST /order", "hi", "Request-Id: refused")))
	compareWire(t, "repeats.txt", applyMasks(text, maskDate))
}

// TestRefusalOnTheWire pins the answer to a message for a destination that is out: 429 with the time to stay away.
func TestRefusalOnTheWire(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.hosts[0].Share = 0.05 // a budget of one knock in many seconds
	p.hosts[0].Dial = closedAddress(t)
	p.start()
	p.submitAccepted("status", "first", "25")
	p.waitUntil("the outage is noted", func() bool { return readHealth(t, p.stateDir)["h1"].Ejected })
	text := section("refused", p.exchangeRaw(clientRequest("POST /status", "hi", "Request-Id: second")))
	compareWire(t, "refusal.txt", applyMasks(text, maskDate, maskRetryAfter))
}

// TestAnswersAtTheEndOnTheWire pins that the answers of a relay that ends close their connections.
func TestAnswersAtTheEndOnTheWire(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.admin = closedAddress(t)
	relay := p.start()
	if err := relay.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	health := "GET /_health HTTP/1.1\r\nHost: relay\r\n\r\n"
	answer := ""
	p.waitUntil("the relay ends", func() bool {
		answer = p.exchangeRaw(health)
		return strings.Contains(answer, "Connection: close")
	})
	text := section("health", answer) + section("taken on", p.exchangeRaw(clientRequest("POST /status", "hi")))
	text += section("health at the admin endpoint", sendAdminCommand(t, p.admin, "health\n"))
	compareWire(t, "end.txt", applyMasks(text, maskDate))
}

// TestNoticesOnTheWire pins the post of a notice, for both ends that a message may have.
func TestNoticesOnTheWire(t *testing.T) {
	discovery := startRecorder(t, func(came recordedRequest) string {
		if came.path == outcomesPath {
			return emptyResponse("204 No Content")
		}
		return emptyResponse("503 Service Unavailable")
	})
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.discovery.URL = "http://" + discovery.addr
	p.respond = func(*http.Request) int { return http.StatusInternalServerError }
	p.start()
	p.submitAccepted("order", "may <have> run", "25")
	text := section("undeliverable", discovery.nextAt(outcomesPath))
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusTooManyRequests } })
	p.submitAccepted("order", "never ran", "0.3")
	text += section("deferred", discovery.nextAt(outcomesPath))
	compareWire(t, "notices.txt", applyMasks(text, maskPort, maskAgain))
}

// TestWatchesOnTheWire pins what is asked of discovery: from the version of the configuration on, again after refusals
// and a list that was cut short, from a new list's version on, and from none where what came made no sense.
func TestWatchesOnTheWire(t *testing.T) {
	answers := make(chan string, 10)
	list := func(body string) string { return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body }
	steps := []struct{ title, answer string }{
		{"at the start", "HTTP/1.1 503 busy\r\nRetry-After: 0.1\r\nContent-Length: 0\r\n\r\n"},
		{"after 503", emptyResponse("410 Gone")},
		{"after 410", list(`{"seq":41,"whole":true,"hosts":[`)},
		{"after half a list", list(`{"seq":42,"whole":true,"hosts":[]}` + "\n")},
		{"after a list", list("nonsense\n")},
		{"after nonsense", list(`{"seq":43,"whole":true,"hosts":[]}` + "\n")},
		{"after a further list", list("")},
	}
	for _, step := range steps {
		answers <- step.answer
	}
	discovery := startRecorder(t, func(recordedRequest) string {
		select {
		case answer := <-answers:
			return answer
		default:
			return emptyResponse("503 Service Unavailable")
		}
	})
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.discovery.URL = "http://" + discovery.addr
	p.start()
	text := ""
	for _, step := range steps {
		text += section(step.title, discovery.nextAt(watchPath))
	}
	compareWire(t, "watches.txt", applyMasks(text, maskPort))
}
