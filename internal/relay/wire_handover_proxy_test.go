package relay

import (
	"bufio"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
)

// handoverProxy sits between a predecessor and a successor. It records each line of their link and then forwards it.
type handoverProxy struct {
	t      *testing.T
	path   string                  // path of the predecessor's socket
	onLine func(handoverLine) bool // called with each line; reports whether to forward it
	lines  chan handoverLine       // the recorded lines
}

// proxyHandover renames the predecessor's socket in a state directory and listens in its place with a proxy.
func proxyHandover(t *testing.T, dir string, meet func(handoverLine) bool) *handoverProxy {
	t.Helper()
	socket := filepath.Join(dir, "handover")
	proxy := &handoverProxy{t: t, path: socket + "-old", onLine: meet, lines: make(chan handoverLine, 1000)}
	if err := os.Rename(socket, proxy.path); err != nil {
		t.Fatal(err)
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: socket, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	listener.SetUnlinkOnClose(false) // by then the path belongs to the successor's socket
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			newer, err := listener.Accept()
			if err != nil { // the listener is closed
				return
			}
			go proxy.connect(newer)
		}
	}()
	return proxy
}

// connect connects to the predecessor and forwards lines in both directions until both sides have ended.
func (p *handoverProxy) connect(newer net.Conn) {
	defer func() { _ = newer.Close() }()
	old, err := (&net.Dialer{}).DialContext(p.t.Context(), "unix", p.path)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer func() { _ = old.Close() }()
	var both sync.WaitGroup
	both.Go(func() { p.forwardLines("new", newer, old) })
	both.Go(func() { p.forwardLines("old", old, newer) })
	both.Wait()
}

// forwardLines records and forwards the lines that one process sends to the other. At their end it closes the sending side of
// the other connection.
func (p *handoverProxy) forwardLines(from string, source, sink net.Conn) {
	in := bufio.NewReader(source)
	for {
		text, err := in.ReadString('\n')
		if err != nil {
			if half, ok := sink.(*net.UnixConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
		line := handoverLine{from: from, kind: handoverKind.FindString(text), text: text}
		passes := p.onLine(line)
		p.lines <- line
		if passes {
			_, _ = io.WriteString(sink, text)
		}
	}
}
