package rollout

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"milletsail/internal/compat"
)

// fake runs no process: it notes which program is in service, and serves figures by it.
type fake struct {
	mu      sync.Mutex
	program string
	changes int
	begun   time.Time
	broken  string // a program that does not start
	hangs   chan bool
	left    []string // zones
}

func (f *fake) Update(ctx context.Context, program string) error {
	if f.hangs != nil {
		select {
		case <-f.hangs:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes++
	if filepath.Base(program) == f.broken {
		return errors.New("it does not start")
	}
	f.program = program
	return nil
}

func (f *fake) leaves(zones ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left = zones
}

func (f *fake) Metrics() (Metrics, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := int64(time.Since(f.begun) / time.Millisecond)
	return Metrics{Outcomes: map[string][3]int64{"a": {n, 0, 0}}, Pending: 30, MemoryMB: 10, EvacuatedZones: f.left}, nil
}

// park is agents of relays with a fake each, and a plan over them.
type park struct {
	dir      string
	old, new string // files
	fakes    []*fake
	servers  []*Server
	plan     *Plan
	formats  map[string]compat.FormatVersions // what programs report, by their content; the others report the same
}

// both is what a version reports if formats has no entry for it.
var both = compat.FormatVersions{Journal: compat.Format{Writes: 2, Reads: []int{1, 2}}, Gossip: compat.Format{Writes: 1, Reads: []int{1}}}

// askFormats replaces compat.Ask.
func (p *park) askFormats(_ context.Context, program string) (compat.FormatVersions, error) {
	text, err := os.ReadFile(program)
	if err != nil {
		return compat.FormatVersions{}, err
	}
	if f, ok := p.formats[string(text)]; ok {
		if f.Journal.Writes == 0 {
			return f, errors.New("it does not say")
		}
		return f, nil
	}
	return both, nil
}

func newPark(t *testing.T, relays int) *park {
	t.Helper()
	p := &park{dir: t.TempDir(), plan: ptr(defaults())}
	for _, name := range []string{"old", "new"} {
		if err := os.WriteFile(filepath.Join(p.dir, name), []byte("program "+name), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	p.old, p.new = filepath.Join(p.dir, "old"), filepath.Join(p.dir, "new")
	p.plan.Version, p.plan.BakeTime, p.plan.MaxBakeTime = p.new, Duration(100*time.Millisecond), Duration(20*time.Second)
	p.plan.Gate.Interval = Duration(20 * time.Millisecond)
	p.plan.Stages = []Stage{{Relays: 1}, {Share: 1}}
	for i := range relays {
		f := &fake{begun: time.Now(), program: p.old}
		s, err := NewServer(i, filepath.Join(p.dir, fmt.Sprint("agent", i)), p.old, f)
		if err != nil {
			t.Fatal(err)
		}
		s.queryFormats = p.askFormats
		address, err := s.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		p.fakes, p.servers = append(p.fakes, f), append(p.servers, s)
		p.plan.Agents = append(p.plan.Agents, Agent{Relay: i, Zone: string(rune('a' + i%2)), Address: address})
	}
	return p
}

func ptr[T any](v T) *T { return &v }

func (p *park) running(t *testing.T, program string) (n int) {
	t.Helper()
	sum, err := Checksum(program)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range p.fakes {
		f.mu.Lock()
		if have, err := Checksum(f.program); err == nil && have == sum {
			n++
		}
		f.mu.Unlock()
	}
	return n
}

func run(t *testing.T, c *Controller) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return c.Run(ctx)
}

// A good version reaches all relays, and is taken back from all when that is ordered.
func TestRolloutAndBack(t *testing.T) {
	p := newPark(t, 6)
	dir := filepath.Join(p.dir, "state")
	c, err := Start(context.Background(), dir, p.plan)
	if err != nil {
		t.Fatal(err)
	}
	if err := run(t, c); err != nil || c.State().Phase != Done || p.running(t, p.new) != 6 {
		t.Fatalf("%v, %+v, %d on the new version", err, c.State(), p.running(t, p.new))
	}
	if err := c.HandleOrder(Order{Action: OrderRollback}); err != nil {
		t.Fatal(err)
	}
	if err := run(t, c); err != nil || c.State().Phase != RolledBack || p.running(t, p.old) != 6 {
		t.Fatalf("%v, %+v, %d on the old version", err, c.State(), p.running(t, p.old))
	}
	for i, f := range p.fakes {
		if f.changes != 2 {
			t.Errorf("relay %d was changed %d times", i, f.changes)
		}
	}
}

// A version that can't read the old one's journals, one whose journals the old one can't read, and one that does not report
// its formats are refused before any relay is changed; the last two are accepted if the plan is one-way.
func TestFormatsAreComparedFirst(t *testing.T) {
	newer := compat.FormatVersions{Journal: compat.Format{Writes: 3, Reads: []int{2, 3}}, Gossip: both.Gossip}
	deaf := compat.FormatVersions{Journal: compat.Format{Writes: 3, Reads: []int{3}}, Gossip: both.Gossip}
	mute := compat.FormatVersions{Journal: both.Journal, Gossip: compat.Format{Writes: 2, Reads: []int{2}}}
	for _, c := range []struct {
		name        string
		says        compat.FormatVersions
		oneWay, may bool
	}{
		{"newer journals", newer, false, false}, {"newer journals, one way", newer, true, true},
		{"does not read the old ones", deaf, false, false}, {"does not read the old ones, one way", deaf, true, false},
		{"does not say", compat.FormatVersions{}, false, false}, {"does not say, one way", compat.FormatVersions{}, true, true},
		{"other notes", mute, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPark(t, 3)
			p.formats = map[string]compat.FormatVersions{"program new": c.says}
			p.plan.AllowNoRollback = c.oneWay
			ctl, err := Start(context.Background(), filepath.Join(p.dir, "state"), p.plan)
			if c.may != (err == nil) {
				t.Fatalf("begun: %v", err)
			}
			if err == nil {
				_ = ctl.Close()
			}
			for i, f := range p.fakes {
				if f.changes > 0 {
					t.Errorf("relay %d was changed", i)
				}
			}
		})
	}
}

// A rollout pauses, with its reason, where the fleet leaves a zone, and not where one relay of many does; it goes on when
// that is ordered.
func TestPausesForAZone(t *testing.T) {
	p := newPark(t, 12)
	c, err := Start(context.Background(), filepath.Join(p.dir, "state"), p.plan)
	if err != nil {
		t.Fatal(err)
	}
	p.fakes[11].leaves("b")
	p.fakes[10].leaves("b")
	if err := run(t, c); err != nil || c.State().Phase != Paused || p.running(t, p.old) != 12 {
		t.Fatalf("%v, %+v", err, c.State())
	}
	p.fakes[10].leaves() // one alone may err
	if err := c.HandleOrder(Order{Action: OrderResume}); err != nil {
		t.Fatal(err)
	}
	if err := run(t, c); err != nil || c.State().Phase != Done {
		t.Fatalf("%v, %+v", err, c.State())
	}
}

// A version that does not start on a relay is stopped there, and nothing further changes.
func TestStopsWhereItDoesNotStart(t *testing.T) {
	p := newPark(t, 6)
	sum, _ := Checksum(p.new)
	for _, f := range p.fakes {
		f.broken = sum
	}
	c, err := Start(context.Background(), filepath.Join(p.dir, "state"), p.plan)
	if err != nil {
		t.Fatal(err)
	}
	if err := run(t, c); err != nil || c.State().Phase != Stopped || p.running(t, p.old) != 6 {
		t.Fatalf("%v, %+v", err, c.State())
	}
	changes := 0
	for _, f := range p.fakes {
		changes += f.changes
	}
	if changes != 1 {
		t.Errorf("%d relays were tried", changes)
	}
}

// A controller that ends at any step is followed by one that ends the rollout; the first one, if it wakes, is not obeyed.
func TestTakeover(t *testing.T) {
	for steps := 1; steps < 12; steps += 2 {
		p := newPark(t, 4)
		p.plan.Stages = []Stage{{Share: 1}}
		p.plan.BakeTime = 0
		dir := filepath.Join(p.dir, "state")
		first, err := Start(context.Background(), dir, p.plan)
		if err != nil {
			t.Fatal(err)
		}
		for range steps {
			if err := first.step(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := Open(dir, false); !errors.Is(err, ErrLeaseHeld) {
			t.Fatalf("a second controller beside the first: %v", err)
		}
		begun := time.Now()
		second, err := Open(dir, true)
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begun); took > time.Second {
			t.Errorf("back at work after %v", took)
		}
		if err := run(t, second); err != nil || p.running(t, p.new) != 4 {
			t.Fatalf("after %d steps: %v, %+v", steps, err, second.State())
		}
		if first.State().Phase == Running {
			if err := first.step(context.Background()); !errors.Is(err, ErrSuperseded) {
				t.Errorf("the first one goes on: %v", err)
			}
		}
		for i, f := range p.fakes {
			if f.changes != 1 {
				t.Errorf("after %d steps relay %d was changed %d times", steps, i, f.changes)
			}
		}
	}
}

// An agent that ends within a change makes it again with its next start.
func TestAgentEndsWithinAChange(t *testing.T) {
	p := newPark(t, 1)
	p.fakes[0].hangs = make(chan bool)
	sum, _ := Checksum(p.new)
	address := p.plan.Agents[0].Address
	for _, q := range []request{{Operation: "keep", FencingToken: 1, Checksum: sum, Path: p.new}, {Operation: "change", FencingToken: 1, Checksum: sum}} {
		if _, err := call(context.Background(), address, q); err != nil {
			t.Fatal(err)
		}
	}
	p.servers[0].Close()
	close(p.fakes[0].hangs)
	s, err := NewServer(0, filepath.Join(p.dir, "agent0"), p.old, p.fakes[0])
	if err != nil {
		t.Fatal(err)
	}
	s.work.Wait()
	s.Close()
	if p.running(t, p.new) != 1 || s.state.Version != sum || s.state.FencingToken != 1 {
		t.Errorf("%+v", s.state)
	}
}

// What an agent is asked for by an earlier controller, by a stranger, or in words it does not know, is refused.
func TestAgentRefuses(t *testing.T) {
	p := newPark(t, 1)
	address := p.plan.Agents[0].Address
	sum, _ := Checksum(p.new)
	ctx := context.Background()
	if _, err := call(ctx, address, request{Operation: "status", FencingToken: 7}); err != nil {
		t.Fatal(err)
	}
	if _, err := call(ctx, address, request{Operation: "change", FencingToken: 6, Checksum: sum}); !errors.Is(err, ErrStaleToken) {
		t.Errorf("an earlier controller: %v", err)
	}
	for _, q := range []request{{Operation: "erase", FencingToken: 7}, {Operation: "change", FencingToken: 7, Checksum: sum}, {Operation: "change", FencingToken: 7, Checksum: "../../old"},
		{Operation: "keep", FencingToken: 7, Checksum: sum, Path: p.old}, {Operation: "keep", FencingToken: 7, Checksum: sum, Path: "nothing"}} {
		if _, err := call(ctx, address, q); err == nil {
			t.Errorf("%+v is done", q)
		}
	}
	versions := filepath.Join(p.dir, "agent0", versionsName)
	if err := errors.Join(os.RemoveAll(versions), os.WriteFile(versions, nil, 0o600)); err != nil { // nothing can be written there, as on a full disk
		t.Fatal(err)
	}
	if _, err := call(ctx, address, request{Operation: "keep", FencingToken: 7, Checksum: sum, Path: p.new}); err == nil {
		t.Error("kept on a full disk")
	}
	if _, err := (&Server{}).Listen("0.0.0.0:0"); err == nil {
		t.Error("an agent listens beyond loopback")
	}
	if p.running(t, p.old) != 1 {
		t.Error("something was changed")
	}
}

// A torn last record is dropped; one that is damaged anywhere else is an error with its place.
func TestStoreDamage(t *testing.T) {
	dir := t.TempDir()
	s, err := OpenStore(dir, time.Now(), false)
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range []string{recordStarted, recordUpdating, recordUpdated} {
		if err := s.Append(Record{Kind: kind, Relay: 3}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	path := s.path(1)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		if err := os.WriteFile(path, whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		records, err := ReadStore(dir)
		if err != nil || len(records) > 2 && cut < len(whole)-1 { // the last byte ends a line that is whole without it
			t.Fatalf("cut at %d: %d records, %v", cut, len(records), err)
		}
	}
	for _, at := range []int{3, 12, len(whole) / 2} {
		spoilt := append([]byte(nil), whole...)
		spoilt[at] ^= 4
		if err := os.WriteFile(path, spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := OpenStore(dir, time.Now(), false); err == nil {
			t.Errorf("damaged at %d and read", at)
		}
	}
}

// An order that changes the plan is taken where what was done fits it; a program of another checksum does not.
func TestMayBecome(t *testing.T) {
	p := newPark(t, 4)
	s := State{Plan: p.plan, OldVersions: map[int]string{0: "x", 1: "x", 2: "x", 3: "x"}, Updated: []int{0, 1}, Stage: 1}
	s.NewVersion, _ = Checksum(p.new)
	for name, change := range map[string]func(*Plan){
		"":                  func(q *Plan) { q.BakeTime = Duration(time.Second) },
		"another program":   func(q *Plan) { q.Version = p.old },
		"a relay less":      func(q *Plan) { q.Agents = q.Agents[1:]; q.Stages = []Stage{{Relays: 1}, {Relays: 3}} },
		"fewer than so far": func(q *Plan) { q.Stages = []Stage{{Relays: 1}, {Relays: 1}, {Share: 1}} },
		"nothing":           func(q *Plan) { q.Stages = nil },
	} {
		q := *p.plan
		change(&q)
		if err := s.checkPlanChange(&q); (err == nil) != (name == "") {
			t.Errorf("%q: %v", name, err)
		}
	}
}

func TestParseCounters(t *testing.T) {
	f, err := ParseCounters("relay_downstream_requests{lane=\"a\",result=\"completed\"} 7\nrelay_downstream_requests{lane=\"a\",result=\"failed\"} 2\nrelay_pending 3\nEND\n")
	if err != nil || f.Outcomes["a"] != [3]int64{7, 0, 2} || f.Pending != 3 {
		t.Errorf("%+v, %v", f, err)
	}
	if _, err := ParseCounters("ERR unknown call\n"); err == nil {
		t.Error("an error is read as counters")
	}
}
