package socket

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// A connection is quiet until bytes come, has unread bytes then, and is neither once its peer has closed it.
func TestPeek(t *testing.T) {
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
		t.Error("a fresh connection is not quiet")
	}
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	until(t, func() bool { return HasUnread(c) && !IsQuiet(c) })
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	until(t, func() bool { return errors.Is(peek(c), io.EOF) && !IsQuiet(c) && !HasUnread(c) })
}

// until waits for a condition.
func until(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain")
		}
	}
}
