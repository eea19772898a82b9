package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"milletsail/internal/fleet/live"
)

const (
	// doorRoom connections of operators are open at once; with all taken, the longest silent one goes.
	doorRoom = 8
	// doorTime is how long a caller has for its call, and again for taking the reply.
	doorTime = 2 * time.Second
	// maxCall bounds the line of a call.
	maxCall = 128
)

// door answers operators: a connection carries one line, and gets one reply. It stands apart from the clients'
// side, so that no crowd there keeps an operator out.
type door struct {
	listener net.Listener
	figures  *figures
	shared   atomic.Pointer[live.Service]             // nil where nothing is shared
	zones    atomic.Pointer[func(line string) string] // nil where zones are off
	servers  atomic.Pointer[func() string]            // nil where new endpoints have nothing to prove

	mu   sync.Mutex
	open []*caller // the oldest first
}

// caller is one connection of an operator.
type caller struct {
	net.Conn
	called bool // its line is here: it keeps its place until it has the reply
}

// openDoor listens at an address.
func openDoor(addr string, f *figures) (*door, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("operators' door: %w", err)
	}
	return &door{listener: l, figures: f}, nil
}

// serve answers calls until the listener is closed.
func (d *door) serve() {
	for {
		c, err := d.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, or the caller has left again
			slog.Warn("operators' door", "err", err)
			time.Sleep(askIdle)
			continue
		}
		if caller := d.enter(c); caller != nil {
			go d.answer(caller)
		}
	}
}

// enter makes room for a caller, at the cost of the one that has been silent longest. With every place taken by
// one that is being replied to, it closes the connection and gives nil.
func (d *door) enter(conn net.Conn) *caller {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.open) >= doorRoom {
		i := slices.IndexFunc(d.open, func(c *caller) bool { return !c.called })
		if i < 0 {
			_ = conn.Close()
			return nil
		}
		_ = d.open[i].Close()
		d.open = slices.Delete(d.open, i, i+1)
	}
	c := &caller{Conn: conn}
	d.open = append(d.open, c)
	return c
}

// called notes that a caller's line is here, and tells whether it still has its place.
func (d *door) called(c *caller) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.called = true
	return slices.Contains(d.open, c)
}

func (d *door) leave(c *caller) {
	_ = c.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open = slices.DeleteFunc(d.open, func(o *caller) bool { return o == c })
}

// answer reads a caller's line and replies.
func (d *door) answer(c *caller) {
	defer d.leave(c)
	_ = c.SetDeadline(time.Now().Add(doorTime))
	line, err := bufio.NewReader(io.LimitReader(c, maxCall)).ReadString('\n')
	if !d.called(c) {
		return
	}
	_ = c.SetDeadline(time.Now().Add(doorTime))
	whole := err == nil || errors.Is(err, io.EOF) && len(line) < maxCall // the caller may end its line by ending its side
	reply := []byte("ERR no call in one line of at most 128 bytes\n")
	if whole {
		reply = d.reply(strings.TrimSpace(line))
	}
	if _, err := c.Write(reply); err != nil {
		slog.Debug("operators' door", "err", err)
	}
	if !whole {
		// Closing with bytes unread would reset the connection, and the reply with it.
		_ = c.SetDeadline(time.Now().Add(drainTime))
		_, _ = io.CopyN(io.Discard, c, maxBody)
	}
}

// reply answers one call.
func (d *door) reply(call string) []byte {
	switch call {
	case "health":
		if why := d.figures.unwritten.Load(); why != nil {
			return []byte("ERR nothing is taken on: " + *why + "\n")
		}
		if d.figures.taking.Load() {
			return []byte("OK\n")
		}
		return []byte("ERR this process takes no clients now\n")
	case "counters":
		return append(d.figures.text(), "END\n"...)
	case "fleet":
		if shared := d.shared.Load(); shared != nil { // only where it is on is there such a call
			return shared.Text()
		}
	}
	if ask := d.servers.Load(); call == "servers" && ask != nil {
		return []byte((*ask)() + "\n")
	}
	if line, ok := strings.CutPrefix(call, "zone "); ok {
		if ask := d.zones.Load(); ask != nil {
			return []byte((*ask)(line) + "\n")
		}
	}
	return []byte("ERR unknown call\n")
}
