package relay

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/config"
	"milletsail/internal/relay/listener"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/notifier"
	"milletsail/internal/relay/socket"
)

// patience is how long a client may be silent in the middle of a request before it counts as stalled: some take 2 s
// to write one, and write on all the while.
const patience = 500 * time.Millisecond

// fixedRoom is for what a process has open whatever its load: files, listeners, discovery, operators, the runtime.
const fixedRoom = 22 + notifier.MaxSinglePosts

// minShare of the room for clients' connections is left to a new process while the one before has the rest.
const minShare = 0.25

// gate bounds the connections of clients, those that the process before still has included. With all places taken, a
// newcomer gets that of the connection that shows the least promise of a message, so that a crowd that never completes
// one keeps no client out.
type gate struct {
	net.Listener
	room   int
	waited func() time.Duration // of the connection that was accepted last, for want of an accept; nil for never

	mu      sync.Mutex
	changed sync.Cond
	open    map[*client]bool // connections of this process
	lent    int              // of the process before
	closed  bool
}

// openGate takes clients' connections at the socket that the platform holds, where it says so, else at the address
// that the configuration names.
func openGate(c *config.Config, reasons *metrics.ReasonCounters) (*gate, error) {
	l, err := listener.Listen("clients", func() (net.Listener, error) { return listen(c) })
	if err != nil {
		return nil, err
	}
	accepts := listener.New(l, "clients", reasons)
	g := &gate{Listener: accepts, waited: accepts.QueueDelay, room: clientRoom(c.Limits.Sockets, c.Policy.Slots), open: map[*client]bool{}}
	g.changed.L = &g.mu
	return g, nil
}

// clientRoom is how many connections of clients fit beside what else needs descriptors, the calls of all slots and
// another process in a takeover included, but no fewer than the platform lets clients use.
func clientRoom(sockets, slots int) int {
	rest := sockets - int(hostShare*float64(sockets)) - slots - 2*fixedRoom
	return max(1, sockets/3, min(int(clientShare*float64(sockets)), rest))
}

func listen(c *config.Config) (net.Listener, error) {
	if c.InheritedSocket == "" {
		return net.Listen("tcp", c.Listen)
	}
	fd, err := strconv.Atoi(c.InheritedSocket)
	if err != nil {
		return nil, fmt.Errorf("inherited socket: %w", err)
	}
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, errors.New("inherited socket: no descriptor " + c.InheritedSocket)
	}
	defer f.Close()
	return net.FileListener(f)
}

// Accept waits for a client, and for a place for it.
func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil { // closed
		return nil, err
	}
	c := &client{Conn: conn, gate: g, heard: clock.Now(), accepted: clock.Now()}
	if g.waited != nil {
		c.waited = min(g.waited(), readTime-patience)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.open) >= max(g.room-g.lent, int(minShare*float64(g.room)), 1) && !g.closed {
		if worst := g.leastPromise(clock.Now()); worst != nil && worst.stage == waiting && socket.HasUnread(worst.Conn) {
			// Its request is here, and only the goroutine that reads it has not come to it.
			worst.stage, worst.heard = reading, clock.Now()
			continue
		} else if worst != nil {
			worst.closed = true
			delete(g.open, worst)
			_ = worst.Conn.Close()
			break
		}
		// None may go now: one that is silent may in a moment.
		retry := time.AfterFunc(patience, g.changed.Broadcast)
		g.changed.Wait()
		retry.Stop()
	}
	g.open[c] = true
	return c, nil
}

// leastPromise is the connection to close for a newcomer: one that has sent nothing before one whose last answer is out,
// this before one that stopped in the middle of a request, and of these the one silent longest. One with a request that
// waits for its answer stays, and so does one that was heard of within the patience that a request at an honest pace
// needs, or whose answer may still be on its way.
func (g *gate) leastPromise(now instant.Time) (worst *client) {
	for c := range g.open {
		if silent := now.Sub(c.heard); c.stage == answerDue || c.stage == reading && silent < patience || c.stage == lingering && silent < lingerLeast {
			continue
		}
		if worst == nil || c.stage < worst.stage || c.stage == worst.stage && c.heard < worst.heard {
			worst = c
		}
	}
	return worst
}

// Close stops taking clients. The socket itself stays open where the platform or another process has it too.
func (g *gate) Close() error {
	g.mu.Lock()
	g.closed = true
	g.changed.Broadcast()
	g.mu.Unlock()
	return g.Listener.Close()
}

// lend says how many connections of clients the process before has.
func (g *gate) lend(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lent = n
	g.changed.Broadcast()
}

// clients is how many connections are open.
func (g *gate) clients() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open)
}

// busy tells whether a request is being read or waits for its answer on some connection.
func (g *gate) busy() bool { return g.any(func(c *client) bool { return c.stage >= reading }) }

// any tells whether some connection is such.
func (g *gate) any(such func(*client) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.open {
		if such(c) {
			return true
		}
	}
	return false
}
