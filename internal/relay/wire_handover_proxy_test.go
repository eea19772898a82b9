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

// handoverProxy stands between an old process and a new one, and keeps each line that goes over their link before it
// passes it on.
type handoverProxy struct {
	t     *testing.T
	path  string                  // of the old process's socket
	onLine  func(handoverLine) bool // is called with each line, and tells whether it is to be passed on
	lines chan handoverLine
}

// proxyHandover puts a proxy in the place of the socket in a folder. The old process's socket goes on under another
// name.
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
	listener.SetUnlinkOnClose(false) // by then it is the new process's
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			newer, err := listener.Accept()
			if err != nil { // closed
				return
			}
			go proxy.connect(newer)
		}
	}()
	return proxy
}

// connect joins a new process with the old one.
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

// forwardLines passes the lines of one process on to the other, and then its end.
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
