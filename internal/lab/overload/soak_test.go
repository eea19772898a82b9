package overload

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletsail/review/stand"
)

var (
	// soakSeeds is the number of seeds that TestSoak plays.
	soakSeeds = flag.Int("soak-seeds", 6, "number of seeds of TestSoak")
	// soakFirst is the first seed.
	soakFirst = flag.Int("soak-first", 1, "first seed of TestSoak")
)

// The times of the operators' pages for planned restarts.
const (
	// killAfterTerm is the earliest time of SIGKILL after SIGTERM.
	killAfterTerm = 3700 * time.Millisecond
	// startAfterKill is the time from SIGKILL to the next start.
	startAfterKill = 600 * time.Millisecond
	// mostSecondKill is the latest time of the second SIGKILL of a pair after a start.
	mostSecondKill = 700 * time.Millisecond
	// reloadAfterStart is the earliest time of SIGHUP after a start.
	reloadAfterStart = time.Second
)

const (
	// soakTime is how long clients hand in messages in a run.
	soakTime = 14 * time.Second
	// diskMB is the limit of the state directory, as package stand sets it.
	diskMB = 3
	// noticeTime is how long after its deadline a message has to have its end at the latest.
	noticeTime = 2 * time.Second
)

// TestSoak guards against what single cases do not find: it draws limits, crowds, floods, clients and series of signals by seed, and
// checks that no process ends by itself, passes its memory or its disk, loses an accepted message, runs a fragile one twice, leaves
// a peer alone or no longer serves clients.
func TestSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+*soakSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playSoak(t, uint64(seed))
		})
	}
}

// soakPlan is what a run of the soak plays.
type soakPlan struct {
	limits  stand.Limits
	crowds  []crowdPlan
	flood   *flood
	inherit bool // the platform holds the listening socket, and upgrades take place
	body    int  // size of the proper clients' larger messages
	clients int  // proper clients that hand in larger messages at once
}

// crowdPlan is one crowd of a run.
type crowdPlan struct {
	at    time.Duration
	peers int
	forms []form
}

// drawPlan draws a run.
func drawPlan(random *rand.Rand) soakPlan {
	p := soakPlan{limits: stand.Limits{MemoryMB: 32 + random.IntN(161), Sockets: 256 + random.IntN(769)}, inherit: random.IntN(3) == 0,
		body: 1 + random.IntN(largestBody), clients: random.IntN(40)}
	if random.IntN(3) > 0 { // the least memory is the hardest case
		p.limits.MemoryMB = 32
	}
	if random.IntN(2) == 0 {
		for range 1 + random.IntN(3) {
			p.crowds = append(p.crowds, drawCrowd(random))
		}
		if random.IntN(2) == 0 && !p.inherit { // days with crowds may have half of the limits
			p.limits.MemoryMB, p.limits.Sockets = p.limits.MemoryMB/2, p.limits.Sockets/2
		}
	}
	if random.IntN(4) == 0 {
		p.flood = &floods[random.IntN(len(floods))]
	}
	return p
}

// drawCrowd draws a crowd of peers of up to three forms.
func drawCrowd(random *rand.Rand) crowdPlan {
	c := crowdPlan{at: time.Duration(random.Int64N(int64(soakTime - 4*time.Second))), peers: 300 + random.IntN(900)}
	for range 1 + random.IntN(3) {
		if random.IntN(2) == 0 {
			c.forms = append(c.forms, forms[random.IntN(len(forms))])
		} else {
			c.forms = append(c.forms, drawForm(random))
		}
	}
	return c
}

// drawForm draws an unfinished request.
func drawForm(random *rand.Rand) form {
	fields, fieldSize, body, missing := random.IntN(150), 1+random.IntN(300), 1+random.IntN(largestBody), 0
	if missing = 1 + random.IntN(body); random.IntN(4) == 0 {
		missing = 0 // the head lacks its end, and there is no body
	}
	return form{name: fmt.Sprintf("%d fields of %d bytes, %d of %d bytes missing", fields, fieldSize, missing, body),
		trickles: random.IntN(2) == 0, request: func(id string) string {
			head := requestHead(keyedClass, id, body) + strings.Repeat("f: "+strings.Repeat("y", fieldSize)+"\r\n", fields)
			if missing == 0 {
				return head
			}
			return head + "\r\n" + strings.Repeat("b", body-missing)
		}}
}

// soak is a run of the soak.
type soak struct {
	*bed
	t      *testing.T
	random *rand.Rand // of the goroutine that sends signals
	plan   soakPlan
	watch  *memoryWatch
	epoch  atomic.Int64 // counts signals and starts; odd while the relay is not expected to serve
	ending sync.Map     // *stand.Process that got SIGTERM or SIGKILL

	mu       sync.Mutex
	accepted map[string]time.Time // when the time of an accepted message is up, by id
	served   map[string]*result   // by the kind of message
	log      []string             // signals, for a failed run
}

// playSoak plays the run of a seed.
func playSoak(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(52, seed))
	plan := drawPlan(random)
	var options []bedOption
	if plan.inherit {
		options = append(options, withInheritedSocket)
	}
	s := &soak{bed: startBed(t, plan.limits, options...), t: t, random: random, plan: plan, accepted: map[string]time.Time{},
		served: map[string]*result{"small": {}, "large": {}, "slow": {}}}
	s.watch = watchMemory(s.bed)
	s.expectRunning(s.Process)
	var all sync.WaitGroup
	peers := crowd{epoch: &s.epoch}
	end := time.Now().Add(soakTime)
	for _, c := range plan.crowds {
		all.Go(func() {
			time.Sleep(c.at)
			peers.start(s.Relay.Listen, func(i int) form { return c.forms[i%len(c.forms)] }, c.peers, crowdTime)
		})
	}
	if plan.flood != nil {
		all.Go(func() { playFlood(s.Relay.Listen, *plan.flood, func() { time.Sleep(floodTime) }) })
	}
	all.Go(func() { s.handIn(end) })
	s.sendSignals(end)
	all.Wait()
	peers.peers.Wait()
	time.Sleep(messageTimeout + noticeTime)
	s.ending.Store(s.Process, true) // the end of the test kills it
	s.check(s.watch.end(), &peers)
}

// note records a signal for the report of a failed run.
func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// expectRunning reports an end of a process that no signal caused.
func (s *soak) expectRunning(p *stand.Process) {
	go func() {
		<-p.Done
		if _, signalled := s.ending.Load(p); !signalled {
			s.t.Errorf("process %d ended by itself: %v", p.Process.Pid, p.Err)
		} else if p.Err != nil && p.ProcessState.Exited() {
			s.t.Errorf("process %d ended after a signal with an error: %v", p.Process.Pid, p.Err)
		}
	}()
}

// sendSignals kills, restarts and upgrades the relay until the time is over, and leaves one running process.
func (s *soak) sendSignals(end time.Time) {
	for {
		time.Sleep(time.Second + time.Duration(s.random.Int64N(int64(3*time.Second))))
		if time.Now().After(end) {
			return
		}
		switch action := s.random.IntN(4); {
		case s.plan.inherit && action > 1:
			s.upgrade()
		case action == 0:
			s.terminate(s.Process)
			s.restart()
		case action == 1:
			s.kill(s.Process)
			s.restart()
			time.Sleep(time.Duration(s.random.Int64N(int64(mostSecondKill))))
			s.kill(s.Process)
			s.restart()
		default:
			s.kill(s.Process)
			s.restart()
		}
		if err := s.Relay.WaitReady(context.Background()); err != nil {
			s.t.Errorf("after signals: %v", err)
		}
		s.epoch.Store(s.epoch.Load()&^1 + 2) // even: the relay serves
	}
}

// interrupt records that the relay is not expected to serve from now on.
func (s *soak) interrupt() { s.epoch.Store(s.epoch.Load() | 1) }

// kill sends SIGKILL.
func (s *soak) kill(p *stand.Process) {
	s.interrupt()
	s.ending.Store(p, true)
	s.note("SIGKILL %d", p.Process.Pid)
	p.Kill()
}

// terminate sends a series of one to three SIGTERM, some with a SIGHUP, and SIGKILL at the earliest time after the first.
func (s *soak) terminate(p *stand.Process) {
	s.interrupt()
	s.ending.Store(p, true)
	begun := time.Now()
	for range 1 + s.random.IntN(3) {
		s.note("SIGTERM %d", p.Process.Pid)
		p.Signal(syscall.SIGTERM)
		time.Sleep(time.Duration(s.random.Int64N(int64(300 * time.Millisecond))))
		if s.random.IntN(3) == 0 {
			p.Signal(syscall.SIGHUP)
		}
	}
	time.Sleep(time.Until(begun.Add(killAfterTerm)))
	s.kill(p)
}

// restart starts a process at the time of the pages, without waiting until it is ready.
func (s *soak) restart() {
	time.Sleep(startAfterKill)
	p, err := s.Relay.Start(context.Background())
	if err != nil {
		s.t.Error(err)
		return
	}
	s.note("started %d", p.Process.Pid)
	s.Process = p
	s.watch.follow(p.Process.Pid)
	s.expectRunning(p)
}

// upgrade starts a second process beside the running one, and terminates that once the new one has taken over.
func (s *soak) upgrade() {
	previous := s.Process
	p, err := s.Relay.Start(context.Background())
	if err != nil {
		s.t.Error(err)
		return
	}
	s.note("started %d beside %d", p.Process.Pid, previous.Process.Pid)
	s.watch.follow(previous.Process.Pid, p.Process.Pid)
	s.expectRunning(p)
	time.Sleep(reloadAfterStart)
	s.Process = p
	s.terminate(previous)
	s.watch.follow(p.Process.Pid)
}

// handIn hands in messages of all kinds until the time is over: small ones of both classes, larger ones several at once, and slow ones.
func (s *soak) handIn(end time.Time) {
	proper := &clients{bed: s.bed}
	for i := 0; time.Now().Before(end); i++ {
		class, id := keyedClass, fmt.Sprintf("small%d", i)
		if i%2 == 0 {
			class = fragileClass
		}
		proper.pending.Go(func() { s.send("small", class, id, "order") })
		if i%20 == 0 {
			for j := range s.plan.clients {
				proper.pending.Go(func() { s.send("large", keyedClass, fmt.Sprintf("large%d-%d", i, j), strings.Repeat("b", s.plan.body)) })
			}
		}
		if i%5 == 0 {
			proper.pending.Go(func() { s.sendSlow(proper, fmt.Sprintf("slow%d", i)) })
		}
		if i%10 == 3 {
			proper.pending.Go(func() { s.leaveAndSend(fmt.Sprintf("left%d", i)) })
		}
		time.Sleep(clientInterval)
	}
	proper.pending.Wait()
}

// send hands in a message, and after each rejection again under a new id.
func (s *soak) send(kind, class, id, body string) {
	epoch, status := s.epoch.Load(), 0
	withRetries(func(try int) int {
		m := stand.Message{ID: fmt.Sprintf("%s-%d", id, try), Class: class, Key: id, Dest: 1 + try%destinations, Timeout: messageTimeout,
			Body: body}
		deadline := time.Now().Add(messageTimeout)
		status = s.Clients.Send(context.Background(), m)
		s.recordAccepted(m.ID, status, deadline)
		return status
	})
	s.count(kind, status, epoch)
}

// sendSlow does the same for a message that takes long to write.
func (s *soak) sendSlow(proper *clients, id string) {
	epoch, status := s.epoch.Load(), 0
	withRetries(func(try int) int {
		tryID, deadline := fmt.Sprintf("%s-%d", id, try), time.Now().Add(slowWriteTime+messageTimeout)
		status = proper.sendSlowly(tryID, 1+try%destinations)
		s.recordAccepted(tryID, status, deadline)
		return status
	})
	s.count("slow", status, epoch)
}

// leaveAndSend hands a fragile message in, leaves without the response, and hands it in again unless a signal came in between.
func (s *soak) leaveAndSend(id string) {
	epoch := s.epoch.Load()
	if epoch&1 != 0 {
		return
	}
	m := fragileMessage(id)
	if !tryLeave(s.Relay.Listen, encodeRequest(m), mostStay/2) || s.epoch.Load() != epoch {
		return
	}
	deadline := time.Now().Add(messageTimeout)
	s.recordAccepted(id, s.Clients.Send(context.Background(), m), deadline)
}

// recordAccepted records a message that the relay owes its end.
func (s *soak) recordAccepted(id string, status int, deadline time.Time) {
	if status == http.StatusAccepted || status == http.StatusOK {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.accepted[id] = deadline
	}
}

// count counts a message if the relay was expected to serve all the while.
func (s *soak) count(kind string, status int, epoch int64) {
	if epoch&1 != 0 || s.epoch.Load() != epoch {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served[kind].add(status)
}

// check checks what the run has to keep.
func (s *soak) check(most usage, peers *crowd) {
	s.t.Logf("%d MB, %d descriptors, inherited socket %v, %d crowds, flood %v; memory %v; peers ended %d, late %d, left alone %d; "+
		"accepted %d; small: %v; large: %v; slow: %v", s.plan.limits.MemoryMB, s.plan.limits.Sockets, s.plan.inherit, len(s.plan.crowds),
		s.plan.flood != nil, most, peers.ended, peers.late, peers.left, len(s.accepted), s.served["small"], s.served["large"], s.served["slow"])
	checkMemory(s.t, most, s.plan.limits)
	if float64(most.folder) > diskMB*bytesPerMB {
		s.t.Errorf("the folder holds %d bytes of %d MB", most.folder, diskMB)
	}
	if peers.late+peers.left > 0 {
		s.t.Errorf("%d peers got no error or close within %v", peers.late+peers.left, errorDeadline)
	}
	checkServed(s.t, "small", *s.served["small"], smallServedShare)
	checkServed(s.t, "slow", *s.served["slow"], otherServedShare)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.accepted {
		if _, noticed := s.Platform.Notice(id); !noticed && s.calls(id) == 0 {
			s.t.Errorf("message %s was accepted and has no end", id)
		}
	}
	for id, calls := range s.allCalls() {
		if fragile := strings.HasPrefix(id, "left") || strings.HasPrefix(id, "small") && s.isFragile(id); fragile && calls > 1 {
			s.t.Errorf("message %s, which may not be repeated, reached endpoints %d times", id, calls)
		}
	}
	if s.t.Failed() {
		s.t.Logf("signals:\n%s", strings.Join(s.log, "\n"))
	}
}

// isFragile reports whether a small message, whose id is smallN-TRY, is of the fragile class.
func (s *soak) isFragile(id string) bool {
	var n, try int
	_, err := fmt.Sscanf(id, "small%d-%d", &n, &try)
	return err == nil && n%2 == 0
}
