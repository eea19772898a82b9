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

// maxNote is the longest datagram that one relay may send another.
const maxNote = 256

// notes carries datagrams between relays. Each relay has one address at which all others reach it and from which its
// own come to them; the pair of relays follows from that and from the sender's address.
type notes struct {
	p     *Platform
	faces []*net.UDPConn // by relay
	all   *net.UDPConn
	relay map[netip.AddrPort]int
	at    []netip.AddrPort // where relays listen

	mu         sync.Mutex
	cut        [][]int // cuts in force, by sender and receiver
	drop, twin []float64
	sent       int // to one relay each
	told, size int // datagrams taken, and their bytes
	closed     chan struct{}
	work       sync.WaitGroup
}

// newNotes opens the carrier, unless something failed before.
func newNotes(p *Platform, before error) (*notes, error) {
	if before != nil {
		return nil, before
	}
	relays := p.s.Fleet.Relays
	n := &notes{p: p, relay: map[netip.AddrPort]int{}, drop: make([]float64, relays), twin: make([]float64, relays),
		closed: make(chan struct{})}
	for r := range relays {
		at, err := netip.ParseAddrPort(p.net.PeerListen(r))
		if err != nil {
			return nil, err
		}
		n.at, n.relay[at] = append(n.at, at), r
		n.cut = append(n.cut, make([]int, relays))
		face, err := listenUDP(p.net.Peer(r))
		if err != nil {
			n.close()
			return nil, err
		}
		n.faces = append(n.faces, face)
	}
	var err error
	if n.all, err = listenUDP(p.net.PeersAll()); err != nil {
		n.close()
		return nil, err
	}
	for r, face := range n.faces {
		n.work.Go(func() { n.take(face, func(int) []int { return []int{r} }) })
	}
	n.work.Go(func() {
		n.take(n.all, func(sender int) (all []int) {
			for r := range n.at {
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

func (n *notes) close() {
	close(n.closed)
	for _, face := range n.faces {
		_ = face.Close()
	}
	if n.all != nil {
		_ = n.all.Close()
	}
	n.work.Wait()
}

// take carries what comes in at an address to those that it stands for.
func (n *notes) take(in *net.UDPConn, to func(sender int) []int) {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := in.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		sender, known := n.relay[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if err != nil || !known {
			continue
		}
		if size > maxNote {
			n.p.h.Add(history.Event{Kind: history.Note, Relay: history.IntPtr(sender), Bytes: size})
		}
		note := append([]byte(nil), buf[:size]...)
		n.mu.Lock()
		n.told, n.size = n.told+1, n.size+size
		n.mu.Unlock()
		for _, r := range to(sender) {
			n.carry(sender, r, note)
		}
	}
}

// carry brings a note from one relay to another, as the network between them does.
func (n *notes) carry(from, to int, note []byte) {
	n.mu.Lock()
	n.sent++
	no, cut := n.sent, n.cut[from][to] > 0
	drop, twin := max(n.drop[from], n.drop[to]), max(n.twin[from], n.twin[to])
	n.mu.Unlock()
	if cut || drop > 0 && n.p.s.Draw(fmt.Sprintf("drop %d", no)) < drop {
		return
	}
	_, _ = n.faces[from].WriteToUDPAddrPort(note, n.at[to])
	if twin > 0 && n.p.s.Draw(fmt.Sprintf("twin %d", no)) < twin {
		late := time.Duration(n.p.s.Draw(fmt.Sprintf("twin late %d", no)) * float64(time.Second))
		time.AfterFunc(late, func() {
			select {
			case <-n.closed:
			default:
				_, _ = n.faces[from].WriteToUDPAddrPort(note, n.at[to])
			}
		})
	}
}

// NotesSent counts the notes that relays have sent, one to all counting once, their bytes, and those carried to one relay.
func (p *Platform) NotesSent() (notes, bytes, received int) {
	p.notes.mu.Lock()
	defer p.notes.mu.Unlock()
	return p.notes.told, p.notes.size, p.notes.sent
}

// CutNotes cuts (by 1) or heals (by -1) the way of notes from one relay to another.
func (p *Platform) CutNotes(by int, between func(from, to int) bool) {
	p.notes.mu.Lock()
	defer p.notes.mu.Unlock()
	for from := range p.notes.cut {
		for to := range p.notes.cut[from] {
			if from != to && between(from, to) {
				p.notes.cut[from][to] += by
			}
		}
	}
}

// SpoilNotes has a share of the notes from and to a relay lost, and a share come twice, the second up to a second late.
func (p *Platform) SpoilNotes(relay int, drop, twin float64) {
	p.notes.mu.Lock()
	defer p.notes.mu.Unlock()
	p.notes.drop[relay], p.notes.twin[relay] = drop, twin
}
