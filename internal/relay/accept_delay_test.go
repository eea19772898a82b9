package relay

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"milletsail/internal/relay/config"
	"milletsail/internal/relay/metrics"
)

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
			s := newServer(&config.Config{}, new(metrics.ReasonCounters), func(*arrival) {}, func(*arrival) {})
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
