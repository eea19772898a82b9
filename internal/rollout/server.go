package rollout

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"milletsail/internal/atomicfile"
	"milletsail/internal/compat"
)

// Runner runs the processes of one relay for its agent. Update and Stop are called one at a time, Metrics at any time.
type Runner interface {
	// Update replaces the running process by one of another program, and returns when that serves clients. With an error, the
	// runner has tried to restore the old program.
	Update(ctx context.Context, program string) error
	// Metrics returns a sample of the relay's metrics.
	Metrics() (Metrics, error)
}

// Server is the agent of one relay. It stores programs by their checksums and carries out the requests of the controller with
// the latest fencing token.
type Server struct {
	relay        int
	dir          string
	runner       Runner
	queryFormats func(context.Context, string) (compat.FormatVersions, error) // compat.QueryProgram, except in tests

	mu        sync.Mutex
	state     agentState
	updating  bool
	lastError string // of the last update

	work     sync.WaitGroup     // requests and updates
	close    context.CancelFunc // closes closed
	closed   <-chan struct{}
	listener net.Listener
}

// agentState is what survives a restart of an agent.
type agentState struct {
	FencingToken uint64 `json:"fence"`
	Version      string `json:"version"` // checksum of the current program
	UpdatingTo   string `json:"going"`   // checksum of a running update, or empty
}

// agentStateName is the file of the agent's state in its directory.
const agentStateName = "agent.json"

// NewServer returns the agent of a relay, which stores programs and its state in dir. program is the one that runs if the agent
// has no state yet. An update that was running when the agent's process ended is repeated.
func NewServer(relay int, dir, program string, runner Runner) (*Server, error) {
	if err := os.MkdirAll(filepath.Join(dir, versionsName), 0o700); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{relay: relay, dir: dir, runner: runner, queryFormats: compat.QueryProgram, close: cancel, closed: ctx.Done()}
	if err := s.load(program); err != nil {
		cancel()
		return nil, fmt.Errorf("agent of relay %d: %w", relay, err)
	}
	if s.state.UpdatingTo != "" {
		s.startUpdate(s.state.UpdatingTo)
	}
	return s, nil
}

// load reads the state, or creates it for a program.
func (s *Server) load(program string) error {
	state, err := readAgentState(s.dir)
	if !errors.Is(err, fs.ErrNotExist) {
		s.state = state
		return err
	}
	if s.state.Version, err = s.storeProgram(program, ""); err != nil {
		return err
	}
	return s.save()
}

func readAgentState(dir string) (state agentState, err error) {
	text, err := os.ReadFile(filepath.Join(dir, agentStateName))
	if err != nil {
		return state, err
	}
	err = json.Unmarshal(text, &state)
	return state, err
}

// save stores the state. The caller holds mu.
func (s *Server) save() error {
	text, err := json.Marshal(s.state)
	if err != nil {
		return err
	}
	return atomicfile.Replace(filepath.Join(s.dir, agentStateName), text)
}

// Listen accepts requests at a loopback address until Close, and returns the address with its port.
func (s *Server) Listen(address string) (string, error) {
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return "", fmt.Errorf("an agent listens on loopback addresses only, not on %q", address)
	}
	var config net.ListenConfig
	if s.listener, err = config.Listen(context.Background(), "tcp", address); err != nil {
		return "", err
	}
	s.work.Go(s.accept)
	return s.listener.Addr().String(), nil
}

// accept serves connections until the listener is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.work.Go(func() { s.serveConn(conn) })
	}
}

// Close stops accepting requests, cancels a running update and waits for its end. The agent's next process repeats it. Further
// calls do nothing.
func (s *Server) Close() {
	s.close()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.work.Wait()
}

// newContext returns a context that Close cancels.
func (s *Server) newContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() { // ends with ctx
		select {
		case <-s.closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// isClosed reports whether Close was called.
func (s *Server) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// serveConn answers the one request of a connection.
func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout)) // without a deadline the client's ends the connection
	line, err := bufio.NewReader(io.LimitReader(conn, maxRequestSize)).ReadBytes('\n')
	var received request
	if err == nil {
		err = json.Unmarshal(line, &received)
	}
	answer := reply{Relay: s.relay}
	if err == nil {
		err = s.handle(received, &answer)
	}
	if err != nil {
		answer.Error = err.Error()
	}
	text, err := json.Marshal(answer)
	if err != nil {
		return // a reply without encoding is none: the controller tries again
	}
	_, _ = conn.Write(append(text, '\n')) // a lost reply is as good as a lost request
}

// handle carries out a request and fills in the answer.
func (s *Server) handle(received request, answer *reply) error {
	if received.Operation == operationStatus {
		if metrics, err := s.runner.Metrics(); err == nil {
			answer.Metrics = &metrics
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { answer.Version, answer.Settled, answer.LastError = s.state.Version, !s.updating, s.lastError }()
	if err := s.checkToken(received.FencingToken); err != nil {
		return err
	}
	switch received.Operation {
	case operationStatus:
		return nil
	case operationStore:
		_, err := s.storeProgram(received.Path, received.Checksum)
		return err
	case operationFormats:
		s.reportFormats(received.Checksum, answer)
		return nil
	case operationUpdate:
		return s.update(received.Checksum)
	}
	return fmt.Errorf("unknown operation %q", received.Operation)
}

// checkToken stores a later fencing token, and returns ErrStaleToken for an earlier one. The caller holds mu.
func (s *Server) checkToken(token uint64) error {
	if token < s.state.FencingToken {
		return ErrStaleToken
	}
	if token == s.state.FencingToken {
		return nil
	}
	s.state.FencingToken = token
	return s.save()
}

// reportFormats fills in the formats of the current version and of the next one. The caller holds mu.
func (s *Server) reportFormats(next string, answer *reply) {
	ctx, cancel := s.newContext()
	defer cancel()
	for _, version := range []struct {
		checksum string
		formats  **compat.FormatVersions
	}{{s.state.Version, &answer.CurrentFormats}, {next, &answer.NextFormats}} {
		formats, err := s.queryFormats(ctx, s.programPath(version.checksum))
		if err != nil {
			answer.FormatsError = fmt.Sprintf("version %.12s: %v", version.checksum, err)
			return
		}
		*version.formats = &formats
	}
}

// update starts an update unless one is running, or the last one was to the same version and succeeded. The caller holds mu.
func (s *Server) update(checksum string) error {
	if s.updating || s.state.Version == checksum && s.lastError == "" {
		return nil
	}
	if _, err := os.Stat(s.programPath(checksum)); err != nil {
		return fmt.Errorf("version %.12s is not stored here", checksum)
	}
	s.state.UpdatingTo = checksum
	if err := s.save(); err != nil {
		s.state.UpdatingTo = ""
		return err
	}
	s.startUpdate(checksum)
	return nil
}

// startUpdate runs an update in a goroutine, which Close cancels and waits for. The caller holds mu, or has the only reference.
func (s *Server) startUpdate(checksum string) {
	s.updating, s.lastError = true, ""
	s.work.Go(func() {
		ctx, cancel := s.newContext()
		defer cancel()
		s.endUpdate(checksum, s.runner.Update(ctx, s.programPath(checksum)))
	})
}

// endUpdate stores the result of an update.
func (s *Server) endUpdate(checksum string, updateErr error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updating = false
	if s.isClosed() {
		return // the state still says that the update is running: the agent's next process repeats it
	}
	if updateErr == nil {
		s.state.Version = checksum
	} else {
		s.lastError = updateErr.Error()
	}
	s.state.UpdatingTo = ""
	if err := s.save(); err != nil {
		s.lastError = err.Error()
	}
}
