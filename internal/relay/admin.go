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

	"milletsail/internal/relay/listener"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/protocol"
)

const (
	// adminConnections connections of operators are open at once; with all taken, the longest silent one goes.
	adminConnections = 8
	// adminTimeout is how long a caller has for its call, and again for taking the reply.
	adminTimeout = 2 * time.Second
	// adminDrainTimeout is how long what a caller sends behind its line is read off.
	adminDrainTimeout = 100 * time.Millisecond
	// maxCall bounds the line of a call.
	maxCall = 128
	// adminLoopWait bounds how long an operator's line waits for the loop.
	adminLoopWait = time.Second
)

// adminCall is an operator's line: the loop gives the answer, which it alone can.
type adminCall struct {
	answer func() string
	reply  chan string // room for one
}

// adminServer answers operators: a connection carries one line, and gets one reply. It stands apart from the clients'
// side, so that no crowd there keeps an operator out.
type adminServer struct {
	listener net.Listener
	metrics  *metrics.Metrics
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

// offer has calls that begin with a word answered. Without an endpoint there is nobody to answer.
func (s *adminServer) offer(word string, answer func(rest string) string) {
	if s != nil {
		s.offers.Store(word, answer)
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

// openAdmin listens at an address.
func openAdmin(addr string, m *metrics.Metrics) (*adminServer, error) {
	l, err := listener.Listen("admin endpoint", func() (net.Listener, error) { return net.Listen("tcp", addr) })
	if err != nil {
		return nil, fmt.Errorf("admin endpoint: %w", err)
	}
	return &adminServer{listener: listener.New(l, "admin endpoint", &m.Reasons), metrics: m}, nil
}

// serve answers calls until the listener is closed.
func (s *adminServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil { // closed
			return
		}
		if caller := s.enter(c); caller != nil {
			go s.answer(caller)
		}
	}
}

// enter makes room for a caller, at the cost of the one that has been silent longest. With every place taken by
// one that is being replied to, it closes the connection and gives nil.
func (s *adminServer) enter(conn net.Conn) *caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= adminConnections {
		i := slices.IndexFunc(s.open, func(c *caller) bool { return !c.called })
		if i < 0 {
			_ = conn.Close()
			return nil
		}
		_ = s.open[i].Close()
		s.open = slices.Delete(s.open, i, i+1)
	}
	c := &caller{Conn: conn}
	s.open = append(s.open, c)
	return c
}

// called notes that a caller's line is here, and tells whether it still has its place.
func (s *adminServer) called(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.called = true
	return slices.Contains(s.open, c)
}

func (s *adminServer) leave(c *caller) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = slices.DeleteFunc(s.open, func(o *caller) bool { return o == c })
}

// answer reads a caller's line and replies.
func (s *adminServer) answer(c *caller) {
	defer s.leave(c)
	_ = c.SetDeadline(time.Now().Add(adminTimeout))
	line, err := bufio.NewReader(io.LimitReader(c, maxCall)).ReadString('\n')
	if !s.called(c) {
		return
	}
	_ = c.SetDeadline(time.Now().Add(adminTimeout))
	whole := err == nil || errors.Is(err, io.EOF) && len(line) < maxCall // the caller may end its line by ending its side
	reply := []byte("ERR no call in one line of at most 128 bytes\n")
	if whole {
		reply = s.reply(strings.TrimSpace(line))
	}
	if _, err := c.Write(reply); err != nil {
		slog.Debug("admin endpoint", "err", err)
	}
	// Closing with bytes unread would reset the connection, and the reply with it: the sending side ends first, and what the
	// caller has sent behind its line is read off.
	if half, ok := c.Conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetDeadline(time.Now().Add(adminDrainTimeout))
	_, _ = io.CopyN(io.Discard, c, protocol.MaxBodySize)
}

// reply answers one call.
func (s *adminServer) reply(call string) []byte {
	switch call {
	case "health":
		if why := s.metrics.StorageError.Load(); why != nil {
			return []byte("ERR nothing is taken on: " + *why + "\n")
		}
		if s.metrics.Serving.Load() {
			return []byte("OK\n")
		}
		return []byte("ERR this process takes no clients now\n")
	case "counters":
		return append(s.metrics.Text(), "END\n"...)
	}
	word, rest, _ := strings.Cut(call, " ")
	if answer, ok := s.offers.Load(word); ok {
		return []byte(answer.(func(string) string)(rest) + "\n")
	}
	return []byte(unknownCall + "\n")
}

// ask has the loop answer an operator's line; for goroutines of the admin endpoint.
func (l *loop) ask(answer func() string) string {
	c := adminCall{answer, make(chan string, 1)}
	timer := time.NewTimer(adminLoopWait)
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
