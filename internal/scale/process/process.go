// Package process runs relays of any version for the scale run, and reads what they use from the system's accounts.
//
// It promises that it signals only processes that it started, by their ids, and that none of them outlives this program:
// the kernel kills them when the thread that started them is gone.
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

// Options say how a relay is started.
type Options struct {
	Binary string
	Args   []string
	Dir    string   // working folder
	Config string   // configuration file
	State  string   // folder that outlasts the process
	Env    []string // added to the environment
	// Stdin and Stdout are the process's; nil for none. The caller closes its copies.
	Stdin, Stdout *os.File
}

// Process is one process of a relay. All methods may be called from any goroutine.
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

// gcTrace has the Go runtime report each garbage collection on standard error.
const gcTrace = "GODEBUG=gctrace=1"

// collection finds the live heap, in MB, in a line of a collection's report: "gc 7 @1.2s 3%: ... 8->9->4 MB, ...".
var collection = regexp.MustCompile(`^gc \d+ @.* \d+->\d+->(\d+) MB`)

// maxLogLines of a process's log are kept for messages of errors.
const maxLogLines = 20

// Start starts a process.
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
	starts      = make(chan func())
	starterOnce sync.Once
)

// startOnPermanentThread starts a command from a thread that lasts as long as this program, since the command's process
// is killed when that thread ends.
func startOnPermanentThread(command *exec.Cmd) error {
	starterOnce.Do(func() {
		go func() {
			runtime.LockOSThread()
			for start := range starts {
				start()
			}
		}()
	})
	result := make(chan error)
	starts <- func() { result <- command.Start() }
	return <-result
}

// readLog keeps the last lines of the log and the figures of collections, until the process ends.
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
	if match := collection.FindStringSubmatch(line); match != nil {
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

// PID is the id of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Started is when it was started.
func (p *Process) Started() time.Time { return p.begun }

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// LastLine is the last line of its log.
func (p *Process) LastLine() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lastLines) == 0 {
		return ""
	}
	return p.lastLines[len(p.lastLines)-1]
}

// Find gives the latest of the last lines of its log that matches, or an empty text.
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

// End signals the process to end, and kills it where it has not after a time.
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

// Usage is what a process has used up to a moment.
type Usage struct {
	At             time.Time
	CPU            time.Duration
	ResidentMB     float64 // with pages that it shares with others
	ProportionalMB float64 // shared pages divided by those that share them; 0 where the system does not say
	LiveHeapMB     float64 // that the last garbage collection found reachable; 0 before the first
	StorageBytes   int64   // that it caused to be written to storage, in pages
	WrittenBytes   int64   // by its write calls, to files and sockets, less its log
	WriteCalls     int64
	StateBytes     int64 // of the files in its folder
	Descriptors    int
}

// Usage reads the system's accounts.
func (p *Process) Usage() (Usage, error) {
	select {
	case <-p.exited:
		return Usage{}, fmt.Errorf("the process has ended: %s", p.LastLine())
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

// folderBytes sums up the sizes of the files under a folder.
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

// ErrExited says that a process ended that should go on.
var ErrExited = errors.New("the relay's process ended")
