package overload

import (
	"bufio"
	"context"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"milletsail/review/stand"
)

const (
	// bytesPerMB converts memory_mb to bytes.
	bytesPerMB = 1e6
	// memoryInterval is the time between two readings of a relay's memory.
	memoryInterval = 5 * time.Millisecond
	// messageTimeout is the time for which a message may be delivered.
	messageTimeout = 5 * time.Second
	// destinations is the number of destinations, with one endpoint each.
	destinations = 3
	// heldPrefix begins the ids of messages whose calls endpoints answer only after heldTime.
	heldPrefix = "held"
	heldTime   = 300 * time.Millisecond
	// logTimeout bounds the wait for a line in the relay's log.
	logTimeout = 10 * time.Second
)

// The classes of the settings.
const (
	keyedClass   = "cobro"
	fragileClass = "tramite"
)

// deployFile is the deploy file of the tests' root folder.
const deployFile = `run = "exec bin/relay"`

// root is a folder with the relay's program and a deploy file that names it.
var root string

// TestMain builds the relay without the race detector, whose memory would hide the relay's own.
func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "overload-test-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		root = dir
		if err := buildRelay(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return m.Run()
	}())
}

// buildRelay builds the relay as deploy/balancer.toml does, or links to the one that OVERLOAD_RELAY names.
func buildRelay(dir string) error {
	for _, folder := range []string{"bin", "deploy"} {
		if err := os.Mkdir(filepath.Join(dir, folder), 0o755); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "deploy", "balancer.toml"), []byte(deployFile+"\n"), 0o600); err != nil {
		return err
	}
	path := filepath.Join(dir, "bin", "relay")
	if other := os.Getenv("OVERLOAD_RELAY"); other != "" {
		return os.Symlink(other, path)
	}
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "milletsail/cmd/relay")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build the relay: %w: %s", err, out)
	}
	return nil
}

// bed is a relay process with its stand-ins.
type bed struct {
	*stand.Bed
	t         testing.TB
	dir       string
	endpoints []*stand.Endpoint

	mu        sync.Mutex
	delivered map[string]int // calls at endpoints, by message id
}

// bedOption changes how startBed starts a relay.
type bedOption int

// withInheritedSocket makes the platform hold the relay's listening socket, which all its processes inherit.
const withInheritedSocket bedOption = 1

// startBed starts a relay with the given limits and its stand-ins, and ends them with the test. A failed test prints the end of
// the relay's log.
func startBed(t testing.TB, limits stand.Limits, options ...bedOption) *bed {
	t.Helper()
	b := &bed{Bed: &stand.Bed{}, t: t, dir: t.TempDir(), delivered: map[string]int{}}
	record, err := stand.NewRecord(filepath.Join(b.dir, "record"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		b.close()
		record.Close()
		if t.Failed() {
			b.printLog()
		}
	})
	if err := b.start(record, limits, slices.Contains(options, withInheritedSocket)); err != nil {
		t.Fatal(err)
	}
	return b
}

// start starts the stand-ins and the relay, and waits until it is ready.
func (b *bed) start(record *stand.Record, limits stand.Limits, inherit bool) (err error) {
	ctx := context.Background()
	var hosts []stand.Member
	for i := range destinations {
		e, err := stand.StartEndpoint(ctx, fmt.Sprintf("s-%d", i+1), b.answer)
		if err != nil {
			return err
		}
		b.endpoints = append(b.endpoints, e)
		hosts = append(hosts, stand.Member{Host: e.Name, Dial: e.Address, Site: "a", Class: "m2", Block: i + 1, Health: "SERVING", Share: 1})
	}
	if b.Platform, err = stand.StartPlatform(ctx, record, hosts); err != nil {
		return err
	}
	if b.Relay, err = stand.NewRelay(ctx, record, root, b.dir, inherit); err != nil {
		return err
	}
	b.Relay.Limits = limits
	b.Clients = &stand.Clients{Address: b.Relay.Listen}
	settings := stand.Settings([]stand.Class{
		{Name: keyedClass, Effect: "dedup", DeadlineS: messageTimeout.Seconds(), MemorySpanS: 15},
		{Name: fragileClass, Effect: "fragile", DeadlineS: messageTimeout.Seconds()}}, 27, 1)
	if err := b.Relay.WriteConfig(b.Platform.Address, b.Platform.Known(), settings); err != nil {
		return err
	}
	return b.startProcess()
}

// startProcess starts a process of the relay and waits until it is ready.
func (b *bed) startProcess() (err error) {
	if b.Process, err = b.Relay.Start(context.Background()); err != nil {
		return err
	}
	return b.Relay.WaitReady(context.Background())
}

// close ends all that start has started.
func (b *bed) close() {
	b.Bed.Close()
	for _, e := range b.endpoints {
		e.Close()
	}
}

// waitForLog waits until the relay's log has a text.
func (b *bed) waitForLog(text string) {
	b.t.Helper()
	for end := time.Now().Add(logTimeout); time.Now().Before(end); time.Sleep(memoryInterval) {
		if log, err := os.ReadFile(b.Relay.Log); err == nil && strings.Contains(string(log), text) {
			return
		}
	}
	b.t.Fatalf("the relay's log lacks %q", text)
}

// answer delivers the messages of a call, after heldTime if the first one's id begins with heldPrefix.
func (b *bed) answer(call *stand.Call) []byte {
	b.mu.Lock()
	for _, item := range call.Items {
		b.delivered[item.ID]++
	}
	b.mu.Unlock()
	if strings.HasPrefix(call.Items[0].ID, heldPrefix) {
		time.Sleep(heldTime)
	}
	return call.Delivered()
}

// calls returns how often a message reached an endpoint.
func (b *bed) calls(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.delivered[id]
}

// allCalls returns how often each message reached an endpoint.
func (b *bed) allCalls() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.delivered)
}

// printLog logs the last lines of the relay's log.
func (b *bed) printLog() {
	const lines = 20
	text, err := os.ReadFile(b.Relay.Log)
	if err != nil {
		b.t.Log(err)
		return
	}
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	b.t.Logf("end of the relay's log:\n%s", strings.Join(all[max(0, len(all)-lines):], "\n"))
}

// memoryWatch is the largest memory that a relay's processes were seen to hold.
type memoryWatch struct {
	stop chan bool
	done chan bool

	mu   sync.Mutex
	pids []int
	most usage
}

// usage is the memory of a relay in bytes.
type usage struct {
	private int64 // anonymous and shared memory of its processes
	program int64 // pages of files that its processes have mapped, such as its program
	folder  int64 // files in its state directory
}

// limited returns the part that the relay's limit is held to: the pages of its program are the platform's.
func (u usage) limited() int64 { return u.private + u.folder }

func (u usage) String() string {
	return fmt.Sprintf("%.1f MB (%.1f MB of processes, %.1f MB of the folder; mapped files %.1f MB)", float64(u.limited())/bytesPerMB,
		float64(u.private)/bytesPerMB, float64(u.folder)/bytesPerMB, float64(u.program)/bytesPerMB)
}

// watchMemory reads the memory of a relay until the returned watch is ended.
func watchMemory(b *bed) *memoryWatch {
	w := &memoryWatch{stop: make(chan bool), done: make(chan bool), pids: []int{b.Process.Process.Pid}}
	go func() {
		defer close(w.done)
		for {
			w.read(b.Relay.State)
			select {
			case <-w.stop:
				return
			case <-time.After(memoryInterval):
			}
		}
	}()
	return w
}

// follow sets the processes whose memory counts.
func (w *memoryWatch) follow(pids ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pids = pids
}

// end ends the watch and returns the largest usage.
func (w *memoryWatch) end() usage {
	close(w.stop)
	<-w.done
	return w.most
}

// read takes one reading.
func (w *memoryWatch) read(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := usage{folder: folderSize(state)}
	for _, pid := range w.pids {
		fields := statusFields(pid)
		now.private += fields["RssAnon"] + fields["RssShmem"]
		now.program += fields["RssFile"]
	}
	if now.limited() > w.most.limited() {
		w.most = now
	}
}

// statusFields returns the sizes in bytes in a process's status; empty if it has ended.
func statusFields(pid int) map[string]int64 {
	fields := map[string]int64{}
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return fields
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, text, _ := strings.Cut(lines.Text(), ":")
		if kb, found := strings.CutSuffix(strings.TrimSpace(text), " kB"); found {
			n, _ := strconv.ParseInt(kb, 10, 64)
			fields[name] = n << 10
		}
	}
	return fields
}

// folderSize returns the total size of the files below a folder.
func folderSize(dir string) (size int64) {
	_ = filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			size += info.Size()
		}
		return nil
	})
	return size
}
