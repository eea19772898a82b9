package listener

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/relay/metrics"
)

// failingListener fails a number of accepts with an error before each connection.
type failingListener struct {
	net.Listener
	errno syscall.Errno
	left  atomic.Int64
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: f.errno}
	}
	return f.Listener.Accept()
}

// No error of accept(2) ends the taking of connections; the close of the listener does.
func TestAcceptFailures(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO,
		syscall.EPERM, syscall.EINTR, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
		syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT} {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		failing := &failingListener{Listener: l, errno: errno}
		failing.left.Store(2)
		a := New(failing, "clients", new(metrics.ReasonCounters))
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		taken, err := a.Accept()
		if err != nil {
			t.Fatalf("%v: %v", errno, err)
		}
		_, _ = c.Close(), taken.Close()
		_ = l.Close()
		if _, err := a.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("%v: closed, and %v", errno, err)
		}
		if text := a.reasons.Text(); text != "relay_accept_failures{reason=\"clients\"} 2\nEND" {
			t.Errorf("%v: counted %q", errno, text)
		}
	}
}

// A listen that fails for a moment is tried again; an address that makes no sense is an error at once.
func TestListenFailures(t *testing.T) {
	tries := 0
	l, err := Listen(t.Context(), "clients", func() (net.Listener, error) {
		if tries++; tries < 3 {
			return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
		}
		return (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	})
	if err != nil || tries != 3 {
		t.Fatalf("%d tries: %v", tries, err)
	}
	_ = l.Close()
	begun := time.Now()
	if _, err := Listen(t.Context(), "clients", func() (net.Listener, error) {
		return (&net.ListenConfig{}).Listen(t.Context(),
			"tcp", "no address")
	}); err == nil || time.Since(begun) > listenTimeout/2 {
		t.Errorf("after %v: %v", time.Since(begun), err)
	}
}
