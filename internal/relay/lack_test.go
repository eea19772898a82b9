package relay

import (
	"errors"
	"net"
	"os"
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
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.EPERM, syscall.EINTR, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
		syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		failing := &failingListener{Listener: l, errno: errno}
		failing.left.Store(2)
		a := &acceptor{Listener: failing, name: "clients", reasons: new(metrics.ReasonCounters)}
		c, err := net.Dial("tcp", l.Addr().String())
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
	l, err := listenFor("clients", func() (net.Listener, error) {
		if tries++; tries < 3 {
			return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
		}
		return net.Listen("tcp", "127.0.0.1:0")
	})
	if err != nil || tries != 3 {
		t.Fatalf("%d tries: %v", tries, err)
	}
	_ = l.Close()
	begun := time.Now()
	if _, err := listenFor("clients", func() (net.Listener, error) { return net.Listen("tcp", "no address") }); err == nil || time.Since(begun) > listenWithin/2 {
		t.Errorf("after %v: %v", time.Since(begun), err)
	}
}

// A peer that stood in the system's queue while accepts failed, and sends nothing or stops in the middle of a request, gets
// its close from when it came; one that writes on slowly has the whole time, and the next request too.
func TestPeersThatWaitedForAnAccept(t *testing.T) {
	const waited = readTime - patience
	for _, c := range []struct {
		name  string
		write []string // a piece each half of patience
		open  bool     // behind these
	}{
		{"silent", nil, false},
		{"half a head", []string{"POST /status"}, false},
		{"slow", []string{"POST /", "status ", "HTTP/1.1\r\n", "Host: x\r\n"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			g := &gate{Listener: l, room: 9, open: map[*client]bool{}, waited: func() time.Duration { return time.Hour }}
			g.changed.L = &g.mu
			s := newServer(&Config{}, new(metrics.ReasonCounters), func(*arrival) {}, func(*arrival) {})
			go func() { _ = s.http.Serve(g) }()
			t.Cleanup(func() { _ = s.http.Close() })
			begun := time.Now()
			peer, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			for _, piece := range c.write {
				if _, err := peer.Write([]byte(piece)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(patience / 2)
			}
			if c.open {
				_ = peer.SetReadDeadline(time.Now().Add(patience / 5))
				if n, err := peer.Read(make([]byte, 1)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("closed after %v: %v", time.Since(begun), err)
				}
				return
			}
			_ = peer.SetReadDeadline(time.Now().Add(readTime))
			if _, err := peer.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begun) > readTime-waited/2 {
				t.Errorf("after %v: %v", time.Since(begun), err)
			}
		})
	}
}
