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

// failingListener fails its first accepts with an error.
type failingListener struct {
	net.Listener
	errno syscall.Errno
	left  atomic.Int64 // accepts that still fail; negative once none does
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: f.errno}
	}
	return f.Listener.Accept()
}

// Guards against a relay that stops accepting connections after an error of accept(2), such as a lack of descriptors. Only
// closing the listener may end it, and each failure has to be counted.
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
			t.Fatalf("accepts failed with %v: Accept returned %v, want a connection", errno, err)
		}
		_, _ = c.Close(), taken.Close()
		_ = l.Close()
		if _, err := a.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("accepts failed with %v, listener closed: Accept returned %v, want net.ErrClosed", errno, err)
		}
		if text := a.reasons.Text(); text != "relay_accept_failures{reason=\"clients\"} 2\nEND" {
			t.Errorf("accepts failed with %v: wrong counters %q", errno, text)
		}
	}
}

// Guards against a start that fails because another process still holds the address: Listen has to retry. An invalid address
// has to be an error at once.
func TestListenFailures(t *testing.T) {
	tries := 0
	l, err := Listen(t.Context(), "clients", func() (net.Listener, error) {
		if tries++; tries < 3 {
			return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
		}
		return (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	})
	if err != nil || tries != 3 {
		t.Fatalf("Listen made %d attempts and returned error %v; want 3 attempts and no error", tries, err)
	}
	_ = l.Close()
	begun := time.Now()
	if _, err := Listen(t.Context(), "clients", func() (net.Listener, error) {
		return (&net.ListenConfig{}).Listen(t.Context(),
			"tcp", "no address")
	}); err == nil || time.Since(begun) > listenTimeout/2 {
		t.Errorf("invalid address: Listen returned after %v with error %v; want an error at once", time.Since(begun), err)
	}
}
