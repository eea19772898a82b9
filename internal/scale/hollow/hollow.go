// Package hollow runs many hollow relays in one process: each has a relay's own fleet service and a datagram socket of its
// own, and no clients, journal, list or decision module.
//
// The process takes commands as lines of JSON on its standard input, tells events as lines of JSON on its standard output,
// and ends when its input does.
package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/fleet"
	"milletsail/internal/fleet/live"
)

// Config is the first line of the input.
type Config struct {
	First  int      `json:"first"`  // number of the first hollow relay
	Listen []string `json:"listen"` // where each takes datagrams
	Size   int      `json:"size"`   // relays of the whole fleet
	Zones  int      `json:"zones"`
	Peers  []string `json:"peers"` // of all relays of the fleet
	All    string   `json:"all"`   // reaches all of them
	Seed   uint64   `json:"seed"`
}

// Command is a further line of the input.
type Command struct {
	Do    string `json:"do"`
	Relay int    `json:"relay"`
	Key   string `json:"key,omitempty"`
}

// The commands.
const (
	Share = "share" // Relay tells all that destination Key is closed
	Stop  = "stop"  // Relay ends without a word
	Watch = "watch" // say when each relay drops Relay
	Count = "count" // say how many datagrams were sent and received
)

// Event is a line of the output.
type Event struct {
	What  string `json:"what"`
	Relay int    `json:"relay"`
	Key   string `json:"key,omitempty"`
	At    int64  `json:"at"` // nanoseconds since 1970
	Traffic
}

// The events.
const (
	Ready   = "ready"   // all relays of the process run
	Learned = "learned" // Relay has the fact about Key
	Dropped = "dropped" // Relay counts the watched relay as dead
	Counted = "counted"
)

// Traffic is datagrams and their bytes, over the relays of a process. One to all counts once as sent.
type Traffic struct {
	Sent          int64 `json:"sent,omitempty"`
	SentBytes     int64 `json:"sent_bytes,omitempty"`
	Received      int64 `json:"received,omitempty"`
	ReceivedBytes int64 `json:"received_bytes,omitempty"`
}

const (
	// maxDatagram is the longest datagram of the protocol.
	maxDatagram = 256
	// pollInterval is the time between looks at whether a relay is dropped.
	pollInterval = 250 * time.Millisecond
	// closedForMS is how long a shared fact says that its destination is closed, in milliseconds.
	closedForMS = 2000
	// version is what a hollow relay says that it is.
	version = "hollow"
)

// group is the hollow relays of one process.
type group struct {
	config Config
	peers  []netip.AddrPort
	number map[netip.AddrPort]int
	all    netip.AddrPort
	relays []*relay

	sent, sentBytes, received, receivedBytes atomic.Int64

	mu  sync.Mutex
	out *json.Encoder
}

// relay is one hollow relay.
type relay struct {
	group   *group
	no      int
	conn    *net.UDPConn
	service *live.Service
	stop    context.CancelFunc

	mu   sync.Mutex
	seen map[int]bool // destinations that were reported
}

// Run runs hollow relays as the input says, until it ends or ctx does.
func Run(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lines := bufio.NewReader(in)
	g := &group{number: map[netip.AddrPort]int{}, out: json.NewEncoder(out)}
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("configuration of hollow relays: %w", err)
	}
	if err := json.Unmarshal(first, &g.config); err != nil {
		return fmt.Errorf("configuration of hollow relays: %w", err)
	}
	if err := g.open(ctx); err != nil {
		return err
	}
	defer g.close()
	g.emit(Event{What: Ready})
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil || ctx.Err() != nil {
			return nil
		}
		var c Command
		if err := json.Unmarshal(line, &c); err != nil {
			return fmt.Errorf("command to hollow relays: %w", err)
		}
		g.execute(ctx, c)
	}
}

// open reads the addresses and starts the relays.
func (g *group) open(ctx context.Context) (err error) {
	if g.all, err = netip.ParseAddrPort(g.config.All); err != nil {
		return err
	}
	for i, text := range g.config.Peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		g.peers, g.number[peer] = append(g.peers, peer), i
	}
	for i, address := range g.config.Listen {
		r, err := g.start(ctx, g.config.First+i, address)
		if err != nil {
			return err
		}
		g.relays = append(g.relays, r)
	}
	return nil
}

func (g *group) close() {
	for _, r := range g.relays {
		r.end()
	}
}

// start starts one relay.
func (g *group) start(ctx context.Context, no int, address string) (*relay, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	r := &relay{group: g, no: no, conn: conn, seen: map[int]bool{}}
	r.service = live.New(live.Options{Incarnation: uint32(clock.ReadWall().Seconds()), Self: no, Size: g.config.Size, Version: version, Zone: no % max(1, g.config.Zones),
		Seed: g.config.Seed + uint64(no), Send: r.send, OnAssessment: r.onAssessment, OnFact: func(fleet.Fact, time.Duration) {}})
	running, stop := context.WithCancel(ctx)
	r.stop = stop
	go r.service.Run(running)
	go r.receive()
	return r, nil
}

// end ends a relay without a word.
func (r *relay) end() {
	r.stop()
	_ = r.conn.Close()
}

// send sends a datagram to a relay, or to all.
func (r *relay) send(to int, datagram []byte) {
	address := r.group.all
	if to != fleet.Everyone {
		address = r.group.peers[to]
	}
	if _, err := r.conn.WriteToUDPAddrPort(datagram, address); err != nil {
		return // lost, as datagrams may be
	}
	r.group.sent.Add(1)
	r.group.sentBytes.Add(int64(len(datagram)))
}

// receive takes datagrams until the relay ends.
func (r *relay) receive() {
	buffer := make([]byte, maxDatagram+1)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		no, known := r.group.number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if n == 0 || n > maxDatagram || !known {
			continue
		}
		r.group.received.Add(1)
		r.group.receivedBytes.Add(int64(n))
		if datagram := slices.Clone(buffer[:n]); r.service.Accepts(datagram) {
			r.service.Receive(no, datagram)
		}
	}
}

// onAssessment reports the first time that the relay knows of a closed destination.
func (r *relay) onAssessment(s live.PeerAssessment) {
	if s.Dest < 0 || s.Observers == 0 {
		return
	}
	r.mu.Lock()
	fresh := !r.seen[s.Dest]
	r.seen[s.Dest] = true
	r.mu.Unlock()
	if fresh {
		r.group.emit(Event{What: Learned, Relay: r.no, Key: fmt.Sprint(s.Dest)})
	}
}

// emit writes an event; one that can't be written has no reader any more.
func (g *group) emit(e Event) {
	e.At = time.Now().UnixNano()
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.out.Encode(e)
}

// find gives a relay of this process by its number.
func (g *group) find(no int) *relay {
	if i := no - g.config.First; i >= 0 && i < len(g.relays) {
		return g.relays[i]
	}
	return nil
}

// execute carries out a command.
func (g *group) execute(ctx context.Context, c Command) {
	switch c.Do {
	case Share:
		if r := g.find(c.Relay); r != nil {
			r.service.Observe(fleet.KindDestinationClosed, c.Key, closedForMS, false, 0)
		}
	case Stop:
		if r := g.find(c.Relay); r != nil {
			r.end()
		}
	case Watch:
		go g.watch(ctx, c.Relay)
	case Count:
		g.emit(Event{What: Counted, Traffic: Traffic{g.sent.Load(), g.sentBytes.Load(), g.received.Load(), g.receivedBytes.Load()}})
	}
}

// watch reports when each relay of this process drops another.
func (g *group) watch(ctx context.Context, other int) {
	left := slices.DeleteFunc(slices.Clone(g.relays), func(r *relay) bool { return r.no == other })
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for len(left) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		left = slices.DeleteFunc(left, func(r *relay) bool {
			if _, counts := slices.BinarySearch(r.service.LiveRelays(), other); counts {
				return false
			}
			g.emit(Event{What: Dropped, Relay: r.no})
			return true
		})
	}
}
