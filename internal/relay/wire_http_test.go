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

// recordedRequest is one request as it was received.
type recordedRequest struct {
	raw  string // all bytes of the request
	path string // path of its URL
}

// recorder is an HTTP server that records each request byte for byte and answers it.
type recorder struct {
	t        *testing.T
	addr     string
	requests chan recordedRequest
}

// startRecorder starts a recorder. The function answer returns all bytes of the response to a request; empty for no response.
func startRecorder(t *testing.T, answer func(recordedRequest) string) *recorder {
	t.Helper()
	server := &recorder{t: t, requests: make(chan recordedRequest, 100)}
	server.addr = serveRaw(t, func(conn net.Conn) { server.serve(conn, answer) })
	return server
}

// serve records and answers the requests of a connection, until a response closes it.
func (r *recorder) serve(conn net.Conn, answer func(recordedRequest) string) {
	var raw bytes.Buffer
	in := bufio.NewReader(io.TeeReader(conn, &raw)) // clients send the next request only after the response
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		recorded := recordedRequest{raw: raw.String(), path: request.URL.Path}
		raw.Reset()
		r.requests <- recorded
		text := answer(recorded)
		if _, err := io.WriteString(conn, text); err != nil || strings.Contains(text, "\r\nConnection: close\r\n") {
			return
		}
	}
}

// serveRaw listens at a new address, which it returns, and calls serve for each connection in a goroutine. It closes the
// connection afterwards.
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
			if err != nil { // the listener is closed
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

// next waits for the next request and returns its bytes.
func (r *recorder) next() string {
	r.t.Helper()
	select {
	case request := <-r.requests:
		return request.raw
	case <-time.After(testTimeout):
		r.t.Fatal("timed out waiting for a request")
		return ""
	}
}

// nextForPath waits for the next request whose target begins with path, drops others, and returns its bytes.
func (r *recorder) nextForPath(path string) string {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		raw := r.next()
		if _, target, _ := strings.Cut(raw, " "); strings.HasPrefix(target, path) {
			return raw
		}
	}
	r.t.Fatalf("timed out waiting for a request for %s", path)
	return ""
}

// Paths at the discovery service.
const (
	// watchPath is the path of the endpoint list.
	watchPath = "/catalog/members"
	// outcomesPath is the path to which notifications are posted.
	outcomesPath = "/v1/outcomes"
)

// emptyResponse returns an HTTP response with a status and without a body.
func emptyResponse(status string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"
}

// memberAt returns the list entry of an endpoint of destination 7 at an address.
func memberAt(addr string) Member {
	return Member{Host: "h1", Dial: addr, Site: "a", Class: "m2", Block: 7, Health: "SERVING", Share: 100}
}

// Endpoints parse the relay's requests. The test compares calls byte for byte: with several messages, and with one message with a
// key or without.
func TestCallsOnTheWire(t *testing.T) {
	host := startRecorder(t, func(request recordedRequest) string {
		if request.path != "/inbox/bulk" {
			return emptyResponse("200 OK")
		}
		body := `[{"id":"a","state":"delivered"},{"id":"b","state":"delivered"}]`
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	})
	p := newPlatform(t)
	p.maxBatch = 3
	p.hosts = []Member{memberAt(host.addr)}
	j := openTestJournal(t, p.stateDir, 3)
	for id, key := range map[string]string{"a": "key <of> a", "b": ""} { // "b" has no key
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

// sortMessages sorts the messages in the body of a call, whose order varies because the journal keeps none.
func sortMessages(request string) string {
	head, body, _ := strings.Cut(request, "\r\n\r\n")
	messages := strings.SplitAfter(strings.Trim(body, "[]"), "}")
	for i := range messages {
		messages[i] = strings.TrimPrefix(messages[i], ",")
	}
	messages = slices.DeleteFunc(messages, func(parcel string) bool { return parcel == "" })
	slices.Sort(messages)
	return head + "\r\n\r\n[" + strings.Join(messages, ",") + "]"
}

// clientRequest returns a client's request with a valid header and a body. Each of fields replaces the header field of the same
// name, adds a new one, or removes the field if it has no value.
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

// exchangeRaw sends a request on a new connection and returns all bytes of the response.
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

// readRawResponse reads one response and returns all its bytes.
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

// The test compares responses to clients byte for byte, for each kind of request whose response does not depend on earlier
// requests.
func TestResponsesOnTheWire(t *testing.T) {
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

// The test compares the responses to a message that a client submits again before the notification of its end is delivered: 502
// if an endpoint may have executed it, else 503.
func TestResponsesToRepeatsOnTheWire(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.failingPosts = 1 << 30
	p.respond = func(*http.Request) int { return http.StatusInternalServerError }
	p.admin = closedAddress(t)
	p.start()
	text := section("taken on", p.exchangeRaw(clientRequest("POST /order", "hi", "Request-Id: fragile")))
	p.nextCall()
	p.waitUntil("the message has failed", func() bool {
		return strings.Contains(sendAdminCommand(t, p.admin, "counters\n"), "relay_pending 0\n")
	})
	text += section("failed", p.exchangeRaw(clientRequest("POST /order", "hi", "Request-Id: fragile")))
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusTooManyRequests } })
	p.exchangeRaw(clientRequest("POST /order", "hi", "Request-Id: refused", "Request-Timeout: 0.3"))
	p.nextCall()
	p.waitUntil("the message has expired", func() bool {
		return strings.Contains(sendAdminCommand(t, p.admin, "counters\n"), "relay_pending 0\n")
	})
	text += section("refused", p.exchangeRaw(clientRequest("POST /order", "hi", "Request-Id: refused")))
	compareWire(t, "repeats.txt", applyMasks(text, maskDate))
}

// The test compares the response to a message for a destination without a usable endpoint: 429 with the time after which to
// retry.
func TestRejectionOnTheWire(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.hosts[0].Share = 0.05 // allows one probe in many seconds
	p.hosts[0].Dial = closedAddress(t)
	p.start()
	p.submitAccepted("status", "first", "25")
	p.waitUntil("the ejection of the endpoint is in the journal", func() bool { return readHealth(t, p.stateDir)["h1"].Ejected })
	text := section("refused", p.exchangeRaw(clientRequest("POST /status", "hi", "Request-Id: second")))
	compareWire(t, "refusal.txt", applyMasks(text, maskDate, maskRetryAfter))
}

// A client that keeps its connection to a relay that shuts down would lose its next request. The test compares the responses of
// such a relay, which close their connections.
func TestResponsesAtShutdownOnTheWire(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.admin = closedAddress(t)
	relay := p.start()
	if err := relay.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	health := "GET /_health HTTP/1.1\r\nHost: relay\r\n\r\n"
	answer := ""
	p.waitUntil("the relay closes connections", func() bool {
		answer = p.exchangeRaw(health)
		return strings.Contains(answer, "Connection: close")
	})
	text := section("health", answer) + section("taken on", p.exchangeRaw(clientRequest("POST /status", "hi")))
	text += section("health at the admin endpoint", sendAdminCommand(t, p.admin, "health\n"))
	compareWire(t, "end.txt", applyMasks(text, maskDate))
}

// The test compares the posts of notifications byte for byte, for an undeliverable and for a deferred message.
func TestNotificationsOnTheWire(t *testing.T) {
	discovery := startRecorder(t, func(request recordedRequest) string {
		if request.path == outcomesPath {
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
	text := section("undeliverable", discovery.nextForPath(outcomesPath))
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusTooManyRequests } })
	p.submitAccepted("order", "never ran", "0.3")
	text += section("deferred", discovery.nextForPath(outcomesPath))
	compareWire(t, "notices.txt", applyMasks(text, maskPort, maskAgain))
}

// The test compares the requests of watches byte for byte. They begin from the version of the configuration's list, also after
// errors and after a list that breaks off, then from the version of a new list, and from no version after a response that can't
// be parsed.
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
		text += section(step.title, discovery.nextForPath(watchPath))
	}
	compareWire(t, "watches.txt", applyMasks(text, maskPort))
}
