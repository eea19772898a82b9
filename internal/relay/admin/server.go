// Package admin serves the admin endpoint, where operators send commands: each connection carries one line and gets one reply. It
// has its own listener and connection limit, so that many client connections can't keep an operator out.
package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/listener"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/protocol"
	"milletsail/internal/relay/socket"
)

const (
	// maxConnections bounds the open connections. At the limit, a new one replaces the oldest one that has sent no command, or waits
	// until a connection ends.
	maxConnections = 8
	// minCommandTime is how long a connection may be open without a command before a new one can replace it.
	minCommandTime = 5 * time.Millisecond
	// ioTimeout bounds the reading of a command, and again the writing of the reply.
	ioTimeout = 2 * time.Second
	// drainTimeout bounds the reading and discarding of data that follows a command.
	drainTimeout = 100 * time.Millisecond
	// maxCommandSize is the maximum length of a command's line in bytes.
	maxCommandSize = 128
)

// Replies to commands that can't be answered. Operators' scripts match the texts of replies, so they must not change.
const (
	unknownCommand   = "ERR unknown call"
	malformedCommand = "ERR no call in one line of at most 128 bytes\n"
)

// Handler returns the reply to a command; arguments is the rest of the line after the command's first word.
type Handler func(arguments string) string

// Server answers commands at an admin endpoint. A nil Server stands for a relay without one: its Handle and Close do nothing.
type Server struct {
	listener net.Listener
	metrics  *metrics.Metrics
	handlers sync.Map // a Handler by the first word of the command

	ended chan bool // signals that a session has ended

	mu   sync.Mutex
	open []*session // in the order of their connections, the oldest first
}

// session is one connection of an operator.
type session struct {
	net.Conn
	openedAt        instant.Time
	commandReceived bool // set once the command was read; from then on the session is not evicted
}

// Listen opens the admin endpoint at an address; Serve then answers commands there. The end of ctx does not interrupt Listen.
func Listen(ctx context.Context, address string, m *metrics.Metrics) (*Server, error) {
	var config net.ListenConfig
	ctx = context.WithoutCancel(ctx)
	socket, err := listener.Listen(ctx, "admin endpoint", func() (net.Listener, error) { return config.Listen(ctx, "tcp", address) })
	if err != nil {
		return nil, fmt.Errorf("admin endpoint: %w", err)
	}
	return &Server{listener: listener.New(socket, "admin endpoint", &m.Reasons), metrics: m, ended: make(chan bool, 1)}, nil
}

// Handle registers the handler of the commands whose first word is name. It is safe for concurrent use with Serve.
func (s *Server) Handle(name string, handler Handler) {
	if s != nil {
		s.handlers.Store(name, handler)
	}
}

// WithoutArguments returns a handler that rejects any arguments and otherwise calls answer.
func WithoutArguments(answer func() string) Handler {
	return func(arguments string) string {
		if arguments != "" {
			return unknownCommand
		}
		return answer()
	}
}

// Serve answers commands until Close is called. It starts a goroutine for each session, which ends by the session's deadlines.
// Nothing waits for these goroutines, so that a slow operator does not delay the shutdown of the process.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil { // the listener is closed
			return
		}
		go s.serveSession(s.openSession(conn))
	}
}

// Close stops accepting connections, which ends Serve.
func (s *Server) Close() error {
	if s == nil {
		return nil
	}
	return s.listener.Close()
}

// openSession opens a session for a connection. At maxConnections it evicts the oldest session that has sent no command for
// minCommandTime, or waits until there is one or a session ends, which the deadlines of sessions bound. Callers are served in the
// order of their connections, so that none of them takes the turns of the others.
func (s *Server) openSession(conn net.Conn) *session {
	c := &session{Conn: conn, openedAt: clock.Now()}
	for !s.add(c) {
		retry := time.NewTimer(minCommandTime)
		select {
		case <-s.ended:
		case <-retry.C:
		}
		retry.Stop()
	}
	return c
}

// add adds a session to the open ones, in place of an evicted one if there are maxConnections. It reports false if it cannot.
func (s *Server) add(c *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= maxConnections {
		i := slices.IndexFunc(s.open, func(o *session) bool {
			return !o.commandReceived && clock.Since(o.openedAt) >= minCommandTime && !socket.HasUnread(o.Conn)
		})
		if i < 0 {
			return false
		}
		_ = s.open[i].Close()
		s.open = slices.Delete(s.open, i, i+1)
	}
	s.open = append(s.open, c)
	return true
}

// markReceived records that a session's command was read, and reports whether the session has not been evicted before.
func (s *Server) markReceived(c *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.commandReceived = true
	return slices.Contains(s.open, c)
}

// closeSession closes a session's connection and removes the session from the open ones.
func (s *Server) closeSession(c *session) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = slices.DeleteFunc(s.open, func(o *session) bool { return o == c })
	select {
	case s.ended <- true:
	default:
	}
}

// serveSession reads a session's command, writes the reply and ends the session.
func (s *Server) serveSession(session *session) {
	defer s.closeSession(session)
	_ = session.SetDeadline(time.Now().Add(ioTimeout))
	line, err := bufio.NewReader(io.LimitReader(session, maxCommandSize)).ReadString('\n')
	if !s.markReceived(session) {
		return
	}
	_ = session.SetDeadline(time.Now().Add(ioTimeout))
	// A caller may close its sending side instead of sending the newline.
	complete := err == nil || errors.Is(err, io.EOF) && len(line) < maxCommandSize
	reply := []byte(malformedCommand)
	if complete {
		reply = s.reply(strings.TrimSpace(line))
	}
	if _, err := session.Write(reply); err != nil {
		slog.Debug("admin reply not written", "error", err)
	}
	// Closing a connection with unread data would reset it, and the caller could lose the reply. So only the sending side is
	// closed first, and data that the caller sent after its command is discarded.
	if tcp, ok := session.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = session.SetDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, session, protocol.MaxBodySize)
}

// reply returns the reply to one command, with its final newline.
func (s *Server) reply(command string) []byte {
	switch command {
	case "health":
		return []byte(s.health() + "\n")
	case "counters":
		return append(s.metrics.Text(), "END\n"...)
	}
	name, arguments, _ := strings.Cut(command, " ")
	if value, ok := s.handlers.Load(name); ok {
		if handler, ok := value.(Handler); ok {
			return []byte(handler(arguments) + "\n")
		}
	}
	return []byte(unknownCommand + "\n")
}

// health returns "OK" if this process accepts messages, else the reason why it does not.
func (s *Server) health() string {
	if err := s.metrics.StorageError.Load(); err != nil {
		return "ERR nothing is taken on: " + *err
	}
	if !s.metrics.Serving.Load() {
		return "ERR this process takes no clients now"
	}
	return "OK"
}
