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
			successor, err := listener.Accept()
			if err != nil { // the listener is closed
				return
			}
			go proxy.connect(successor)
		}
	}()
	return proxy
}

// connect connects to the predecessor and forwards lines in both directions until both sides have ended.
func (p *handoverProxy) connect(successor net.Conn) {
	defer func() { _ = successor.Close() }()
	predecessor, err := (&net.Dialer{}).DialContext(p.t.Context(), "unix", p.path)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer func() { _ = predecessor.Close() }()
	var directions sync.WaitGroup
	directions.Go(func() { p.forwardLines("new", successor, predecessor) })
	directions.Go(func() { p.forwardLines("old", predecessor, successor) })
	directions.Wait()
}

// forwardLines records and forwards the lines that one process sends to the other. At their end it closes the sending side of
// the other connection.
func (p *handoverProxy) forwardLines(from string, source, sink net.Conn) {
	in := bufio.NewReader(source)
	for {
		text, err := in.ReadString('\n')
		if err != nil {
			if unixConn, ok := sink.(*net.UnixConn); ok {
				_ = unixConn.CloseWrite()
			}
			return
		}
		line := handoverLine{from: from, kind: handoverKind.FindString(text), text: text}
		forward := p.onLine(line)
		p.lines <- line
		if forward {
			_, _ = io.WriteString(sink, text)
		}
	}
}
