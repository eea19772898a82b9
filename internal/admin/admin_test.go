package admin

import (
	"bufio"
	"net"
	"testing"
	"time"
)

// A call returns the reply, or an error in time if there is none.
func TestCall(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { // ends with the listener
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
		t.Errorf("%q, %v", reply, err)
	}
	if reply, err := Call(t.Context(), address, "no reply", 50*time.Millisecond); err == nil {
		t.Errorf("without a reply: %q", reply)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if reply, err := Call(t.Context(), address, "health", time.Second); err == nil {
		t.Errorf("without a listener: %q", reply)
	}
}
