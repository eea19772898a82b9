package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/endpoints"
	"milletsail/internal/journal"
	"milletsail/internal/relay/config"
	"milletsail/internal/relay/upstream"
	"milletsail/internal/settings"
)

// Environment variables that make the test program run as a child process. With childConfigVariable, the path of a configuration,
// and childStateVariable, the path of a state directory, it is a relay, so that tests can kill one. With childKillStepVariable it
// owns the state directory and kills itself at that step of a handover.
const (
	childConfigVariable   = "RELAY_TEST_CONFIG"
	childStateVariable    = "RELAY_TEST_STATE"
	childKillStepVariable = "RELAY_TEST_KILL_STEP"
)

// childDescriptorsVariable limits the number of open descriptors of a child process.
const childDescriptorsVariable = "RELAY_TEST_DESCRIPTORS"

func TestMain(m *testing.M) {
	if step := os.Getenv(childKillStepVariable); step != "" {
		runOwnerKilledAt(step, os.Getenv(childStateVariable))
	}
	path := os.Getenv(childConfigVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	cfg, err := config.Read(path)
	if n, limited := strconv.ParseUint(os.Getenv(childDescriptorsVariable), 10, 64); limited == nil {
		err = errors.Join(err, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}))
	}
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		hup := make(chan os.Signal, 1)
		signal.Notify(hup, syscall.SIGHUP)
		err = Run(ctx, cfg, os.Getenv(childStateVariable), config.Reloads(context.Background(), path, hup))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Members is an object that discovery sends to a watch: a complete list of endpoints if Whole is set, else the changed ones.
type Members struct {
	Seq   int64    `json:"seq"`
	Whole bool     `json:"whole"`
	Hosts []Member `json:"hosts"`
}

// Member is an entry of an endpoint list.
type Member = endpoints.Entry

const draining = endpoints.Draining

// readStoredList returns the endpoint list on a relay's disk and its version. It reads a copy, so the relay may be running.
func readStoredList(tb testing.TB, dir string) (hosts []Member, seq int64) {
	tb.Helper()
	folder := tb.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(dir, listDirectory))); err != nil && !errors.Is(err, os.ErrNotExist) {
		tb.Fatal(err)
	}
	store, table, seq, _, err := endpoints.Open(folder, math.MaxInt64)
	if err != nil {
		tb.Fatal(err)
	}
	if err := store.Close(); err != nil {
		tb.Fatal(err)
	}
	all, _, _ := table.All(0, math.MaxInt)
	return slices.Collect(all), seq
}

// endpointListOf returns an endpoint list with one endpoint for each of the destinations.
func endpointListOf(destinations ...int) *endpointList {
	table := endpoints.NewTable()
	for _, number := range destinations {
		table.Put(Member{Host: fmt.Sprint("host-", number), Block: number})
	}
	return &endpointList{settings: &settings.Settings{}, table: table}
}

// platform is the environment of the relay under test: the discovery service, endpoints and the state directory. The handlers of
// discovery and endpoints read it with mu locked; tests change what the handlers use by update while a relay runs.
type platform struct {
	t                 testing.TB
	discovery         *httptest.Server
	addr              string               // address at which the relay accepts clients
	admin             string               // address of the admin endpoint; empty for none
	clientSocket      *os.File             // socket for clients that relays inherit; nil if the relay listens itself
	stateDir          string               // state directory of the relay
	idempotencyWindow float64              // seconds for which endpoints remember the keys of the class "payment"
	sockets           int                  // "sockets" in the limits of the configuration
	diskMB            int                  // disk limit in MB
	maxBatch          int                  // maximum number of messages in a call
	discoveryMode     string               // value of "discovery" in the settings
	omitEndpoints     bool                 // the endpoint list in the configuration is empty
	limitDescriptors  bool                 // the relay process may open at most sockets descriptors
	failWatches       bool                 // discovery answers watches with 503
	serveWatch        func(*watchResponse) // writes the response to a watch; nil to send hosts, then watchLines

	mu           sync.Mutex
	hosts        []Member                // endpoint list in the configuration and at discovery
	respond      func(*http.Request) int // returns an endpoint's status; 0 to leave the call without a response
	callIDs      []string                // ids of the calls at endpoints: a message's id, or the ids in a batch
	callStarted  chan string             // receives the id of each call when it arrives
	received     []journal.Notification  // notifications posted to discovery
	failingPosts int                     // number of posts of notifications that still fail

	watchLines chan string // further lines of a watch's response
	stopping   chan bool   // closed when the test ends
}

// newPlatform starts a discovery service and reserves an address for the relay. It has no endpoints yet.
func newPlatform(tb testing.TB) *platform {
	tb.Helper()
	p := &platform{t: tb, stateDir: tb.TempDir(), idempotencyWindow: 15, sockets: 1024, diskMB: 3, maxBatch: 1,
		discoveryMode: "subscribe",
		callStarted:   make(chan string, 1000), watchLines: make(chan string, 10),
		stopping: make(chan bool), respond: func(*http.Request) int { return http.StatusOK }}
	p.discovery = httptest.NewServer(http.HandlerFunc(p.serveDiscovery))
	tb.Cleanup(func() {
		close(p.stopping)
		p.discovery.CloseClientConnections()
		p.discovery.Close()
	})
	p.addr = closedAddress(tb)
	return p
}

// closedAddress returns an address at which connections are refused and a relay can listen. Until the test ends, a socket that is
// bound to it, and does not listen, keeps the system from giving the port to another socket.
func closedAddress(tb testing.TB) string {
	tb.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = syscall.Close(fd) })
	// With SO_REUSEADDR, which listening sockets of package net have too, the address can be bound a second time.
	err = errors.Join(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1),
		syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	if err != nil {
		tb.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		tb.Fatal(err)
	}
	local, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		tb.Fatalf("socket address %v, want an IPv4 address", name)
	}
	return fmt.Sprint("127.0.0.1:", local.Port)
}

// addHost starts an endpoint of a destination and adds it to the list.
func (p *platform) addHost(id string, dest int) Member {
	s := httptest.NewServer(http.HandlerFunc(p.serveHost))
	p.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	m := Member{Host: id, Dial: strings.TrimPrefix(s.URL, "http://"), Site: "a", Class: "m2", Block: dest,
		Health: "SERVING", Share: 100}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, m)
	return m
}

// batchStatus is an endpoint's status for one message of a call with several.
type batchStatus struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// serveHost answers a call at an endpoint.
func (p *platform) serveHost(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Request-Id")
	var statuses []batchStatus
	if r.URL.Path == "/inbox/bulk" {
		var messages []upstream.Message
		_ = json.Unmarshal(body, &messages)
		for _, m := range messages {
			id += m.ID + " "
			statuses = append(statuses, batchStatus{ID: m.ID, State: "delivered"})
		}
	}
	p.mu.Lock()
	p.callIDs = append(p.callIDs, id)
	answer := p.respond
	p.mu.Unlock()
	status := answer(r)
	p.callStarted <- id
	if status == 0 {
		select {
		case <-r.Context().Done():
		case <-p.stopping:
		}
		return
	}
	w.WriteHeader(status)
	if statuses != nil {
		_ = json.NewEncoder(w).Encode(statuses)
	}
}

// serveDiscovery receives notifications and answers watches.
func (p *platform) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.URL.Path == "/v1/outcomes" {
		if p.failingPosts > 0 {
			p.failingPosts--
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		for lines := bufio.NewScanner(r.Body); lines.Scan(); {
			var n journal.Notification
			if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			p.received = append(p.received, n)
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if p.failWatches {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if serve := p.serveWatch; serve != nil {
		p.mu.Unlock()
		defer p.mu.Lock()
		serve(&watchResponse{w, r, p})
		return
	}
	line, _ := json.Marshal(Members{Seq: 41, Whole: true, Hosts: p.hosts})
	_, _ = w.Write(append(line, '\n'))
	p.mu.Unlock()
	defer p.mu.Lock()
	for {
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-p.stopping:
			return
		case line := <-p.watchLines:
			_, _ = io.WriteString(w, line+"\n")
		case <-time.After(time.Second):
			_, _ = io.WriteString(w, "\n")
		}
	}
}

// update runs change while it holds p.mu.
func (p *platform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// child is a relay in a process of its own. Its Stderr is a buffer with the relay's log.
type child struct {
	*exec.Cmd
	exited chan error
	done   chan bool // closed when the process has ended
	config string
}

// maxLoggedOutput is the maximum number of bytes of a relay's log that a failed test prints.
const maxLoggedOutput = 8 << 10

// logOutput prints the end of the relay's log. The process must have ended.
func (c *child) logOutput(tb testing.TB) {
	tb.Helper()
	text := fmt.Sprint(c.Stderr)
	tb.Logf("end of the relay's log:\n%s", text[max(0, len(text)-maxLoggedOutput):])
}

// hasEnded reports whether the process has ended.
func (c *child) hasEnded() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// start starts a relay in a child process and waits until it serves clients.
func (p *platform) start() *child {
	p.t.Helper()
	return p.startWithConfig(p.writeConfig())
}

// startWithConfig is start with the path of a configuration file.
func (p *platform) startWithConfig(path string) *child {
	p.t.Helper()
	c := &child{Cmd: exec.CommandContext(context.WithoutCancel(p.t.Context()), os.Args[0]), exited: make(chan error, 1),
		done: make(chan bool), config: path}
	c.Env = append(os.Environ(), childConfigVariable+"="+c.config, childStateVariable+"="+p.stateDir)
	if p.limitDescriptors {
		c.Env = append(c.Env, fmt.Sprint(childDescriptorsVariable, "=", p.sockets))
	}
	if p.clientSocket != nil {
		c.ExtraFiles, c.Env = []*os.File{p.clientSocket}, append(c.Env, "NODE_FD=3")
	}
	c.Stderr = &bytes.Buffer{}
	if err := c.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		c.exited <- c.Wait()
		close(c.done)
	}()
	p.t.Cleanup(func() {
		_ = c.Process.Kill()
		if <-c.done; p.t.Failed() {
			c.logOutput(p.t)
		}
	})
	p.waitUntil("the relay reports that it is healthy", func() bool {
		if c.hasEnded() {
			p.t.Fatal("the relay ended before it reported that it is healthy")
		}
		return p.isHealthy()
	})
	return c
}

// kill kills a relay with SIGKILL and waits until its process is gone.
func (p *platform) kill(c *child) {
	p.t.Helper()
	if err := c.Process.Kill(); err != nil {
		p.t.Fatal(err)
	}
	<-c.exited //nolint:errcheck // always fails, since the process was killed
}

// waitUntil waits until a condition holds, and fails the test if it does not hold in time; what describes the condition.
func (p *platform) waitUntil(what string, condition func() bool) {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// nextCall waits for the next call at an endpoint and returns its id.
func (p *platform) nextCall() string {
	p.t.Helper()
	select {
	case id := <-p.callStarted:
		return id
	case <-time.After(testTimeout):
		p.t.Fatal("timed out waiting for a call at an endpoint")
		return ""
	}
}

// calls returns the ids of all calls at endpoints so far.
func (p *platform) calls() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.callIDs...)
}

// notifications returns the notifications that discovery has received so far.
func (p *platform) notifications() []journal.Notification {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]journal.Notification(nil), p.received...)
}

// submit submits a message for destination 7 and returns the relay's response; change may modify the request.
func (p *platform) submit(class, id, timeout string, change ...func(*http.Request)) httpResponse {
	p.t.Helper()
	r, err := http.NewRequestWithContext(p.t.Context(), http.MethodPost, "http://"+p.addr+"/"+class,
		strings.NewReader("body of "+id))
	if err != nil {
		p.t.Fatal(err)
	}
	r.Header.Set("Request-Id", id)
	r.Header.Set("Tenant", "acme")
	r.Header.Set("Request-Timeout", timeout)
	r.Header.Set("X-Envelope", "dest=7")
	r.Header.Set("Idempotency-Key", "key-"+id)
	for _, c := range change {
		c(r)
	}
	resp, err := sendRequest(r)
	if err != nil {
		p.t.Fatalf("no response to message %s: %v", id, err)
	}
	return resp
}

// submitAccepted submits a message for destination 7 and fails the test if the relay does not accept it.
func (p *platform) submitAccepted(class, id, timeout string) {
	p.t.Helper()
	if resp := p.submit(class, id, timeout); resp.StatusCode != http.StatusAccepted {
		p.t.Fatalf("message %s got status %s, want 202", id, resp.Status)
	}
}

// respondAfter returns a respond function that answers 200 once hold is closed or receives a value.
func (p *platform) respondAfter(release chan bool) func(*http.Request) int {
	return func(r *http.Request) int {
		select {
		case <-release:
		case <-r.Context().Done():
		}
		return http.StatusOK
	}
}
