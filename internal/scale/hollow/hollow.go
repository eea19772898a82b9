// Package hollow runs many simulated relays, called hollow relays, in one process. Each has the fleet service of a
// real relay and a UDP socket of its own, but no clients, journal, list or decision module.
//
// The process reads commands as lines of JSON from its standard input and writes events as lines of JSON to its
// standard output. It exits when its input ends.
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

// Config is the first line of the input. It describes the fleet and the hollow relays of this process.
type Config struct {
	First  int      `json:"first"`  // fleet-wide number of the first hollow relay of this process
	Listen []string `json:"listen"` // UDP address of each hollow relay of this process
	Size   int      `json:"size"`   // number of relays in the whole fleet
	Zones  int      `json:"zones"`
	Peers  []string `json:"peers"` // UDP address of each relay of the fleet, from which its datagrams come
	All    string   `json:"all"`   // address from which a datagram reaches all relays
	Seed   uint64   `json:"seed"`
}

// Command is a line of the input after the first. Do is the kind of command; Relay and Key are its operands.
type Command struct {
	Do    string `json:"do"`
	Relay int    `json:"relay"`
	Key   string `json:"key,omitempty"`
}

// The kinds of command.
const (
	Share = "share" // Relay broadcasts the fact that destination Key is closed
	Stop  = "stop"  // Relay stops without notifying its peers
	Watch = "watch" // report when each relay of the process drops Relay
	Count = "count" // report how many datagrams were sent and received
)

// Event is a line of the output. What is the kind of event; Relay and Key say what it is about.
type Event struct {
	What  string `json:"what"`
	Relay int    `json:"relay"`
	Key   string `json:"key,omitempty"`
	At    int64  `json:"at"` // time of the event, in nanoseconds since 1970
	Traffic
}

// The kinds of event.
const (
	Ready   = "ready"   // all relays of the process run
	Learned = "learned" // Relay has received the fact about destination Key
	Dropped = "dropped" // Relay no longer counts the watched relay as alive
	Counted = "counted"
)

// Traffic counts datagrams and their bytes, as totals over the relays of a process. A broadcast counts once as sent.
type Traffic struct {
	Sent          int64 `json:"sent,omitempty"`
	SentBytes     int64 `json:"sent_bytes,omitempty"`
	Received      int64 `json:"received,omitempty"`
	ReceivedBytes int64 `json:"received_bytes,omitempty"`
}

const (
	// maxDatagram is the largest datagram of the fleet protocol, in bytes.
	maxDatagram = 256
	// pollInterval is the interval at which Watch checks whether relays have dropped the watched one.
	pollInterval = 250 * time.Millisecond
	// closedForMS is the time in milliseconds for which a shared fact declares its destination closed.
	closedForMS = 2000
	// version is the software version that hollow relays announce.
	version = "hollow"
)

// group holds the hollow relays of one process.
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

// relay is one hollow relay; no is its fleet-wide number.
type relay struct {
	group   *group
	no      int
	conn    *net.UDPConn
	service *live.Service
	stop    context.CancelFunc

	mu       sync.Mutex
	reported map[int]bool // destinations for which Learned has been emitted
}

// Run reads the configuration from in, starts the hollow relays and executes commands until in ends or ctx is
// cancelled. It writes events to out.
func Run(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lines := bufio.NewReader(in)
	g := &group{number: map[netip.AddrPort]int{}, out: json.NewEncoder(out)}
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("read configuration of hollow relays: %w", err)
	}
	if err := json.Unmarshal(first, &g.config); err != nil {
		return fmt.Errorf("decode configuration of hollow relays: %w", err)
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
			return fmt.Errorf("decode command to hollow relays: %w", err)
		}
		g.execute(ctx, c)
	}
}

// open parses the addresses of the configuration and starts the relays.
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

// start starts one hollow relay at a UDP address.
func (g *group) start(ctx context.Context, no int, address string) (*relay, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	r := &relay{group: g, no: no, conn: conn, reported: map[int]bool{}}
	r.service = live.New(live.Options{Incarnation: uint32(clock.ReadWall().Seconds()), Self: no, Size: g.config.Size, Version: version, Zone: no % max(1, g.config.Zones),
		Seed: g.config.Seed + uint64(no), Send: r.send, OnAssessment: r.onAssessment, OnFact: func(fleet.Fact, time.Duration) {}})
	running, stop := context.WithCancel(ctx)
	r.stop = stop
	go r.service.Run(running)
	go r.receive()
	return r, nil
}

// end stops the relay without notifying its peers.
func (r *relay) end() {
	r.stop()
	_ = r.conn.Close()
}

// send sends a datagram to one relay, or to all if to is fleet.AllRelays.
func (r *relay) send(to int, datagram []byte) {
	address := r.group.all
	if to != fleet.AllRelays {
		address = r.group.peers[to]
	}
	if _, err := r.conn.WriteToUDPAddrPort(datagram, address); err != nil {
		return // a datagram that can't be sent counts as lost
	}
	r.group.sent.Add(1)
	r.group.sentBytes.Add(int64(len(datagram)))
}

// receive passes datagrams from known relays to the fleet service until the socket is closed.
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

// onAssessment emits Learned when the relay first knows that a destination is closed.
func (r *relay) onAssessment(s live.PeerAssessment) {
	if s.Dest < 0 || s.Observers == 0 {
		return
	}
	r.mu.Lock()
	fresh := !r.reported[s.Dest]
	r.reported[s.Dest] = true
	r.mu.Unlock()
	if fresh {
		r.group.emit(Event{What: Learned, Relay: r.no, Key: fmt.Sprint(s.Dest)})
	}
}

// emit writes an event to the output. A failed write is ignored: the reader has gone.
func (g *group) emit(e Event) {
	e.At = time.Now().UnixNano()
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.out.Encode(e)
}

// find returns the relay of this process with a fleet-wide number, or nil.
func (g *group) find(no int) *relay {
	if i := no - g.config.First; i >= 0 && i < len(g.relays) {
		return g.relays[i]
	}
	return nil
}

// execute runs a command.
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

// watch emits Dropped for each relay of this process once it no longer counts another relay as alive.
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
