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
	"time"
)

const (
	// doorRoom connections of operators are open at once; with all taken, the longest silent one goes.
	doorRoom = 8
	// doorTime is how long a caller has for its call, and again for taking the reply.
	doorTime = 2 * time.Second
	// maxCall bounds the line of a call.
	maxCall = 128
	// doorWait bounds how long an operator's line waits for the loop.
	doorWait = time.Second
)

// doorCall is an operator's line: the loop gives the answer, which it alone can.
type doorCall struct {
	answer func() string
	reply  chan string // room for one
}

// door answers operators: a connection carries one line, and gets one reply. It stands apart from the clients'
// side, so that no crowd there keeps an operator out.
type door struct {
	listener net.Listener
	figures  *figures
	offers   sync.Map // by its first word, what answers a call of a part that is on: func(rest string) string

	mu   sync.Mutex
	open []*caller // the oldest first
}

// caller is one connection of an operator.
type caller struct {
	net.Conn
	called bool // its line is here: it keeps its place until it has the reply
}

// unknownCall answers what is no call here.
const unknownCall = "ERR unknown call"

// offer has calls that begin with a word answered. Without a door there is nobody to answer.
func (d *door) offer(word string, answer func(rest string) string) {
	if d != nil {
		d.offers.Store(word, answer)
	}
}

// alone is an answer to a call of one word.
func alone(answer func() string) func(rest string) string {
	return func(rest string) string {
		if rest != "" {
			return unknownCall
		}
		return answer()
	}
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
	// Closing with bytes unread would reset the connection, and the reply with it: the sending side ends first, and what the
	// caller has sent behind its line is read off.
	if half, ok := c.Conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetDeadline(time.Now().Add(drainTime))
	_, _ = io.CopyN(io.Discard, c, maxBody)
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
	}
	word, rest, _ := strings.Cut(call, " ")
	if answer, ok := d.offers.Load(word); ok {
		return []byte(answer.(func(string) string)(rest) + "\n")
	}
	return []byte(unknownCall + "\n")
}

// ask has the loop answer an operator's line; for goroutines of the door.
func (l *loop) ask(answer func() string) string {
	c := doorCall{answer, make(chan string, 1)}
	timer := time.NewTimer(doorWait)
	defer timer.Stop()
	select {
	case l.inbox <- c:
	case <-timer.C:
		return "ERR this relay is too busy"
	}
	select {
	case reply := <-c.reply:
		return reply
	case <-timer.C:
		return "ERR no answer in time: ask for the status"
	}
}
