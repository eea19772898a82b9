package socket

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against taking a closed connection, or one with unread bytes, for one that can be reused.
func TestReceiveBufferState(t *testing.T) {
	var listen net.ListenConfig
	l, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var dialer net.Dialer
	peer, err := dialer.DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if !IsQuiet(c) || HasUnread(c) {
		t.Error("new connection: want IsQuiet true and HasUnread false")
	}
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, func() bool { return HasUnread(c) && !IsQuiet(c) })
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, func() bool { return errors.Is(peek(c), io.EOF) && !IsQuiet(c) && !HasUnread(c) })
}

// waitUntil polls until a condition holds, and fails the test after 20 s.
func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition did not hold within 20 s")
		}
	}
}
