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
	"net"
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

// childConfigVariable and childStateVariable make the test program a relay, so that tests can kill one; childKillStepVariable makes it a process
// that owns the folder and is killed at a step of the handover.
const childConfigVariable, childStateVariable, childKillStepVariable = "FROSTLINK_TEST_CONFIG", "FROSTLINK_TEST_STATE", "FROSTLINK_TEST_DIES"

// childDescriptorsVariable has a child hold no more descriptors than the platform grants it.
const childDescriptorsVariable = "FROSTLINK_TEST_FILES"

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

// Members is an object of discovery's, a list or a change of it, and Member one of its entries.
type Members struct {
	Seq   int64    `json:"seq"`
	Whole bool     `json:"whole"`
	Hosts []Member `json:"hosts"`
}

type Member = endpoints.Entry

const draining = endpoints.Draining

// readStoredList gives the list that a relay has on disk, and its version; the relay may run.
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

// endpointListOf gives a list of endpoints with one for each of some destinations.
func endpointListOf(destinations ...int) *endpointList {
	table := endpoints.NewTable()
	for _, number := range destinations {
		table.Put(Member{Host: fmt.Sprint("host-", number), Block: number})
	}
	return &endpointList{settings: &settings.Settings{}, table: table}
}

// platform stands for what a relay has round it: discovery, the hosts of destination 7, and its disk.
type platform struct {
	t         testing.TB
	discovery *httptest.Server
	addr      string   // the relay's
	admin     string   // its admin endpoint; empty for none
	clientSocket    *os.File // the clients' socket, where the platform holds it
	stateDir       string
	idempotencyWindow    float64
	sockets   int
	diskMB      int                // MB
	maxBatch    int                // messages in a call at most
	discoveryMode      string             // of discovery, in the settings
	omitEndpoints   bool               // the configuration lists no host
	limitDescriptors   bool               // a relay holds no more descriptors than sockets
	failWatches      bool               // watches fail
	serveWatch     func(*watchResponse) // answers watches; nil for the list of hosts and lines

	mu      sync.Mutex
	hosts   []Member
	respond  func(*http.Request) int // a host's status; 0 for no answer while the call lasts
	callIDs   []string                // ids that hosts were sent
	callStarted   chan string             // the same, as they come
	received []journal.Notification
	failingPosts    int // so many posts of notices fail

	watchLines    chan string // further lines of the watch
	stopping chan bool   // closed at the end
}

func newPlatform(tb testing.TB) *platform {
	tb.Helper()
	p := &platform{t: tb, stateDir: tb.TempDir(), idempotencyWindow: 15, sockets: 1024, diskMB: 3, maxBatch: 1, discoveryMode: "subscribe",
		callStarted: make(chan string, 1000), watchLines: make(chan string, 10),
		stopping: make(chan bool), respond: func(*http.Request) int { return http.StatusOK }}
	p.discovery = httptest.NewServer(http.HandlerFunc(p.serveDiscovery))
	tb.Cleanup(func() {
		close(p.stopping)
		p.discovery.CloseClientConnections()
		p.discovery.Close()
	})
	l, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	p.addr = l.Addr().String()
	_ = l.Close()
	return p
}

// addHost starts a host of a destination.
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

// batchStatus is what an endpoint says of one message of a call with several.
type batchStatus struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

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

// update changes what the platform does.
func (p *platform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// child is a relay in a process of its own.
type child struct {
	*exec.Cmd
	exited chan error
	config string
}

// start starts a relay and waits until it is ready.
func (p *platform) start() *child {
	p.t.Helper()
	c := &child{Cmd: exec.CommandContext(context.WithoutCancel(p.t.Context()), os.Args[0]), exited: make(chan error, 1),
		config: p.writeConfig()}
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
	go func() { c.exited <- c.Wait() }()
	p.t.Cleanup(func() { _ = c.Process.Kill() })
	p.waitUntilReady()
	return c
}

// kill ends a relay as an outright kill does.
func (p *platform) kill(c *child) {
	p.t.Helper()
	if err := c.Process.Kill(); err != nil {
		p.t.Fatal(err)
	}
	<-c.exited //nolint:errcheck // it was killed
}

// waitUntil waits for something to come true; how long that takes decides nothing.
func (p *platform) waitUntil(what string, true func() bool) {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); !true(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("waited in vain: %s", what)
		}
	}
}

// nextCall waits for a call at a host and returns its id.
func (p *platform) nextCall() string {
	p.t.Helper()
	select {
	case id := <-p.callStarted:
		return id
	case <-time.After(testTimeout):
		p.t.Fatal("no call came")
		return ""
	}
}

func (p *platform) calls() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.callIDs...)
}

func (p *platform) notifications() []journal.Notification {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]journal.Notification(nil), p.received...)
}

// submit hands a message in and returns the answer.
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
		p.t.Fatalf("%s: %v", id, err)
	}
	return resp
}

// submitAccepted hands a message in that has to be taken on.
func (p *platform) submitAccepted(class, id, timeout string) {
	p.t.Helper()
	if resp := p.submit(class, id, timeout); resp.StatusCode != http.StatusAccepted {
		p.t.Fatalf("%s: %s", id, resp.Status)
	}
}

// respondAfter is a host's answer that waits until it is let go.
func (p *platform) respondAfter(hold chan bool) func(*http.Request) int {
	return func(r *http.Request) int {
		select {
		case <-hold:
		case <-r.Context().Done():
		}
		return http.StatusOK
	}
}
