// Package platform simulates all that relays communicate with except the clients: discovery, the endpoints of the
// destinations, the receiver of notifications, and the network between relays. It follows the published
// protocol alone, and runs in the lab's process on its own loopback addresses.
//
// Each pair of relay and endpoint, and each pair of relays, has a network path that can be blocked by itself. Datagrams
// are dropped and duplicated by relay. The history records, with their times, the connections, calls, answers, lists
// and notifications, and datagrams that are too long. Random values of calls, such as service times and the answers
// that get lost, depend on the seed and the message and not on real-time order; the datagrams that get lost or
// duplicated depend on the order in which datagrams arrive. The package judges nothing: that is
// the checker's part. All methods may be called from any goroutine.
package platform

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"sync"
	"time"

	"milletsail/internal/lab/history"
	"milletsail/internal/lab/scenario"
)

// Message is one hand-in of a message by a client.
type Message struct {
	ID       string
	Msg      int // number of the message, the same in all its hand-ins
	Class    string
	Dest     int
	Key      string
	Body     []byte
	Deadline time.Time
}

// entry is a hand-in with its state.
type entry struct {
	Message
	calls     int  // calls that carried it
	ran       bool // an endpoint has run it
	delivered bool // an answer 200 has been written
	over      bool // it was delivered, withdrawn, or given its outcome by a notification
}

// Platform is the simulated platform of one run.
type Platform struct {
	s   *scenario.Scenario
	h   *history.Writer
	net *Subnet

	hosts     []*host
	dests     []*dest
	agents    []*agent
	datagrams *datagramNetwork
	links     [][]*link // by relay and endpoint

	// OnNotification is called for each notification that gives a message its outcome. It must be set before any
	// relay starts.
	OnNotification func(m Message, status string, after time.Duration)
	// OnDelivery is called when a message has been delivered. It must be set before any relay starts.
	OnDelivery func(m Message, at history.Micros)

	mu       sync.Mutex
	messages map[string]*entry
	ranKeys  map[string]time.Time // unused: nothing reads or writes it
	calls    int
	callsOut []int // calls in flight by relay
	changes  []change
	ctx      context.Context
	stop     context.CancelFunc
	work     sync.WaitGroup
}

// New opens the simulated platform on a subnet.
func New(s *scenario.Scenario, h *history.Writer, subnet *Subnet) (*Platform, error) {
	p := &Platform{s: s, h: h, net: subnet, messages: map[string]*entry{}, ranKeys: map[string]time.Time{},
		callsOut: make([]int, s.Fleet.Relays)}
	p.ctx, p.stop = context.WithCancel(context.Background())
	for range s.DestinationCount() {
		p.dests = append(p.dests, &dest{})
	}
	for i := range s.Hosts {
		p.hosts = append(p.hosts, newHost(p, i))
		p.changes = append(p.changes, change{host: i, health: serving})
	}
	var err error
	for r := range s.Fleet.Relays {
		a := newAgent(p, r)
		p.agents = append(p.agents, a)
		err = errors.Join(err, a.open())
		p.links = append(p.links, nil)
		for _, h := range p.hosts {
			l := &link{changed: make(chan struct{})}
			p.links[r] = append(p.links[r], l)
			port := &port{p: p, host: h, relay: r, link: l, addr: subnet.Host(r, h.index)}
			h.ports = append(h.ports, port)
			if h.listed {
				err = errors.Join(err, port.open())
			}
		}
	}
	if p.datagrams, err = newDatagramNetwork(p, err); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// Close closes the platform and all its connections.
func (p *Platform) Close() {
	p.stop()
	for _, a := range p.agents {
		a.close()
	}
	for _, h := range p.hosts {
		for _, port := range h.ports {
			port.close()
		}
	}
	if p.datagrams != nil {
		p.datagrams.close()
	}
	p.work.Wait()
}

// Register announces a message before its client sends it; calls with unknown messages are refused.
func (p *Platform) Register(m Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.messages[m.ID] = &entry{Message: m}
}

// Withdraw marks a hand-in as over: its client was refused or got no answer, or the relay that had accepted it was lost with
// its state. Later calls do not run it.
func (p *Platform) Withdraw(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.messages[id]; e != nil {
		e.over = true
	}
}

// DeliveryState reports whether a message has been delivered, and whether it may have run.
func (p *Platform) DeliveryState(id string) (delivered, ran bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.messages[id]
	return e != nil && e.delivered, e != nil && e.ran
}

// receiveNotification records a notification from a relay.
func (p *Platform) receiveNotification(relay int, id, status string, after time.Duration) {
	p.h.Add(history.Event{Kind: history.Notice, Relay: history.IntPtr(relay), ID: id, Status: status, RetryAfter: history.ToMicros(after)})
	p.mu.Lock()
	e := p.messages[id]
	fresh := e != nil && !e.over
	if fresh {
		e.over = true
	}
	p.mu.Unlock()
	if fresh && p.OnNotification != nil {
		p.OnNotification(e.Message, status, after)
	}
}

// recordDelivery records that an answer 200 has been written for messages.
func (p *Platform) recordDelivery(ids []string, at history.Micros) {
	for _, id := range ids {
		p.mu.Lock()
		e := p.messages[id]
		fresh := e != nil && !e.delivered
		if fresh {
			e.delivered, e.over = true, true
		}
		p.mu.Unlock()
		if fresh && p.OnDelivery != nil {
			p.OnDelivery(e.Message, at)
		}
	}
}

// Capacity is the rate, in calls per second, that an endpoint can serve when it is not cold. If its destination has a limit, it
// is the endpoint's share of that.
func Capacity(h *scenario.Host) float64 {
	if h.Destination.Limit != "none" {
		return h.Destination.Rate / float64(h.Destination.Endpoints)
	}
	return float64(h.Destination.Workers) / h.Destination.Service.Seconds()
}

// weight is the capacity that the list states for an endpoint's destination, in calls per second over all relays:
// exact, off by up to a factor of 1.5 ("rough"), or always 1 ("off").
func (p *Platform) weight(h *scenario.Host) float64 {
	all := Capacity(h) * float64(h.Destination.Endpoints)
	switch p.s.Fleet.Weights {
	case "off":
		return 1
	case "rough":
		return all * math.Exp2(2*math.Log2(1.5)*p.s.Draw(fmt.Sprintf("weight %d", h.Dest))-math.Log2(1.5))
	}
	return all
}

// Subnet is a range of loopback addresses that one lab has exclusively until Release.
type Subnet struct {
	second int
	lock   net.Listener
}

// lockPort is the port that a lab listens on to reserve its subnet.
const lockPort = 47999

// AcquireSubnet reserves loopback addresses that no other lab uses.
func AcquireSubnet() (*Subnet, error) {
	var err error
	for second := 16; second < 250; second++ {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", second, lockPort)); err == nil {
			return &Subnet{second, l}, nil
		}
	}
	return nil, fmt.Errorf("no free loopback subnet between 127.16 and 127.249: %w", err)
}

// Release frees the addresses.
func (n *Subnet) Release() { _ = n.lock.Close() }

func (n *Subnet) ip(block, relay int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.second, block+relay/250, 1+relay%250)
}

// The methods below return the addresses of a lab: those of each relay, and those that the platform opens for one
// relay.

// Clients is the address at which a relay accepts clients.
func (n *Subnet) Clients(relay int) string { return n.ip(0, relay) + ":8443" }

// Admin is the address of the admin endpoint of a relay's process, numbered from 1; each process has its own.
func (n *Subnet) Admin(relay, process int) string {
	return fmt.Sprintf("%s:%d", n.ip(0, relay), 12000+process%1000)
}

// PeerListen is the address at which a relay receives datagrams.
func (n *Subnet) PeerListen(relay int) string { return n.ip(0, relay) + ":7946" }

// Peer is the address at which all relays reach a relay, and from which its datagrams reach them.
func (n *Subnet) Peer(relay int) string { return n.ip(200, relay) + ":7946" }

// PeersAll is the address that reaches all other relays.
func (n *Subnet) PeersAll() string { return fmt.Sprintf("127.%d.255.1:7946", n.second) }

// Discovery is the address of a relay's discovery after the given number of moves.
func (n *Subnet) Discovery(relay, moves int) string {
	return fmt.Sprintf("%s:%d", n.ip(100, relay), 8500+moves)
}

// Host is the address at which a relay reaches an endpoint.
func (n *Subnet) Host(relay, host int) string {
	return fmt.Sprintf("%s:%d", n.ip(100, relay), 10000+host)
}
