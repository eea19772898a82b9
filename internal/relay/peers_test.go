package relay

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

// peersConfig is the configuration of relay no of those at the addresses; datagrams to all go to one of them.
func peersConfig(no int, all string, addrs ...string) *Config {
	c := &Config{PeerListen: addrs[no], Peers: addrs, PeersAll: all}
	c.Settings.Ordinal = no
	c.policy.Gossip = true
	return c
}

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
func TestPeers(t *testing.T) {
	own, friend, stranger := udp(t), udp(t), udp(t)
	addr := own.LocalAddr().String()
	_ = own.Close() // for the relay
	got := make(chan string, 9)
	p := newPeers(peersConfig(0, friend.LocalAddr().String(), addr, friend.LocalAddr().String()), func(from int, note []byte) { got <- fmt.Sprint(from, " ", string(note)) })
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan bool)
	go func() {
		p.run(ctx)
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
	}{{stranger, "from a stranger"}, {friend, string(make([]byte, maxNote+1))}, {friend, ""}, {friend, "good"}} {
		if _, err := d.from.WriteToUDP([]byte(d.note), to); err != nil {
			t.Fatal(err)
		}
	}
	if note := <-got; note != "1 good" {
		t.Errorf("heard %q", note)
	}
	p.tell(make([]byte, maxNote+1))
	p.tell([]byte("mine"))
	buf := make([]byte, maxNote+1)
	if n, _, err := friend.ReadFromUDP(buf); err != nil || string(buf[:n]) != "mine" {
		t.Errorf("told %q, %v", buf[:n], err)
	}
	stop()
	<-done
	p.tell([]byte("too late")) // without a socket a note is lost, and that is all
}

// A configuration that has no use for notes, or whose addresses can't be read, gives a relay without them.
func TestNoPeers(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"not allowed":   func(c *Config) { c.policy.Gossip = false },
		"no address":    func(c *Config) { c.PeerListen = "" },
		"no one to ask": func(c *Config) { c.PeersAll = "" },
		"unreadable":    func(c *Config) { c.PeersAll = "everyone" },
	} {
		c := peersConfig(0, "127.0.0.1:9", "127.0.0.1:8")
		change(c)
		p := newPeers(c, func(int, []byte) {})
		if p != nil {
			t.Errorf("%s: a carrier of notes", name)
		}
		p.run(t.Context())
		p.tell([]byte("m"))
	}
}
