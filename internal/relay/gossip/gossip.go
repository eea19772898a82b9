// Package gossip exchanges gossip messages between the relays of a fleet over UDP. Delivery is best effort, and
// the delivery of client messages does not depend on it.
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
	// MaxMessageSize is the maximum size of a gossip message in bytes. Each message is one datagram.
	MaxMessageSize = 256
	// listenRetryInterval is the wait between attempts to open the socket, whose address a predecessor may still hold.
	listenRetryInterval = time.Second
)

// Options configure a Transport.
type Options struct {
	// Allowed enables gossip. If it is false, New returns nil.
	Allowed bool
	// Listen is the local address that the relay sends and receives gossip messages on; empty disables gossip.
	Listen string
	// Broadcast is the address whose datagrams reach all other relays; empty disables gossip.
	Broadcast string
	// Peers are the gossip addresses of all relays of the fleet, this one included, indexed by ordinal.
	Peers []string
	// Self is the ordinal of this relay.
	Self int
}

// Transport sends and receives gossip messages. While its socket is not open, messages to send are dropped. A nil Transport
// stands for disabled gossip: it sends and receives nothing. Its methods are safe for concurrent use.
type Transport struct {
	listen    string
	broadcast netip.AddrPort
	ordinals  map[netip.AddrPort]int // ordinals of the other relays by address
	peers     []netip.AddrPort       // addresses of the other relays by ordinal; invalid for this relay
	onMessage func(from int, message []byte)
	conn      atomic.Pointer[net.UDPConn] // nil while the socket is not open
}

// New returns a transport that passes each received message to onMessage, with the ordinal of its sender. It returns nil if the
// options disable gossip or the broadcast address cannot be parsed. A peer whose address cannot be parsed is left out.
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

// Run opens the socket and receives messages until ctx ends. After a failure it opens the socket again. It starts no goroutines;
// its caller waits for it to return.
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

// receive passes messages from relays of the fleet to onMessage until ctx ends or the socket fails.
func (t *Transport) receive(ctx context.Context, conn *net.UDPConn) {
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	t.conn.Store(conn)
	defer t.conn.Store(nil)
	buffer := make([]byte, MaxMessageSize+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				slog.Warn("gossip receive failed", "error", err)
			}
			_ = conn.Close()
			return
		}
		// Any host can send to the address, so messages are accepted only from the configured addresses of other relays.
		ordinal, known := t.ordinals[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if n > 0 && n <= MaxMessageSize && known {
			t.onMessage(ordinal, slices.Clone(buffer[:n]))
		}
	}
}

// Broadcast sends a message to all other relays, on a best-effort basis.
func (t *Transport) Broadcast(message []byte) {
	if t != nil {
		t.send(t.broadcast, message)
	}
}

// Send sends a message to the relay with an ordinal, on a best-effort basis. An ordinal without an address is ignored.
func (t *Transport) Send(ordinal int, message []byte) {
	if t != nil && ordinal >= 0 && ordinal < len(t.peers) && t.peers[ordinal].IsValid() {
		t.send(t.peers[ordinal], message)
	}
}

// send sends a message to an address. It drops a message that is longer than MaxMessageSize, and every message while the
// socket is not open.
func (t *Transport) send(to netip.AddrPort, message []byte) {
	if conn := t.conn.Load(); conn != nil && len(message) <= MaxMessageSize {
		if _, err := conn.WriteToUDPAddrPort(message, to); err != nil {
			slog.Warn("gossip send failed", "error", err)
		}
	}
}
