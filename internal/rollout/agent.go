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

// Runner runs the processes of one relay for its agent. Change brings a version's program into service, from whatever
// runs now, and returns when the new process takes clients or an error tells why it does not; with an error the relay
// has been given back what ran before, as far as that can be had. A Runner's methods are called one at a time, but
// Figures at any time.
type Runner interface {
	Update(ctx context.Context, program string) error
	Metrics() (Metrics, error)
}

// Server is the agent of one relay: it keeps versions' programs by their checksums, and obeys the latest controller.
type Server struct {
	relay   int
	dir     string
	runner  Runner
	formats func(context.Context, string) (compat.FormatVersions, error) // compat.Ask, except in tests

	mu        sync.Mutex
	state     agentState
	updating  bool
	lastError string
	work      sync.WaitGroup
	ctx       context.Context
	stop      context.CancelFunc
	listener  net.Listener
}

// agentState is what outlasts an agent's process.
type agentState struct {
	FencingToken uint64 `json:"fence"`
	Version      string `json:"version"` // that runs, by its checksum
	UpdatingTo   string `json:"going"`   // that a change was under way to
}

const (
	agentStateName = "agent.json"
	versionsName   = "versions"
	// requestTimeout bounds one request; maxRequest its length.
	requestTimeout = 5 * time.Second
	maxRequestSize = 1 << 16
)

// request is one line to an agent, reply its answer.
type request struct {
	Operation    string `json:"op"` // "status", "keep", "forms" or "change"
	FencingToken uint64 `json:"fence"`
	Checksum     string `json:"sum,omitempty"`
	Path         string `json:"path,omitempty"`
}

type reply struct {
	Error     string   `json:"error,omitempty"`
	Relay     int      `json:"relay"`
	Version   string   `json:"version"`
	Settled   bool     `json:"settled"`
	LastError string   `json:"last,omitempty"` // what went wrong in the last change
	Metrics   *Metrics `json:"figures,omitempty"`
	// Of "forms": of the version that runs, and of the one that was asked for; Unsaid is why one could not be had.
	CurrentFormats *compat.FormatVersions `json:"now,omitempty"`
	NextFormats    *compat.FormatVersions `json:"next,omitempty"`
	FormatsError   string                 `json:"unsaid,omitempty"`
}

// NewServer gives the agent of a relay whose folder for programs and state is dir. version is the program that runs,
// where the agent starts for the first time.
func NewServer(relay int, dir, version string, runner Runner) (*Server, error) {
	if err := os.MkdirAll(filepath.Join(dir, versionsName), 0o700); err != nil {
		return nil, err
	}
	s := &Server{relay: relay, dir: dir, runner: runner, formats: compat.QueryProgram}
	text, err := os.ReadFile(filepath.Join(dir, agentStateName))
	if err == nil {
		err = json.Unmarshal(text, &s.state)
	} else if errors.Is(err, fs.ErrNotExist) {
		sum, kept := s.storeProgram(version, "")
		if kept != nil {
			return nil, kept
		}
		s.state.Version = sum
		err = s.save()
	}
	if err != nil {
		return nil, fmt.Errorf("agent of relay %d: %w", relay, err)
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	if s.state.UpdatingTo != "" { // the agent ended within a change: it is made again
		s.startUpdate(s.state.UpdatingTo)
	}
	return s, nil
}

// Listen serves at a loopback address until Close.
func (s *Server) Listen(address string) (string, error) {
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return "", fmt.Errorf("an agent listens on loopback alone, not on %q", address)
	}
	if s.listener, err = net.Listen("tcp", address); err != nil {
		return "", err
	}
	s.work.Go(func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.work.Go(func() { s.serveConn(c) })
		}
	})
	return s.listener.Addr().String(), nil
}

// Close ends the agent and waits for a change that is under way.
func (s *Server) Close() {
	s.stop()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.work.Wait()
}

func (s *Server) serveConn(c net.Conn) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(requestTimeout))
	line, err := bufio.NewReader(io.LimitReader(c, maxRequestSize)).ReadBytes('\n')
	var q request
	if err == nil {
		err = json.Unmarshal(line, &q)
	}
	r := reply{Relay: s.relay}
	if err == nil {
		err = s.handle(q, &r)
	}
	if err != nil {
		r.Error = err.Error()
	}
	text, _ := json.Marshal(r) // of numbers and texts
	_, _ = c.Write(append(text, '\n'))
}

// ErrStaleToken says that an agent has heard of a later controller.
var ErrStaleToken = errors.New("fenced: a later controller is known")

// handle does what a request asks for. All of it may be asked for again.
func (s *Server) handle(q request, r *reply) error {
	if q.Operation == "status" {
		if f, err := s.runner.Metrics(); err == nil {
			r.Metrics = &f
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { r.Version, r.Settled, r.LastError = s.state.Version, !s.updating, s.lastError }()
	if q.FencingToken < s.state.FencingToken {
		return ErrStaleToken
	}
	if q.FencingToken > s.state.FencingToken {
		s.state.FencingToken = q.FencingToken
		if err := s.save(); err != nil {
			return err
		}
	}
	switch q.Operation {
	case "status":
		return nil
	case "keep":
		_, err := s.storeProgram(q.Path, q.Checksum)
		return err
	case "forms":
		for _, of := range []struct {
			sum string
			to  **compat.FormatVersions
		}{{s.state.Version, &r.CurrentFormats}, {q.Checksum, &r.NextFormats}} {
			f, err := s.formats(s.ctx, s.program(of.sum))
			if err != nil {
				r.FormatsError = fmt.Sprintf("version %.12s: %v", of.sum, err)
				return nil
			}
			*of.to = &f
		}
		return nil
	case "change":
		if s.updating || s.state.Version == q.Checksum && s.lastError == "" {
			return nil // under way, or done
		}
		if _, err := os.Stat(s.program(q.Checksum)); err != nil {
			return fmt.Errorf("version %.12s is not kept here", q.Checksum)
		}
		s.state.UpdatingTo = q.Checksum
		if err := s.save(); err != nil {
			s.state.UpdatingTo = ""
			return err
		}
		s.startUpdate(q.Checksum)
		return nil
	}
	return fmt.Errorf("%q is asked for by no controller", q.Operation)
}

// startUpdate makes a change beside the requests; the caller holds mu, or is alone.
func (s *Server) startUpdate(to string) {
	s.updating, s.lastError = true, ""
	s.work.Go(func() {
		err := s.runner.Update(s.ctx, s.program(to))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.updating = false
		if s.ctx.Err() != nil {
			return // this agent's next process goes on
		}
		if err == nil {
			s.state.Version = to
		} else {
			s.lastError = err.Error()
		}
		s.state.UpdatingTo = ""
		if err := s.save(); err != nil {
			s.lastError = err.Error()
		}
	})
}

func (s *Server) program(sum string) string {
	return filepath.Join(s.dir, versionsName, filepath.Base(sum))
}

// storeProgram takes a program in by its checksum, whole or not at all.
func (s *Server) storeProgram(path, want string) (string, error) {
	sum, err := Checksum(path)
	if err != nil {
		return "", err
	}
	if want != "" && sum != want {
		return "", fmt.Errorf("%s has checksum %.12s, not %.12s", path, sum, want)
	}
	to := s.program(sum)
	if have, err := Checksum(to); err == nil && have == sum {
		return sum, nil
	}
	from, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer from.Close()
	next := to + ".new"
	f, err := os.OpenFile(next, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o700)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(f, from)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return "", errors.Join(err, os.Remove(next))
	}
	return sum, os.Rename(next, to)
}

func (s *Server) save() error {
	text, err := json.Marshal(s.state)
	if err != nil {
		return err
	}
	return atomicfile.Replace(filepath.Join(s.dir, agentStateName), text)
}

// call puts one request to an agent.
func call(ctx context.Context, address string, q request) (r reply, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var dial net.Dialer
	c, err := dial.DialContext(ctx, "tcp", address)
	if err != nil {
		return r, err
	}
	defer c.Close()
	if at, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(at)
	}
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	text, err := json.Marshal(q)
	if err != nil {
		return r, err
	}
	if _, err := c.Write(append(text, '\n')); err != nil {
		return r, err
	}
	if err := json.NewDecoder(io.LimitReader(c, maxRequestSize)).Decode(&r); err != nil {
		return r, err
	}
	switch r.Error {
	case "":
		return r, nil
	case ErrStaleToken.Error():
		return r, ErrStaleToken
	}
	return r, errors.New(r.Error)
}

// CurrentProgram is the program that the relay of an agent's folder runs: the one given, until a rollout has changed it.
func CurrentProgram(dir, first string) (string, error) {
	text, err := os.ReadFile(filepath.Join(dir, agentStateName))
	if errors.Is(err, fs.ErrNotExist) {
		return first, nil
	}
	var state agentState
	if err == nil {
		err = json.Unmarshal(text, &state)
	}
	return filepath.Join(dir, versionsName, filepath.Base(state.Version)), err
}
