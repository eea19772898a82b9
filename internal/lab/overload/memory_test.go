package overload

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"milletsail/review/stand"
)

const (
	// crowdSize is the number of peers of a crowd, which come within crowdTime.
	crowdSize = 1200
	crowdTime = 1500 * time.Millisecond
	// clientTime is how long proper clients hand in messages, one each clientInterval.
	clientTime     = 7 * time.Second
	clientInterval = 50 * time.Millisecond
	// crowdAfter is when the crowd comes.
	crowdAfter = 2 * time.Second
	// smallServedShare is the share of small messages that has to be accepted beside a crowd.
	smallServedShare = 0.9
	// otherServedShare is that of large messages and of those that take long to write.
	otherServedShare = 0.5
)

// memoryCases are the limits beside which crowds are played: those of the operators' pages and halves of them.
var memoryCases = []stand.Limits{
	{MemoryMB: 32, Sockets: 1024},
	{MemoryMB: 32, Sockets: 256},
	{MemoryMB: 64, Sockets: 512},
	{MemoryMB: 192, Sockets: 1024},
	{MemoryMB: 16, Sockets: 512},
	{MemoryMB: 16, Sockets: 128},
}

// allCrowds makes TestCrowdWithinMemoryLimit play each form beside all limits.
var allCrowds = flag.Bool("all-crowds", false, "play each form of a crowd beside all limits, not beside two")

// TestCrowdWithinMemoryLimit guards against a relay that passes its memory limit, leaves peers without an error or close, or no
// longer serves clients, beside a crowd of unfinished requests.
func TestCrowdWithinMemoryLimit(t *testing.T) {
	for i, limits := range memoryCases {
		for j, f := range forms {
			if !*allCrowds && i != j%len(memoryCases) && i != 0 {
				continue
			}
			t.Run(fmt.Sprintf("%d MB, %d descriptors, %s", limits.MemoryMB, limits.Sockets, f.name), func(t *testing.T) {
				t.Parallel()
				playCrowd(t, limits, func(int) form { return f })
			})
		}
	}
}

// playCrowd plays a crowd beside proper clients, and checks the relay's memory, the crowd's errors and the service.
func playCrowd(t *testing.T, limits stand.Limits, shape func(i int) form) {
	t.Helper()
	b := startBed(t, limits)
	watch := watchMemory(b)
	proper := &clients{bed: b}
	var all crowd
	proper.pending.Go(func() { proper.run(clientTime, clientInterval) })
	time.Sleep(crowdAfter)
	all.start(b.Relay.Listen, shape, crowdSize, crowdTime)
	all.peers.Wait()
	proper.pending.Wait()
	most := watch.end()
	t.Logf("memory %v of %d MB; peers ended %d, late %d, left alone %d, refused %d; small: %v; large: %v; slow: %v", most, limits.MemoryMB,
		all.ended, all.late, all.left, all.refused, proper.small, proper.large, proper.slow)
	if b.Crashed() {
		t.Errorf("the relay ended by itself: %v", b.Process.Err)
	}
	checkMemory(t, most, limits)
	if all.late+all.left > 0 {
		t.Errorf("%d peers got no error or close within %v", all.late+all.left, errorDeadline)
	}
	checkServed(t, "small", proper.small, smallServedShare)
	checkServed(t, "large", proper.large, otherServedShare)
	checkServed(t, "slow", proper.slow, otherServedShare)
}

// checkMemory checks a usage against the limit.
func checkMemory(t *testing.T, most usage, limits stand.Limits) {
	t.Helper()
	if float64(most.limited()) > float64(limits.MemoryMB)*bytesPerMB {
		t.Errorf("the relay used %v of %d MB", most, limits.MemoryMB)
	}
}

// checkServed checks that a share of the messages of a kind was accepted.
func checkServed(t *testing.T, kind string, r result, share float64) {
	t.Helper()
	if float64(r.accepted) < share*float64(r.sent) {
		t.Errorf("%s messages: %v; at least %.0f%% have to be accepted", kind, r, 100*share)
	}
}

const (
	// largeClients is the number of clients that hand in large messages one after another.
	largeClients = 600
	// largeClientTime is how long they do so.
	largeClientTime = 10 * time.Second
	// properBody is the size of their messages.
	properBody = 60 << 10
)

// TestLargeMessagesWithinMemoryLimit guards against a relay that passes its memory limit by proper messages alone: many clients hand
// in large ones without a pause, also to a relay that has just been killed and started again.
func TestLargeMessagesWithinMemoryLimit(t *testing.T) {
	for _, limits := range []stand.Limits{{MemoryMB: 32, Sockets: 1024}, {MemoryMB: 16, Sockets: 512}, {MemoryMB: 192, Sockets: 1024}} {
		t.Run(fmt.Sprintf("%d MB, %d descriptors", limits.MemoryMB, limits.Sockets), func(t *testing.T) {
			t.Parallel()
			b := startBed(t, limits)
			watch := watchMemory(b)
			proper := &clients{bed: b}
			end := time.Now().Add(largeClientTime)
			for i := range largeClients {
				proper.pending.Go(func() {
					for n := 0; time.Now().Before(end); n++ {
						proper.sendWithRetries(&proper.large, fmt.Sprintf("large%d-%d", i, n), strings.Repeat("b", properBody))
						time.Sleep(retryWait)
					}
				})
			}
			time.Sleep(largeClientTime / 2)
			b.Process.Kill()
			time.Sleep(startAfterKill)
			if err := b.startProcess(); err != nil {
				t.Fatal(err)
			}
			watch.follow(b.Process.Process.Pid)
			proper.pending.Wait()
			most := watch.end()
			t.Logf("memory %v of %d MB; large: %v", most, limits.MemoryMB, proper.large)
			checkMemory(t, most, limits)
			if b.Crashed() {
				t.Errorf("the relay ended by itself: %v", b.Process.Err)
			}
			if proper.large.accepted == 0 {
				t.Error("no large message was accepted")
			}
		})
	}
}
