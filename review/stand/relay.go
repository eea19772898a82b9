package stand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Object is a JSON object.
type Object = map[string]any

// Class is a class of messages in the settings.
type Class struct {
	Name        string
	Effect      string // retryable, dedup or fragile
	DeadlineS   float64
	MemorySpanS float64
}

// Settings returns settings with the figures of the example of the interface page, apart from the classes and the slots.
func Settings(classes []Class, slots, bundle int) Object {
	var categories []Object
	for _, c := range classes {
		categories = append(categories, Object{"name": c.Name, "aim_s": 3.0, "deadline_s": c.DeadlineS, "group": "all",
			"idempotency": c.Effect, "late_share": 0.3, "memory_span_s": c.MemorySpanS, "points": 1.0, "stream": false})
	}
	return Object{"az": 0, "categories": categories, "discovery": "automatic", "family": "deliver",
		"localities": []string{"a"}, "n_instances": 1, "ordinal": 0, "quantum_s": 0.005,
		"limits": Object{"cancel": true, "conn_idle_s": 10.0, "connect_timeout_s": 1.5, "max_attempts": 8, "max_open": 293,
			"max_retry_after_s": 3.0, "max_streams": 1, "peers": false, "probing": false, "retry_after": true, "second_copies": false},
		"report": Object{"columns": []string{}, "via": "off"},
		"rules": Object{"answer_slack_s": 0.3, "ask_within_s": 10.0, "cold_share": 0.29, "drain_grace_s": 2.0,
			"overload_factor": 1.5, "overload_for_s": 3.0, "ramp_time_s": 12.0},
		"shapes": []string{"m2"},
		"specifics": Object{"bundle_max": []int{bundle}, "loses_worth": "linear", "max_calls": slots, "route_fee": []float64{0},
			"separate_routes": []bool{false}},
		"tenants": []string{}, "weights": "off", "worth_by": "request"}
}

// Limits are the limits of a relay.
type Limits struct{ MemoryMB, Sockets int }

// DefaultLimits are the most that a relay gets on a scored day.
var DefaultLimits = Limits{MemoryMB: 192, Sockets: 1024}

// Relay is a relay that is run by the command of the deploy file.
type Relay struct {
	Listen  string
	Admin   string
	State   string
	Log     string
	Limits  Limits
	dir     string
	root    string
	command string
	record  *Record
	socket  *os.File // listening socket that the platform holds, or nil
	starts  int
}

// Process is one process of a relay.
type Process struct {
	*exec.Cmd
	Done chan struct{} // closed when the process has ended
	Err  error         // why it ended, after Done
	log  *os.File
}

// runCommand matches the line of the deploy file that names the command of the relay.
var runCommand = regexp.MustCompile(`(?m)^run = "(.*)"`)

// NewRelay prepares a relay with an empty state folder below dir. With inherit, the platform holds its listening socket.
func NewRelay(ctx context.Context, record *Record, root, dir string, inherit bool) (*Relay, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	found := runCommand.FindSubmatch(deploy)
	if found == nil {
		return nil, errors.New("the deploy file names no command run")
	}
	r := &Relay{dir: dir, root: root, command: string(found[1]), record: record, State: filepath.Join(dir, "state"),
		Log: filepath.Join(dir, "relay.log"), Limits: DefaultLimits}
	if err := os.MkdirAll(r.State, 0o700); err != nil {
		return nil, err
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }()
	r.Listen = listener.Addr().String()
	if tcp, ok := listener.(*net.TCPListener); ok && inherit {
		r.socket, err = tcp.File()
	}
	return r, err
}

// WriteConfig writes the configuration file.
func (r *Relay) WriteConfig(discovery string, known List, settings Object) error {
	text, err := json.Marshal(Object{"name": "n1", "listen": r.Listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": Object{"cores": 1.0, "memory_mb": r.Limits.MemoryMB, "sockets": r.Limits.Sockets, "disk_mb": 3}, "known": known, "settings": settings})
	if err != nil {
		return err
	}
	path := r.configPath()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (r *Relay) configPath() string { return filepath.Join(r.dir, "config.json") }

// Start starts a process of the relay.
func (r *Relay) Start(ctx context.Context) (*Process, error) {
	r.starts++
	log, err := os.OpenFile(r.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	temporary := filepath.Join(r.dir, "tmp")
	if err := os.MkdirAll(temporary, 0o700); err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, "/bin/sh", "-c", r.command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.root, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(os.Environ(), "NODE_NAME=n1", "NODE_LISTEN="+r.Listen, "NODE_STATE="+r.State, "NODE_CONFIG="+r.configPath(),
		"TMPDIR="+temporary)
	if r.socket != nil {
		cmd.ExtraFiles = []*os.File{r.socket}
		cmd.Env = append(cmd.Env, "NODE_FD=3")
	}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	p := &Process{Cmd: cmd, Done: make(chan struct{}), log: log}
	r.record.Add("relay process %d started, pid %d", r.starts, cmd.Process.Pid)
	go func() {
		p.Err = cmd.Wait()
		r.record.Add("relay pid %d ended: %v", cmd.Process.Pid, p.Err)
		_ = log.Close()
		close(p.Done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.Process.Signal(s) }

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Done
}

// WaitReady waits until the relay answers its health check.
func (r *Relay) WaitReady(ctx context.Context) error {
	deadline := time.Now().Add(20 * time.Second)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Now().Before(deadline) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Listen+"/_health", http.NoBody)
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.record.Add("relay ready")
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("relay not ready")
}

// CopyLog adds the lines of the relay's log that contain one of the texts to the record, a thousand at most.
func (r *Relay) CopyLog(texts ...string) {
	log, err := os.ReadFile(r.Log)
	if err != nil {
		return
	}
	lines := 0
	for line := range strings.SplitSeq(string(log), "\n") {
		for _, text := range texts {
			if strings.Contains(line, text) && lines < 1000 {
				r.record.Add("log: %s", line)
				lines++
				break
			}
		}
	}
}

// Exit is the exit status of a case.
type Exit int

// The exit statuses.
const (
	Held   Exit = 0
	Broken Exit = 1
	NotRun Exit = 2
)

// Main runs a case in a temporary folder, with the record at the path in $RECORD and the root of the repository in $ROOT, and
// exits with its status. trouble tells whether the case's disruption takes place.
func Main(run func(ctx context.Context, record *Record, root, dir string, trouble bool) (Exit, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), 118*time.Second)
	defer cancel()
	os.Exit(int(runIn(ctx, run)))
}

func runIn(ctx context.Context, run func(context.Context, *Record, string, string, bool) (Exit, error)) Exit {
	record, err := NewRecord(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	exit, err := run(ctx, record, os.Getenv("ROOT"), dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Add("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	record.Add("exit status %d", exit)
	return exit
}
