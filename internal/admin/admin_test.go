package admin

import (
	"bufio"
	"net"
	"testing"
	"time"
)

// Guards against a caller that hangs or takes an empty reply for success: Call returns an error if the relay accepts the
// connection and never replies, or if nothing listens at the address.
func TestCall(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { // returns when the listener is closed
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			line, err := bufio.NewReader(conn).ReadString('\n')
			if err != nil || line == "no reply\n" {
				t.Cleanup(func() { _ = conn.Close() })
				continue
			}
			_, _ = conn.Write([]byte("reply to " + line))
			_ = conn.Close()
		}
	}()
	address := listener.Addr().String()
	if reply, err := Call(t.Context(), address, "health", time.Second); err != nil || reply != "reply to health\n" {
		t.Errorf("call of health: got reply %q, error %v; want the reply and no error", reply, err)
	}
	if reply, err := Call(t.Context(), address, "no reply", 50*time.Millisecond); err == nil {
		t.Errorf("call of an endpoint that never replies: got %q and no error, want a timeout", reply)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if reply, err := Call(t.Context(), address, "health", time.Second); err == nil {
		t.Errorf("call of an address without a listener: got %q and no error, want an error", reply)
	}
}
