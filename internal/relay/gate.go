package relay

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
)

// minShare of the room for clients' connections is left to a new process while the one before has the rest.
const minShare = 0.25

// gate bounds the connections of clients, those that the process before still has included.
type gate struct {
	net.Listener
	room int

	mu      sync.Mutex
	changed sync.Cond
	open    int // connections of this process
	lent    int // of the process before
	closed  bool
}

// openGate takes clients' connections at the socket that the platform holds, where it says so, else at the address
// that the configuration names.
func openGate(c *Config) (*gate, error) {
	l, err := listen(c)
	if err != nil {
		return nil, err
	}
	g := &gate{Listener: l, room: max(1, int(clientShare*float64(c.Limits.Sockets)))}
	g.changed.L = &g.mu
	return g, nil
}

func listen(c *Config) (net.Listener, error) {
	if c.inherited == "" {
		return net.Listen("tcp", c.Listen)
	}
	fd, err := strconv.Atoi(c.inherited)
	if err != nil {
		return nil, fmt.Errorf("inherited socket: %w", err)
	}
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, errors.New("inherited socket: no descriptor " + c.inherited)
	}
	defer f.Close()
	return net.FileListener(f)
}

// Accept waits for room and then for a client.
func (g *gate) Accept() (net.Conn, error) {
	g.mu.Lock()
	for g.open >= max(g.room-g.lent, int(minShare*float64(g.room)), 1) && !g.closed {
		g.changed.Wait()
	}
	g.mu.Unlock()
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	g.open++
	g.mu.Unlock()
	return &client{Conn: c, gate: g}, nil
}

// Close stops taking clients. The socket itself stays open where the platform or another process has it too.
func (g *gate) Close() error {
	g.mu.Lock()
	g.closed = true
	g.changed.Broadcast()
	g.mu.Unlock()
	return g.Listener.Close()
}

// lend says how many connections of clients the process before has.
func (g *gate) lend(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lent = n
	g.changed.Broadcast()
}

// clients is how many connections are open.
func (g *gate) clients() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.changed.Broadcast()
}

// client is a connection of a client.
type client struct {
	net.Conn
	gate *gate
	left sync.Once
}

// Close closes the connection and makes room for another.
func (c *client) Close() error {
	err := c.Conn.Close()
	c.left.Do(c.gate.leave)
	return err
}
