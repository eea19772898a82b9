// Package platform stands in for all that relays meet: discovery, the endpoints of the destinations, the platform that
// takes notices, and the network between relays, written from the published protocol alone. It runs in the lab's
// process, on loopback addresses of its own.
//
// It promises that every pair of relay and endpoint, and of relay and relay, is a link that can be cut, delayed and
// healed by itself; that whatever a relay could have seen stands in the history with its time; and that what it draws
// (service times, which answer gets lost) depends on the seed and the message, not on the order of real time. It
// judges nothing: that is the checker's part. All methods may be called from any goroutine.
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

// Message is what the platform knows of one message that a client handed in.
type Message struct {
	ID       string
	Msg      int // over all hand-ins
	Class    string
	Dest     int
	Key      string
	Body     []byte
	Deadline time.Time
}

// entry is a message with what became of it.
type entry struct {
	Message
	calls     int
	ran       bool
	delivered bool
	over      bool
}

// Platform is the stand-ins of one run.
type Platform struct {
	s   *scenario.Scenario
	h   *history.Writer
	net *Subnet

	hosts     []*host
	dests     []*dest
	agents    []*agent
	datagrams *datagramNetwork
	links     [][]*link // by relay and endpoint

	// Noticed is called for each notice of a message that is not over; set before any relay starts.
	OnNotification func(m Message, status string, after time.Duration)
	// Delivered is called when a message has been delivered; set before any relay starts.
	OnDelivery func(m Message, at history.Micros)

	mu       sync.Mutex
	messages map[string]*entry
	ranKeys  map[string]time.Time // dedup: when a key first ran, by destination and key
	calls    int
	callsOut []int // calls out by relay
	changes  []change
	ctx      context.Context
	stop     context.CancelFunc
	work     sync.WaitGroup
}

// New opens the stand-ins on a subnet.
func New(s *scenario.Scenario, h *history.Writer, subnet *Subnet) (*Platform, error) {
	p := &Platform{s: s, h: h, net: subnet, messages: map[string]*entry{}, ranKeys: map[string]time.Time{},
		callsOut: make([]int, s.Fleet.Relays)}
	p.ctx, p.stop = context.WithCancel(context.Background())
	for range s.DestCount() {
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

// Close ends the stand-ins and all their connections.
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

// Register makes a message known before its client sends it.
func (p *Platform) Register(m Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.messages[m.ID] = &entry{Message: m}
}

// Withdraw says that a client has left without an answer: what was sent for the message counts for nothing.
func (p *Platform) Withdraw(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.messages[id]; e != nil {
		e.over = true
	}
}

// Fate tells whether a message has been delivered, and whether it may have run.
func (p *Platform) DeliveryState(id string) (delivered, ran bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.messages[id]
	return e != nil && e.delivered, e != nil && e.ran
}

// noticed takes in a notice.
func (p *Platform) receiveNotification(relay int, id, status string, after time.Duration) {
	p.h.Add(history.Event{Kind: history.Notice, Relay: history.N(relay), ID: id, Status: status, After: history.M(after)})
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

// delivered notes that a 200 has been written for messages.
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

// Capacity is the rate in messages a second of an endpoint that is warm.
func Capacity(h *scenario.Host) float64 {
	if h.Of.Limit != "none" {
		return h.Of.Rate / float64(h.Of.Endpoints)
	}
	return float64(h.Of.Workers) / h.Of.Service.Seconds()
}

// weight is what the list says of an endpoint's destination: calls a second over all relays.
func (p *Platform) weight(h *scenario.Host) float64 {
	all := Capacity(h) * float64(h.Of.Endpoints)
	switch p.s.Fleet.Weights {
	case "off":
		return 1
	case "rough":
		return all * math.Exp2(2*math.Log2(1.5)*p.s.Draw(fmt.Sprintf("weight %d", h.Dest))-math.Log2(1.5))
	}
	return all
}

// Subnet is the loopback addresses of one lab: no other lab on the machine has them while it runs.
type Subnet struct {
	second int
	lock   net.Listener
}

// lockPort is the port that says that a subnet is taken.
const lockPort = 47999

// TakeSubnet finds loopback addresses that no other lab uses.
func AcquireSubnet() (*Subnet, error) {
	var err error
	for second := 16; second < 250; second++ {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", second, lockPort)); err == nil {
			return &Subnet{second, l}, nil
		}
	}
	return nil, fmt.Errorf("no loopback addresses are free: %w", err)
}

// Release gives the addresses back.
func (n *Subnet) Release() { _ = n.lock.Close() }

func (n *Subnet) ip(block, relay int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.second, block+relay/250, 1+relay%250)
}

// The addresses of a lab: a relay's own, and those that stand-ins keep for it alone.

// Clients is where a relay takes clients.
func (n *Subnet) Clients(relay int) string { return n.ip(0, relay) + ":8443" }

// Admin is the address of a relay's admin endpoint; each process of an upgrade has its own.
func (n *Subnet) Admin(relay, process int) string {
	return fmt.Sprintf("%s:%d", n.ip(0, relay), 12000+process%1000)
}

// PeerListen is where a relay takes notes.
func (n *Subnet) PeerListen(relay int) string { return n.ip(0, relay) + ":7946" }

// Peer is the address at which all relays reach a relay, and from which its notes come to them.
func (n *Subnet) Peer(relay int) string { return n.ip(200, relay) + ":7946" }

// PeersAll is the address that reaches all relays.
func (n *Subnet) PeersAll() string { return fmt.Sprintf("127.%d.255.1:7946", n.second) }

// Discovery is the address of a relay's discovery after so many moves.
func (n *Subnet) Discovery(relay, moves int) string {
	return fmt.Sprintf("%s:%d", n.ip(100, relay), 8500+moves)
}

// Host is the address at which a relay reaches an endpoint.
func (n *Subnet) Host(relay, host int) string {
	return fmt.Sprintf("%s:%d", n.ip(100, relay), 10000+host)
}
