package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the protocol of a run: one line for each thing that was sent, answered or run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// host is one entry of discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

type list struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// notice is one line that the relay posts to the platform.
type notice struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	at     time.Time
}

// platform stands in for discovery and for the platform that receives notices.
type platform struct {
	rec    *record
	server *http.Server
	addr   string

	mu      sync.Mutex
	seq     int64
	hosts   map[string]host
	changes []list
	wake    chan struct{}
	notices map[string]notice
}

func newPlatform(rec *record) *platform {
	p := &platform{rec: rec, seq: 40, hosts: map[string]host{}, wake: make(chan struct{}), notices: map[string]notice{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", p.members)
	mux.HandleFunc("POST /v1/outcomes", p.outcomes)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(l) }()
	return p
}

// set puts an entry on the list or removes it (health DELETED), and tells all watches.
func (p *platform) set(hosts ...host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	for _, h := range hosts {
		if h.Health == "DELETED" {
			delete(p.hosts, h.Host)
		} else {
			p.hosts[h.Host] = h
		}
	}
	p.changes = append(p.changes, list{Seq: p.seq, Hosts: hosts})
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *platform) whole() list {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := list{Seq: p.seq, Whole: true, Hosts: []host{}}
	for _, h := range p.hosts {
		l.Hosts = append(l.Hosts, h)
	}
	sort.Slice(l.Hosts, func(i, j int) bool { return l.Hosts[i].Host < l.Hosts[j].Host })
	return l
}

func (p *platform) members(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("stream") != "1" {
		_ = json.NewEncoder(w).Encode(p.whole())
		return
	}
	p.rec.add("discovery watch begins, index %s", r.URL.Query().Get("index"))
	flush := http.NewResponseController(w)
	first := p.whole()
	_ = json.NewEncoder(w).Encode(first)
	_ = flush.Flush()
	for sent := first.Seq; ; {
		p.mu.Lock()
		wake := p.wake
		var next []list
		for _, c := range p.changes {
			if c.Seq > sent {
				next = append(next, c)
			}
		}
		p.mu.Unlock()
		for _, c := range next {
			_ = json.NewEncoder(w).Encode(c)
			sent = c.Seq
		}
		if flush.Flush() != nil {
			return
		}
		select {
		case <-wake:
		case <-time.After(2 * time.Second):
			_, _ = io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

func (p *platform) outcomes(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for line := range bytes.Lines(text) {
		var n notice
		if json.Unmarshal(line, &n) != nil || n.ID == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n.at = time.Now()
		p.rec.add("notice %s %s", n.ID, n.Status)
		p.mu.Lock()
		if _, known := p.notices[n.ID]; !known {
			p.notices[n.ID] = n
		}
		p.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *platform) notice(id string) (notice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.notices[id]
	return n, ok
}

// run is one message of one call as an endpoint saw it.
type run struct {
	id       string
	endpoint string
	call     int // calls are numbered over all endpoints
	messages int // in the call
	key      string
	body     string
	began    time.Time // the last byte of the call had come
	ended    time.Time // the answer was written, or the end of the connection was seen; zero while the call is out
	status   int       // 0 if the connection ended before the answer
}

// endpoints stands in for all endpoints, and keeps what ran there.
type endpoints struct {
	rec *record
	mu  sync.Mutex
	all []*run
	num int
}

// behaviour decides how an endpoint answers a call: after how long, with which status, and with which wait (ms).
type behaviour func(number int, ids []string) (after time.Duration, status, waitMS int)

type message struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// open starts an endpoint at a free loopback address and returns its entry for the list.
func (e *endpoints) open(name, class string, block int, answer behaviour) host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	server := &http.Server{IdleTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.serve(w, r, name, answer)
	})}
	go func() { _ = server.Serve(l) }()
	return host{Host: name, Dial: l.Addr().String(), Site: "lima-miraflores", Class: class, Block: block, Health: "SERVING", Share: 10}
}

func (e *endpoints) serve(w http.ResponseWriter, r *http.Request, name string, answer behaviour) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the call's last byte never came
	}
	messages := []message{{ID: r.Header.Get("Request-Id"), Key: r.Header.Get("Idempotency-Key"), Body: body}}
	bulk := r.URL.Path == "/inbox/bulk"
	if bulk && json.Unmarshal(body, &messages) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var ids []string
	var runs []*run
	e.mu.Lock()
	e.num++
	number := e.num
	for _, m := range messages {
		ids = append(ids, m.ID)
		one := &run{id: m.ID, endpoint: name, call: number, messages: len(messages), key: m.Key, body: string(m.Body), began: time.Now()}
		runs = append(runs, one)
		e.all = append(e.all, one)
	}
	e.mu.Unlock()
	e.rec.add("call %d at %s begins: %s", number, name, strings.Join(ids, " "))
	after, status, wait := answer(number, ids)
	select {
	case <-time.After(after):
	case <-r.Context().Done():
		e.end(runs, 0)
		e.rec.add("call %d at %s: connection ended without an answer", number, name)
		return
	}
	if wait > 0 {
		w.Header().Set("X-Retry-In-Ms", fmt.Sprint(wait))
	}
	e.end(runs, status)
	e.rec.add("call %d at %s answered %d wait %d", number, name, status, wait)
	w.WriteHeader(status)
	if bulk && status == http.StatusOK {
		type state struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		var states []state
		for _, id := range ids {
			states = append(states, state{id, "delivered"})
		}
		_ = json.NewEncoder(w).Encode(states)
	}
}

func (e *endpoints) end(runs []*run, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, one := range runs {
		one.ended, one.status = time.Now(), status
	}
}

// runsOf returns a copy of what ran, by message.
func (e *endpoints) runsOf() map[string][]run {
	e.mu.Lock()
	defer e.mu.Unlock()
	by := map[string][]run{}
	for _, one := range e.all {
		by[one.id] = append(by[one.id], *one)
	}
	return by
}

// sent is one request of a client and what came back.
type sent struct {
	id         string
	class      string
	dest       int
	key        string
	body       string
	at         time.Time
	timeout    time.Duration
	status     int // 0: no answer
	answered   time.Time
	err        string
	retryAfter string
}

// clients hands messages in.
type clients struct {
	rec  *record
	addr string
	http *http.Client

	mu  sync.Mutex
	all []*sent
}

func newClients(rec *record, addr string) *clients {
	return &clients{rec: rec, addr: addr, http: &http.Client{Timeout: 400 * time.Millisecond,
		Transport: &http.Transport{MaxIdleConnsPerHost: 200}}}
}

// send hands in one message and waits for the answer, for 400 ms.
func (c *clients) send(id, class string, dest int, key, body string, timeout time.Duration) *sent {
	s := &sent{id: id, class: class, dest: dest, key: key, body: body, at: time.Now(), timeout: timeout}
	c.mu.Lock()
	c.all = append(c.all, s)
	c.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, "http://"+c.addr+"/"+class, strings.NewReader(body))
	check(err)
	req.GetBody = nil
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", timeout.Seconds()))
	req.Header.Set("X-Envelope", fmt.Sprintf("dest=%d", dest))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.http.Do(req)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.answered = time.Now()
	if err != nil {
		s.err = err.Error()
		c.rec.add("client %s %s dest %d: no answer (%s)", id, class, dest, s.err)
		return s
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	s.status, s.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	c.rec.add("client %s %s dest %d: %d", id, class, dest, s.status)
	return s
}

func (c *clients) sentAll() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []sent
	for _, s := range c.all {
		all = append(all, *s)
	}
	return all
}

// relay is the folder and the processes of one relay.
type relay struct {
	rec    *record
	root   string // of the repository
	dir    string
	config map[string]any
	listen string
	admin  string
	socket *os.File // the clients' listening socket, if the platform holds it
	count  int
	procs  []*process
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a process of the relay with the command of the deploy file.
func (r *relay) start(admin string) *process {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	check(err)
	command := ""
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ = strings.Cut(rest, `"`)
		}
	}
	r.count++
	config := filepath.Join(r.dir, "config.json")
	r.writeConfig()
	log, err := os.Create(filepath.Join(r.dir, fmt.Sprintf("relay-%d.log", r.count)))
	check(err)
	temporary := filepath.Join(r.dir, fmt.Sprintf("tmp-%d", r.count))
	state := filepath.Join(r.dir, "state")
	check(os.MkdirAll(temporary, 0o700))
	check(os.MkdirAll(state, 0o700))
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.root, log, log
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+config, "NODE_STATE="+state, "NODE_NAME=n1", "NODE_LISTEN="+r.listen,
		"NODE_DISCOVERY="+fmt.Sprint(r.config["discovery"]), "TMPDIR="+temporary)
	if admin != "" {
		cmd.Env = append(cmd.Env, "NODE_ADMIN="+admin)
	}
	if r.socket != nil {
		cmd.ExtraFiles = []*os.File{r.socket}
		cmd.Env = append(cmd.Env, "NODE_FD=3")
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	p := &process{cmd: cmd, done: make(chan struct{})}
	r.procs = append(r.procs, p)
	r.rec.add("relay process %d starts", r.count)
	number := r.count
	go func() {
		err := cmd.Wait()
		r.rec.add("relay process %d ended: %v", number, err)
		_ = log.Close()
		close(p.done)
	}()
	return p
}

func (r *relay) writeConfig() {
	text, err := json.MarshalIndent(r.config, "", " ")
	check(err)
	path := filepath.Join(r.dir, "config.json")
	check(os.WriteFile(path+".new", text, 0o600))
	check(os.Rename(path+".new", path))
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// waitReady waits until the relay answers its health check.
func (r *relay) waitReady() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 300 {
		resp, err := client.Get("http://" + r.listen + "/_health")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				r.rec.add("relay is ready")
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	fail("the relay was not ready within 15 s")
}

// call sends one line to an operators' address and returns the answer.
func call(addr, line string) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(conn, line+"\n")
	text, _ := io.ReadAll(io.LimitReader(conn, 1<<20))
	return string(text)
}

// waitYes waits until a process says yes at its operators' address.
func waitYes(rec *record, addr string) bool {
	for range 120 {
		if strings.HasPrefix(call(addr, "health"), "OK") {
			rec.add("new process says yes")
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (r *relay) endAll() {
	for _, p := range r.procs {
		if !p.ended() {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
		}
		<-p.done
	}
}

// freeAddr returns a free loopback address.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// secondCopies returns the messages of which a call began while an earlier one was out on an open connection, for more than the
// given grace.
func secondCopies(runs map[string][]run, grace time.Duration) (found []string) {
	for id, all := range runs {
		for i, later := range all {
			for _, earlier := range all[:i] {
				if earlier.call != later.call && (earlier.ended.IsZero() || earlier.ended.Sub(later.began) > grace) {
					found = append(found, fmt.Sprintf("%s: call %d began at %s while call %d was out at %s", id, later.call,
						later.endpoint, earlier.call, earlier.endpoint))
				}
			}
		}
	}
	sort.Strings(found)
	return found
}

var errCase = errors.New("the case could not run")

// fail ends the run with the exit status for a case that could not run.
func fail(format string, args ...any) {
	log.Printf(format, args...)
	panic(errCase)
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}
