// Package admin answers the commands of operators: a connection carries one line, and gets one reply. It stands apart from the
// clients' front end, so that no crowd there keeps an operator out.
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

	"milletsail/internal/relay/listener"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/protocol"
)

const (
	// maxConnections is how many connections are open at once; with all taken, the longest silent one is evicted.
	maxConnections = 8
	// ioTimeout is how long a caller has to send its command, and again to receive the reply.
	ioTimeout = 2 * time.Second
	// drainTimeout is how long what a caller sends behind its command is read off.
	drainTimeout = 100 * time.Millisecond
	// maxCommandSize bounds the line of a command in bytes.
	maxCommandSize = 128
)

// The replies that commands share. Operators' scripts match the texts of replies, so they stay as they are.
const (
	unknownCommand   = "ERR unknown call"
	malformedCommand = "ERR no call in one line of at most 128 bytes\n"
)

// Handler answers a command; arguments is what follows its first word.
type Handler func(arguments string) string

// Server answers commands. A nil Server is one without an endpoint: Handle and Close do nothing.
type Server struct {
	listener net.Listener
	metrics  *metrics.Metrics
	handlers sync.Map // by the first word of a command: Handler

	mu   sync.Mutex
	open []*session // the oldest first
}

// session is one connection of an operator.
type session struct {
	net.Conn
	commandReceived bool // it keeps its place until it has the reply
}

// Listen opens the endpoint at an address. Serve answers there. The end of ctx does not interrupt it.
func Listen(ctx context.Context, address string, m *metrics.Metrics) (*Server, error) {
	var config net.ListenConfig
	ctx = context.WithoutCancel(ctx)
	socket, err := listener.Listen(ctx, "admin endpoint", func() (net.Listener, error) { return config.Listen(ctx, "tcp", address) })
	if err != nil {
		return nil, fmt.Errorf("admin endpoint: %w", err)
	}
	return &Server{listener: listener.New(socket, "admin endpoint", &m.Reasons), metrics: m}, nil
}

// Handle has commands answered by their first word. It is safe for concurrent use with Serve.
func (s *Server) Handle(name string, handler Handler) {
	if s != nil {
		s.handlers.Store(name, handler)
	}
}

// WithoutArguments returns the handler of a command of one word.
func WithoutArguments(answer func() string) Handler {
	return func(arguments string) string {
		if arguments != "" {
			return unknownCommand
		}
		return answer()
	}
}

// Serve answers commands until Close. Each session has a goroutine, which its deadlines end; nobody waits for these, so that a
// slow operator does not delay the end of the process.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil { // closed
			return
		}
		if session := s.enter(conn); session != nil {
			go s.answer(session)
		}
	}
}

// Close stops accepting connections, which ends Serve.
func (s *Server) Close() error {
	if s == nil {
		return nil
	}
	return s.listener.Close()
}

// enter makes room for a connection, at the cost of the session that has been silent longest. With every place taken by one
// that is being replied to, it closes the connection and returns nil.
func (s *Server) enter(conn net.Conn) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= maxConnections {
		i := slices.IndexFunc(s.open, func(c *session) bool { return !c.commandReceived })
		if i < 0 {
			_ = conn.Close()
			return nil
		}
		_ = s.open[i].Close()
		s.open = slices.Delete(s.open, i, i+1)
	}
	c := &session{Conn: conn}
	s.open = append(s.open, c)
	return c
}

// markReceived notes that a session's command is here, and reports whether it still has its place.
func (s *Server) markReceived(c *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.commandReceived = true
	return slices.Contains(s.open, c)
}

// leave ends a session.
func (s *Server) leave(c *session) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = slices.DeleteFunc(s.open, func(o *session) bool { return o == c })
}

// answer reads a session's command and replies.
func (s *Server) answer(caller *session) {
	defer s.leave(caller)
	_ = caller.SetDeadline(time.Now().Add(ioTimeout))
	line, err := bufio.NewReader(io.LimitReader(caller, maxCommandSize)).ReadString('\n')
	if !s.markReceived(caller) {
		return
	}
	_ = caller.SetDeadline(time.Now().Add(ioTimeout))
	// The caller may end its line by ending its side.
	complete := err == nil || errors.Is(err, io.EOF) && len(line) < maxCommandSize
	reply := []byte(malformedCommand)
	if complete {
		reply = s.reply(strings.TrimSpace(line))
	}
	if _, err := caller.Write(reply); err != nil {
		slog.Debug("admin reply not written", "error", err)
	}
	// Closing with bytes unread would reset the connection, and the reply with it: the sending side ends first, and what the
	// caller has sent behind its command is read off.
	if half, ok := caller.Conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	_ = caller.SetDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, caller, protocol.MaxBodySize)
}

// reply answers one command.
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

// health says whether this process accepts messages.
func (s *Server) health() string {
	if err := s.metrics.StorageError.Load(); err != nil {
		return "ERR nothing is taken on: " + *err
	}
	if !s.metrics.Serving.Load() {
		return "ERR this process takes no clients now"
	}
	return "OK"
}
