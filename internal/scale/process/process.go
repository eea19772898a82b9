// Package process starts relays of any version for scale runs, and reads their resource usage from the proc file
// system.
//
// It signals only processes that it started, by their ids. None of them outlives this program: the kernel kills a
// process when the thread that started it exits.
package process

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Options is how a process is started.
type Options struct {
	Binary string
	Args   []string
	Dir    string   // working directory, also used for temporary files
	Config string   // path of the relay's configuration file
	State  string   // the relay's state directory, which outlasts the process
	Env    []string // variables added to the process's environment
	// Stdin and Stdout are the standard streams of the process; nil connects them to /dev/null. The caller closes its
	// own copies.
	Stdin, Stdout *os.File
}

// Process is a process that Start started. Its methods are safe for concurrent use.
type Process struct {
	command *exec.Cmd
	begun   time.Time
	state   string
	exited  chan struct{}

	mu        sync.Mutex
	lastLines []string
	logBytes  int64
	liveMB    float64
}

// gcTrace makes the Go runtime report each garbage collection on standard error.
const gcTrace = "GODEBUG=gctrace=1"

// gcReport matches the runtime's report of a garbage collection and captures the live heap in MB: "gc 7 @1.2s 3%: ...
// 8->9->4 MB, ...".
var gcReport = regexp.MustCompile(`^gc \d+ @.* \d+->\d+->(\d+) MB`)

// maxLogLines is the number of recent log lines that are kept for error messages.
const maxLogLines = 20

// Start starts a process in a process group of its own.
func Start(o Options) (*Process, error) {
	p := &Process{command: exec.Command(o.Binary, o.Args...), state: o.State, exited: make(chan struct{})}
	p.command.Dir = o.Dir
	p.command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + o.Dir, "NODE_STATE=" + o.State, "NODE_CONFIG=" + o.Config, gcTrace},
		o.Env...)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if o.Stdin != nil {
		p.command.Stdin = o.Stdin
	}
	if o.Stdout != nil {
		p.command.Stdout = o.Stdout
	}
	log, err := p.command.StderrPipe()
	if err != nil {
		return nil, err
	}
	p.begun = time.Now()
	if err := startOnPermanentThread(p.command); err != nil {
		return nil, err
	}
	go func() {
		p.readLog(log)
		_ = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

var (
	startRequests = make(chan func())
	starterOnce   sync.Once
)

// startOnPermanentThread starts a command from a thread that lives as long as this program: the kernel kills the
// command's process when the thread that started it exits.
func startOnPermanentThread(command *exec.Cmd) error {
	starterOnce.Do(func() {
		go func() {
			runtime.LockOSThread()
			for start := range startRequests {
				start()
			}
		}()
	})
	result := make(chan error)
	startRequests <- func() { result <- command.Start() }
	return <-result
}

// readLog records the process's standard error until it is closed.
func (p *Process) readLog(log io.Reader) {
	lines := bufio.NewReader(log)
	for {
		line, err := lines.ReadString('\n')
		p.recordLine(line)
		if err != nil {
			return
		}
	}
}

func (p *Process) recordLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logBytes += int64(len(line))
	if match := gcReport.FindStringSubmatch(line); match != nil {
		p.liveMB, _ = strconv.ParseFloat(match[1], 64)
		return
	}
	if line == "" {
		return
	}
	p.lastLines = append(p.lastLines, line)
	if len(p.lastLines) > maxLogLines {
		p.lastLines = p.lastLines[1:]
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Started returns the time at which the process was started.
func (p *Process) Started() time.Time { return p.begun }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// LastLine returns the last line of the process's log, or "" if the log is empty.
func (p *Process) LastLine() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lastLines) == 0 {
		return ""
	}
	return p.lastLines[len(p.lastLines)-1]
}

// Find returns the latest recorded log line that matches a pattern, or "" if none does.
func (p *Process) Find(pattern *regexp.Regexp) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.lastLines) - 1; i >= 0; i-- {
		if pattern.MatchString(p.lastLines[i]) {
			return p.lastLines[i]
		}
	}
	return ""
}

// End sends a signal to the process and waits until it has exited; it kills the process if that takes longer than the
// time limit.
func (p *Process) End(signal syscall.Signal, within time.Duration) {
	_ = p.command.Process.Signal(signal)
	select {
	case <-p.exited:
		return
	case <-time.After(within):
	}
	_ = p.command.Process.Kill()
	<-p.exited
}

// Usage is the resource usage of a process, as totals since its start or current values.
type Usage struct {
	At             time.Time
	CPU            time.Duration
	ResidentMB     float64 // resident memory, with pages shared with other processes
	ProportionalMB float64 // proportional set size: each shared page is divided by its number of users; 0 if unavailable
	LiveHeapMB     float64 // live heap after the last garbage collection; 0 before the first one
	StorageBytes   int64   // bytes that the process caused to be written to storage, in whole pages
	WrittenBytes   int64   // bytes passed to write calls on files and sockets, without the process's log
	WriteCalls     int64
	StateBytes     int64 // total size of the files in the state directory
	Descriptors    int
}

// Usage returns the current resource usage; it fails if the process has exited.
func (p *Process) Usage() (Usage, error) {
	select {
	case <-p.exited:
		return Usage{}, fmt.Errorf("relay process has exited; last log line: %s", p.LastLine())
	default:
	}
	usage, err := UsageOf(p.PID())
	if err != nil {
		return usage, err
	}
	p.mu.Lock()
	usage.LiveHeapMB = p.liveMB
	usage.WrittenBytes -= p.logBytes
	p.mu.Unlock()
	usage.StateBytes = folderBytes(p.state)
	return usage, nil
}

// folderBytes returns the total size of the files under a directory.
func folderBytes(dir string) (sum int64) {
	_ = filepath.WalkDir(dir, func(_ string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			sum += info.Size()
		}
		return nil
	})
	return sum
}

// ErrExited is returned when a relay process exits while it is still needed.
var ErrExited = errors.New("the relay's process ended")
