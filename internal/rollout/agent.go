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
	"strconv"
	"strings"
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
	Change(ctx context.Context, program string) error
	Figures() (Figures, error)
}

// Server is the agent of one relay: it keeps versions' programs by their checksums, and obeys the latest controller.
type Server struct {
	relay   int
	dir     string
	runner  Runner
	formats func(context.Context, string) (compat.FormatVersions, error) // compat.Ask, except in tests

	mu       sync.Mutex
	state    agentState
	changing bool
	lastErr  string
	work     sync.WaitGroup
	ctx      context.Context
	stop     context.CancelFunc
	listener net.Listener
}

// agentState is what outlasts an agent's process.
type agentState struct {
	Fence   uint64 `json:"fence"`
	Version string `json:"version"` // that runs, by its checksum
	Going   string `json:"going"`   // that a change was under way to
}

const (
	agentStateName = "agent.json"
	versionsName   = "versions"
	// agentTime bounds one request; maxRequest its length.
	agentTime  = 5 * time.Second
	maxRequest = 1 << 16
)

// request is one line to an agent, reply its answer.
type request struct {
	Op    string `json:"op"` // "status", "keep", "forms" or "change"
	Fence uint64 `json:"fence"`
	Sum   string `json:"sum,omitempty"`
	Path  string `json:"path,omitempty"`
}

type reply struct {
	Error   string   `json:"error,omitempty"`
	Relay   int      `json:"relay"`
	Version string   `json:"version"`
	Settled bool     `json:"settled"`
	Last    string   `json:"last,omitempty"` // what went wrong in the last change
	Figures *Figures `json:"figures,omitempty"`
	// Of "forms": of the version that runs, and of the one that was asked for; Unsaid is why one could not be had.
	Now    *compat.FormatVersions `json:"now,omitempty"`
	Next   *compat.FormatVersions `json:"next,omitempty"`
	Unsaid string                 `json:"unsaid,omitempty"`
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
		sum, kept := s.keep(version, "")
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
	if s.state.Going != "" { // the agent ended within a change: it is made again
		s.begin(s.state.Going)
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
			s.work.Go(func() { s.answer(c) })
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

func (s *Server) answer(c net.Conn) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(agentTime))
	line, err := bufio.NewReader(io.LimitReader(c, maxRequest)).ReadBytes('\n')
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

// ErrFenced says that an agent has heard of a later controller.
var ErrFenced = errors.New("fenced: a later controller is known")

// handle does what a request asks for. All of it may be asked for again.
func (s *Server) handle(q request, r *reply) error {
	if q.Op == "status" {
		if f, err := s.runner.Figures(); err == nil {
			r.Figures = &f
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { r.Version, r.Settled, r.Last = s.state.Version, !s.changing, s.lastErr }()
	if q.Fence < s.state.Fence {
		return ErrFenced
	}
	if q.Fence > s.state.Fence {
		s.state.Fence = q.Fence
		if err := s.save(); err != nil {
			return err
		}
	}
	switch q.Op {
	case "status":
		return nil
	case "keep":
		_, err := s.keep(q.Path, q.Sum)
		return err
	case "forms":
		for _, of := range []struct {
			sum string
			to  **compat.FormatVersions
		}{{s.state.Version, &r.Now}, {q.Sum, &r.Next}} {
			f, err := s.formats(s.ctx, s.program(of.sum))
			if err != nil {
				r.Unsaid = fmt.Sprintf("version %.12s: %v", of.sum, err)
				return nil
			}
			*of.to = &f
		}
		return nil
	case "change":
		if s.changing || s.state.Version == q.Sum && s.lastErr == "" {
			return nil // under way, or done
		}
		if _, err := os.Stat(s.program(q.Sum)); err != nil {
			return fmt.Errorf("version %.12s is not kept here", q.Sum)
		}
		s.state.Going = q.Sum
		if err := s.save(); err != nil {
			s.state.Going = ""
			return err
		}
		s.begin(q.Sum)
		return nil
	}
	return fmt.Errorf("%q is asked for by no controller", q.Op)
}

// begin makes a change beside the requests; the caller holds mu, or is alone.
func (s *Server) begin(to string) {
	s.changing, s.lastErr = true, ""
	s.work.Go(func() {
		err := s.runner.Change(s.ctx, s.program(to))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changing = false
		if s.ctx.Err() != nil {
			return // this agent's next process goes on
		}
		if err == nil {
			s.state.Version = to
		} else {
			s.lastErr = err.Error()
		}
		s.state.Going = ""
		if err := s.save(); err != nil {
			s.lastErr = err.Error()
		}
	})
}

func (s *Server) program(sum string) string {
	return filepath.Join(s.dir, versionsName, filepath.Base(sum))
}

// keep takes a program in by its checksum, whole or not at all.
func (s *Server) keep(path, want string) (string, error) {
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
	ctx, cancel := context.WithTimeout(ctx, agentTime)
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
	if err := json.NewDecoder(io.LimitReader(c, maxRequest)).Decode(&r); err != nil {
		return r, err
	}
	switch r.Error {
	case "":
		return r, nil
	case ErrFenced.Error():
		return r, ErrFenced
	}
	return r, errors.New(r.Error)
}

// ParseCounters reads a relay's admin endpoint's reply to "counters".
func ParseCounters(text string) (f Figures, err error) {
	f.Ends = map[string][3]int64{}
	results := map[string]int{"completed": 0, "rejected": 1, "failed": 2}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		n, err := strconv.ParseInt(value, 10, 64)
		if rest, ok := strings.CutPrefix(name, "relay_downstream_requests{lane="); ok && err == nil {
			var class, result string
			if _, err := fmt.Sscanf(rest, "%q,result=%q}", &class, &result); err != nil {
				return f, fmt.Errorf("%q: %w", line, err)
			}
			ends := f.Ends[class]
			ends[results[result]] = n
			f.Ends[class] = ends
		}
		if name == "relay_pending" && err == nil {
			f.Pending = n
		}
	}
	if len(f.Ends) == 0 {
		return f, fmt.Errorf("no counters in %q", text)
	}
	return f, nil
}

// ParseZones reads a relay's admin endpoint's reply to "zone status": the zones that the relay has left. A relay that does not
// know the command has none.
func ParseZones(text string) (left []string) {
	var s struct {
		Zones []struct{ Zone, State string }
	}
	if json.Unmarshal([]byte(text), &s) != nil {
		return nil
	}
	for _, z := range s.Zones {
		if strings.HasPrefix(z.State, "evacuated") {
			left = append(left, z.Zone)
		}
	}
	return left
}

// Serving is the program that the relay of an agent's folder runs: the one given, until a rollout has changed it.
func Serving(dir, first string) (string, error) {
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
