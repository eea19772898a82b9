package gossip

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

// optionsOf are those of relay self of the ones at the addresses; datagrams to all go to one of them.
func optionsOf(self int, all string, addrs ...string) Options {
	return Options{Allowed: true, Listen: addrs[self], Broadcast: all, Peers: addrs, Self: self}
}

// udp opens a socket that is closed at the end of the test.
func udp(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Notes come from the other relays of the configuration alone, in one piece of a bounded size.
func TestMessagesOfPeers(t *testing.T) {
	own, friend, stranger := udp(t), udp(t), udp(t)
	addr := own.LocalAddr().String()
	_ = own.Close() // for the relay
	got := make(chan string, 9)
	p := New(optionsOf(0, friend.LocalAddr().String(), addr, friend.LocalAddr().String()), func(from int,
		note []byte) {
		got <- fmt.Sprint(from, " ", string(note))
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan bool)
	go func() {
		p.Run(ctx)
		close(done)
	}()
	for p.conn.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	to, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range []struct {
		from *net.UDPConn
		note string
	}{{stranger, "from a stranger"}, {friend, string(make([]byte, MaxMessageSize+1))}, {friend, ""}, {friend, "good"}} {
		if _, err := d.from.WriteToUDP([]byte(d.note), to); err != nil {
			t.Fatal(err)
		}
	}
	if note := <-got; note != "1 good" {
		t.Errorf("heard %q", note)
	}
	p.Broadcast(make([]byte, MaxMessageSize+1))
	p.Broadcast([]byte("mine"))
	buf := make([]byte, MaxMessageSize+1)
	if n, _, err := friend.ReadFromUDP(buf); err != nil || string(buf[:n]) != "mine" {
		t.Errorf("told %q, %v", buf[:n], err)
	}
	stop()
	<-done
	p.Broadcast([]byte("too late")) // without a socket a note is lost, and that is all
}

// A configuration that has no use for notes, or whose addresses can't be read, gives a relay without them.
func TestWithoutPeers(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"not allowed":   func(o *Options) { o.Allowed = false },
		"no address":    func(o *Options) { o.Listen = "" },
		"no one to ask": func(o *Options) { o.Broadcast = "" },
		"unreadable":    func(o *Options) { o.Broadcast = "everyone" },
	} {
		options := optionsOf(0, "127.0.0.1:9", "127.0.0.1:8")
		change(&options)
		p := New(options, func(int, []byte) {})
		if p != nil {
			t.Errorf("%s: a carrier of notes", name)
		}
		p.Run(t.Context())
		p.Broadcast([]byte("m"))
	}
}
