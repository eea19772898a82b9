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

// Runner runs the processes of one relay for its agent. Calls of Update do not overlap; Metrics may be called at any time.
type Runner interface {
	// Update replaces the running process by one of another program, and returns when the new process serves clients. If it returns
	// an error, it has tried to restore the old program.
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
	lastError string // error of the last update, or empty

	work     sync.WaitGroup     // goroutines of the listener, of requests and of updates
	close    context.CancelFunc // closes closed
	closed   <-chan struct{}
	listener net.Listener
}

// agentState is the part of an agent's state that is stored on disk and survives a restart.
type agentState struct {
	FencingToken uint64 `json:"fence"`   // latest fencing token that the agent has seen
	Version      string `json:"version"` // checksum of the current program
	UpdatingTo   string `json:"going"`   // checksum of the program that a running update installs, or empty
}

// agentStateName is the name of the file in the agent's directory that holds agentState.
const agentStateName = "agent.json"

// NewServer returns the agent of a relay, which stores programs and its state in dir. program is the path of the program that the
// relay runs if the agent has no stored state. An update that was running when the agent's last process ended is repeated.
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

// load reads the stored state. If there is none, it stores the program and creates the state for it.
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

// Listen starts to accept requests at a loopback address, until Close, and returns the address with the actual port.
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

// Close stops accepting requests, cancels a running update and waits for the end of both. The agent's next process repeats the
// update. Further calls do nothing.
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

// serveConn reads one request from a connection, replies, and closes the connection.
func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout)) // if this fails, the client's own timeout ends the exchange
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
		return // the controller gets no reply and tries again
	}
	_, _ = conn.Write(append(text, '\n')) // the controller treats a lost reply like a lost request and repeats it
}

// handle carries out a request and fills in the reply.
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

// checkToken compares a request's fencing token with the latest one. It stores a later token, and returns ErrStaleToken for an
// earlier one. The caller holds mu.
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

// reportFormats fills in the formats of the current version and of the version with the checksum next. The caller holds mu.
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

// update starts an update to a stored version. It does nothing if an update is running, or if the relay has the version already and
// its last update did not fail. The caller holds mu.
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

// startUpdate runs an update in a goroutine, which Close cancels and waits for. The caller holds mu, unless it is NewServer.
func (s *Server) startUpdate(checksum string) {
	s.updating, s.lastError = true, ""
	s.work.Go(func() {
		ctx, cancel := s.newContext()
		defer cancel()
		s.endUpdate(checksum, s.runner.Update(ctx, s.programPath(checksum)))
	})
}

// endUpdate records the result of an update in the stored state.
func (s *Server) endUpdate(checksum string, updateErr error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updating = false
	if s.isClosed() {
		return // the stored state still has the running update, which the agent's next process repeats
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
