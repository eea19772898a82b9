// Package gossip carries gossip messages between the relays of a fleet over UDP. They help, and nothing depends on them.
package gossip

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"milletsail/internal/clock"
)

const (
	// MaxMessageSize bounds a datagram in bytes.
	MaxMessageSize = 256
	// listenRetryInterval is the wait between attempts to listen at an address that a predecessor may still have.
	listenRetryInterval = time.Second
)

// Options say where messages come from and go to.
type Options struct {
	// Allowed says whether relays may send to each other at all.
	Allowed bool
	// Listen is the address at which messages arrive.
	Listen string
	// Broadcast is the address that reaches all other relays.
	Broadcast string
	// Peers are the addresses of all relays of the fleet, by ordinal.
	Peers []string
	// Self is the ordinal of this relay.
	Self int
}

// Transport sends and receives gossip messages. Without a socket it loses them. A nil Transport is one without a fleet: it
// sends and receives nothing. Its methods are safe for concurrent use.
type Transport struct {
	listen    string
	broadcast netip.AddrPort
	ordinals  map[netip.AddrPort]int // of the other relays
	peers     []netip.AddrPort       // by ordinal
	onMessage func(from int, message []byte)
	conn      atomic.Pointer[net.UDPConn]
}

// New returns a transport that hands each message to onMessage, with the ordinal of its sender. It returns nil where the
// options have no use for one or their addresses can't be parsed.
func New(options Options, onMessage func(from int, message []byte)) *Transport {
	if !options.Allowed || options.Listen == "" || options.Broadcast == "" {
		return nil
	}
	transport := &Transport{listen: options.Listen, ordinals: map[netip.AddrPort]int{}, onMessage: onMessage,
		peers: make([]netip.AddrPort, len(options.Peers))}
	var err error
	if transport.broadcast, err = netip.ParseAddrPort(options.Broadcast); err != nil {
		slog.Warn("gossip disabled", "error", err)
		return nil
	}
	for i, addr := range options.Peers {
		peer, err := netip.ParseAddrPort(addr)
		if err != nil {
			slog.Warn("gossip with a peer disabled", "peer", i, "error", err)
			continue
		}
		if i != options.Self {
			transport.ordinals[peer], transport.peers[i] = i, peer
		}
	}
	return transport
}

// Run receives messages until ctx ends. It runs in one goroutine, which its caller waits for, and starts no other.
func (t *Transport) Run(ctx context.Context) {
	if t == nil {
		return
	}
	var config net.ListenConfig
	for {
		conn, err := config.ListenPacket(ctx, "udp4", t.listen)
		if udp, ok := conn.(*net.UDPConn); ok && err == nil {
			t.receive(ctx, udp)
		}
		if !clock.Sleep(ctx, listenRetryInterval) {
			return
		}
	}
}

// receive hands on messages until ctx ends or the socket fails.
func (t *Transport) receive(ctx context.Context, conn *net.UDPConn) {
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	t.conn.Store(conn)
	defer t.conn.Store(nil)
	buffer := make([]byte, MaxMessageSize+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				slog.Warn("gossip not received", "error", err)
			}
			_ = conn.Close()
			return
		}
		// Anyone can send to the address: only relays of the configuration are trusted.
		ordinal, known := t.ordinals[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if n > 0 && n <= MaxMessageSize && known {
			t.onMessage(ordinal, slices.Clone(buffer[:n]))
		}
	}
}

// Broadcast sends a message to all other relays, if it can.
func (t *Transport) Broadcast(message []byte) {
	if t != nil {
		t.send(t.broadcast, message)
	}
}

// Send sends a message to another relay by its ordinal, if it can.
func (t *Transport) Send(ordinal int, message []byte) {
	if t != nil && ordinal >= 0 && ordinal < len(t.peers) && t.peers[ordinal].IsValid() {
		t.send(t.peers[ordinal], message)
	}
}

// send sends a message to an address; one that is too long is lost.
func (t *Transport) send(to netip.AddrPort, message []byte) {
	if conn := t.conn.Load(); conn != nil && len(message) <= MaxMessageSize {
		if _, err := conn.WriteToUDPAddrPort(message, to); err != nil {
			slog.Warn("gossip not sent", "error", err)
		}
	}
}
