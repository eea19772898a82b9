package gossip

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

// testOptions returns the options of the relay with ordinal self in a fleet with the given addresses. Broadcasts go to the
// address all.
func testOptions(self int, all string, addrs ...string) Options {
	return Options{Allowed: true, Listen: addrs[self], Broadcast: all, Peers: addrs, Self: self}
}

// udp opens a UDP socket on the loopback interface, which is closed at the end of the test.
func udp(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against gossip messages from unknown senders, and empty or oversized ones, reaching the relay; anyone can send to the
// address. Messages that are too long to send, or sent without a socket, have to be dropped.
func TestOnlyMessagesOfPeersAreReceived(t *testing.T) {
	own, peer, unknownSender := udp(t), udp(t), udp(t)
	addr := own.LocalAddr().String()
	_ = own.Close() // frees the address for the relay
	got := make(chan string, 9)
	transport := New(testOptions(0, peer.LocalAddr().String(), addr, peer.LocalAddr().String()), func(from int,
		message []byte) {
		got <- fmt.Sprint(from, " ", string(message))
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan bool)
	go func() {
		transport.Run(ctx)
		close(done)
	}()
	for transport.conn.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	to, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range []struct {
		from    *net.UDPConn
		message string
	}{{unknownSender, "from a stranger"}, {peer, string(make([]byte, MaxMessageSize+1))}, {peer, ""}, {peer, "good"}} {
		if _, err := d.from.WriteToUDP([]byte(d.message), to); err != nil {
			t.Fatal(err)
		}
	}
	if message := <-got; message != "1 good" {
		t.Errorf("received %q, want \"1 good\"", message)
	}
	transport.Broadcast(make([]byte, MaxMessageSize+1))
	transport.Broadcast([]byte("mine"))
	buf := make([]byte, MaxMessageSize+1)
	if n, _, err := peer.ReadFromUDP(buf); err != nil || string(buf[:n]) != "mine" {
		t.Errorf("the peer received %q (error %v), want \"mine\"", buf[:n], err)
	}
	stop()
	<-done
	transport.Broadcast([]byte("too late")) // without a socket the message is dropped silently
}

// Guards against a crash without gossip: where the options disable it or the broadcast address is invalid, New returns nil, whose
// methods do nothing.
func TestDisabledTransport(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"not allowed":               func(o *Options) { o.Allowed = false },
		"no listen address":         func(o *Options) { o.Listen = "" },
		"no broadcast address":      func(o *Options) { o.Broadcast = "" },
		"invalid broadcast address": func(o *Options) { o.Broadcast = "everyone" },
	} {
		options := testOptions(0, "127.0.0.1:9", "127.0.0.1:8")
		change(&options)
		transport := New(options, func(int, []byte) {})
		if transport != nil {
			t.Errorf("%s: New returned a transport, want nil", name)
		}
		transport.Run(t.Context())
		transport.Broadcast([]byte("m"))
	}
}
