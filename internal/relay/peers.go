package relay

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"milletsail/internal/clock"
)

const (
	// maxNote is the longest datagram that may be sent to other relays.
	maxNote = 256
	// listenAgain is the wait between tries for the address of notes, which a process that hands over still has.
	listenAgain = time.Second
)

// peers carries notes between relays. They help, and nothing depends on them: without a socket none come or go.
type peers struct {
	listen string
	all    netip.AddrPort
	known  map[netip.AddrPort]int // numbers of the other relays
	at     []netip.AddrPort       // by number
	heard  func(from int, note []byte)
	conn   atomic.Pointer[net.UDPConn]
}

// newPeers gives the carrier of notes, or nil where the configuration has no use for one or its addresses can't be
// read.
func newPeers(cfg *Config, heard func(from int, note []byte)) *peers {
	if !cfg.policy.Gossip || cfg.PeerListen == "" || cfg.PeersAll == "" {
		return nil
	}
	p := &peers{listen: cfg.PeerListen, known: map[netip.AddrPort]int{}, at: make([]netip.AddrPort, len(cfg.Peers)), heard: heard}
	var err error
	if p.all, err = netip.ParseAddrPort(cfg.PeersAll); err != nil {
		slog.Warn("no notes to other relays", "err", err)
		return nil
	}
	for i, addr := range cfg.Peers {
		peer, err := netip.ParseAddrPort(addr)
		if err != nil {
			slog.Warn("no notes from another relay", "number", i, "err", err)
			continue
		}
		if i != cfg.Settings.Ordinal {
			p.known[peer], p.at[i] = i, peer
		}
	}
	return p
}

// run takes notes until ctx ends.
func (p *peers) run(ctx context.Context) {
	if p == nil {
		return
	}
	var config net.ListenConfig
	for {
		conn, err := config.ListenPacket(ctx, "udp4", p.listen)
		if err == nil {
			p.serve(ctx, conn.(*net.UDPConn))
		}
		if !clock.Sleep(ctx, listenAgain) {
			return
		}
	}
}

func (p *peers) serve(ctx context.Context, conn *net.UDPConn) {
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	p.conn.Store(conn)
	defer p.conn.Store(nil)
	buf := make([]byte, maxNote+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				slog.Warn("notes of other relays", "err", err)
			}
			_ = conn.Close()
			return
		}
		// Anyone can send to the address: only relays of the configuration are heard.
		number, known := p.known[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if n > 0 && n <= maxNote && known {
			p.heard(number, append([]byte(nil), buf[:n]...))
		}
	}
}

// tell sends a note to all other relays, if it can.
func (p *peers) tell(note []byte) {
	if p != nil {
		p.send(p.all, note)
	}
}

// tellOne sends a note to another relay, by its number, if it can.
func (p *peers) tellOne(number int, note []byte) {
	if p != nil && number >= 0 && number < len(p.at) && p.at[number].IsValid() {
		p.send(p.at[number], note)
	}
}

func (p *peers) send(to netip.AddrPort, note []byte) {
	if conn := p.conn.Load(); conn != nil && len(note) <= maxNote {
		if _, err := conn.WriteToUDPAddrPort(note, to); err != nil {
			slog.Warn("note to other relays", "err", err)
		}
	}
}
