package platform

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"milletsail/internal/lab/history"
)

// maxDatagramBytes is the longest datagram that one relay may send to another.
const maxDatagramBytes = 256

// datagramNetwork carries datagrams between relays. Each relay has one address here: the others send to it, and the
// relay's own datagrams arrive from it. The pair of relays follows from that address and the sender's.
type datagramNetwork struct {
	p          *Platform
	conns      []*net.UDPConn         // sockets to which the other relays send, by receiving relay
	broadcast  *net.UDPConn           // socket whose datagrams go to all other relays
	relayOf    map[netip.AddrPort]int // relay by its own address
	listenAddr []netip.AddrPort       // addresses at which the relays receive datagrams

	mu              sync.Mutex
	cuts            [][]int // number of faults that block the path, by sender and receiver
	drop, duplicate []float64
	carried         int // datagrams addressed to relays, counted per receiver, with those dropped and without duplicates
	sent, sentBytes int // datagrams that relays sent, and their bytes
	closed          chan struct{}
	work            sync.WaitGroup
}

// newDatagramNetwork opens the network; if openErr is not nil, it returns that.
func newDatagramNetwork(p *Platform, openErr error) (*datagramNetwork, error) {
	if openErr != nil {
		return nil, openErr
	}
	relays := p.s.Fleet.Relays
	n := &datagramNetwork{p: p, relayOf: map[netip.AddrPort]int{}, drop: make([]float64, relays), duplicate: make([]float64, relays),
		closed: make(chan struct{})}
	for r := range relays {
		at, err := netip.ParseAddrPort(p.net.PeerListen(r))
		if err != nil {
			return nil, err
		}
		n.listenAddr, n.relayOf[at] = append(n.listenAddr, at), r
		n.cuts = append(n.cuts, make([]int, relays))
		conn, err := listenUDP(p.net.Peer(r))
		if err != nil {
			n.close()
			return nil, err
		}
		n.conns = append(n.conns, conn)
	}
	var err error
	if n.broadcast, err = listenUDP(p.net.PeersAll()); err != nil {
		n.close()
		return nil, err
	}
	for r, conn := range n.conns {
		n.work.Go(func() { n.receive(conn, func(int) []int { return []int{r} }) })
	}
	n.work.Go(func() {
		n.receive(n.broadcast, func(sender int) (all []int) {
			for r := range n.listenAddr {
				if r != sender {
					all = append(all, r)
				}
			}
			return all
		})
	})
	return n, nil
}

func listenUDP(addr string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", a)
}

func (n *datagramNetwork) close() {
	close(n.closed)
	for _, conn := range n.conns {
		_ = conn.Close()
	}
	if n.broadcast != nil {
		_ = n.broadcast.Close()
	}
	n.work.Wait()
}

// receive delivers the datagrams that arrive at an address to the relays that to returns for their sender.
func (n *datagramNetwork) receive(in *net.UDPConn, to func(sender int) []int) {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := in.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		sender, known := n.relayOf[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if err != nil || !known {
			continue
		}
		if size > maxDatagramBytes {
			n.p.h.Add(history.Event{Kind: history.Note, Relay: history.IntPtr(sender), Bytes: size})
		}
		datagram := append([]byte(nil), buf[:size]...)
		n.mu.Lock()
		n.sent, n.sentBytes = n.sent+1, n.sentBytes+size
		n.mu.Unlock()
		for _, r := range to(sender) {
			n.deliver(sender, r, datagram)
		}
	}
}

// deliver carries a datagram from one relay to another, or drops, duplicates or delays it as faults demand.
func (n *datagramNetwork) deliver(from, to int, datagram []byte) {
	n.mu.Lock()
	n.carried++
	number, cut := n.carried, n.cuts[from][to] > 0
	drop, duplicate := max(n.drop[from], n.drop[to]), max(n.duplicate[from], n.duplicate[to])
	n.mu.Unlock()
	if cut || drop > 0 && n.p.s.Draw(fmt.Sprintf("drop %d", number)) < drop {
		return
	}
	_, _ = n.conns[from].WriteToUDPAddrPort(datagram, n.listenAddr[to])
	if duplicate > 0 && n.p.s.Draw(fmt.Sprintf("twin %d", number)) < duplicate {
		late := time.Duration(n.p.s.Draw(fmt.Sprintf("twin late %d", number)) * float64(time.Second))
		time.AfterFunc(late, func() {
			select {
			case <-n.closed:
			default:
				_, _ = n.conns[from].WriteToUDPAddrPort(datagram, n.listenAddr[to])
			}
		})
	}
}

// DatagramCounts returns the number of datagrams that relays have sent (a broadcast counts once), their bytes, and
// the number of datagrams addressed to relays, counted per receiving relay, with those that faults drop and without
// duplicates.
func (p *Platform) DatagramCounts() (datagrams, bytes, received int) {
	p.datagrams.mu.Lock()
	defer p.datagrams.mu.Unlock()
	return p.datagrams.sent, p.datagrams.sentBytes, p.datagrams.carried
}

// CutDatagrams blocks (by is 1) or unblocks (by is -1) the paths of datagrams that between selects.
func (p *Platform) CutDatagrams(by int, between func(from, to int) bool) {
	p.datagrams.mu.Lock()
	defer p.datagrams.mu.Unlock()
	for from := range p.datagrams.cuts {
		for to := range p.datagrams.cuts[from] {
			if from != to && between(from, to) {
				p.datagrams.cuts[from][to] += by
			}
		}
	}
}

// ImpairDatagrams sets the shares of the datagrams from and to a relay that are dropped and duplicated. A duplicate
// arrives up to a second later.
func (p *Platform) ImpairDatagrams(relay int, drop, duplicate float64) {
	p.datagrams.mu.Lock()
	defer p.datagrams.mu.Unlock()
	p.datagrams.drop[relay], p.datagrams.duplicate[relay] = drop, duplicate
}
