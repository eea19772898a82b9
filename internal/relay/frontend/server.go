// Package frontend is the side of a relay that clients see: an HTTP server that turns requests into submissions, and a
// limiter of client connections.
package frontend

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"milletsail/internal/relay/config"
	"milletsail/internal/relay/metrics"
	"milletsail/policy"
)

const (
	// maxHeaderSize bounds the head of a request in bytes.
	maxHeaderSize = 16 << 10
	// ReadTimeout bounds the time to read a request: clients send at once, and a peer that sends nothing or no proper
	// request has to get a close or an error within 3 s.
	ReadTimeout = 2500 * time.Millisecond
	// idleTimeout is how long a client may keep a connection without a request: as short as the platform allows, so that
	// peers that open connections and leave them idle do not take those of clients.
	idleTimeout = 2 * time.Second
)

// malformedRequests counts malformed requests by status.
const malformedRequests = "relay_malformed_requests"

// connectionKey finds the connection of a request in its context.
type connectionKey struct{}

// Server answers the requests of clients. Each has a goroutine of net/http, which ends with its response.
type Server struct {
	classes  map[string]*policy.Class
	tenants  map[string]bool
	submit   func(*Submission)
	withdraw func(*Submission)
	reasons  *metrics.ReasonCounters
	draining atomic.Bool // answer with Connection: close
	http     *http.Server
}

// NewServer returns a server that hands each message to submit, and again to withdraw where its client leaves before the
// response. Both may block, and are called by many goroutines.
func NewServer(c *config.Config, reasons *metrics.ReasonCounters, submit, withdraw func(*Submission)) *Server {
	server := &Server{reasons: reasons, classes: map[string]*policy.Class{}, tenants: map[string]bool{}, submit: submit,
		withdraw: withdraw}
	for i := range c.Policy.Classes {
		server.classes[c.Policy.Classes[i].Name] = &c.Policy.Classes[i]
	}
	for _, t := range c.Settings.Tenants {
		server.tenants[t.Name] = true
	}
	server.http = &http.Server{Handler: http.HandlerFunc(server.handle), ReadTimeout: ReadTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderSize, ConnState: connectionStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	return server
}

// connectionStateChanged tells a connection that its last response is written.
func connectionStateChanged(c net.Conn, state http.ConnState) {
	if c, ok := c.(*Connection); ok && state == http.StateIdle {
		c.finishRequest()
	}
}

// Serve answers requests on the limiter's connections until it is closed.
func (s *Server) Serve(limiter *ConnectionLimiter) error { return s.http.Serve(limiter) }

// StartDraining has responses close their connections from now on.
func (s *Server) StartDraining() { s.draining.Store(true) }

// Shutdown closes the connections: those that are idle at once, the others once their responses are written, until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// handle separates messages from health checks. Those are answered 200: the relay listens only once its journal is
// replayed.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/_health" && r.Method == http.MethodGet:
		s.respond(w, Response{Status: http.StatusOK})
	case r.Method != http.MethodPost:
		s.respond(w, Response{Status: http.StatusMethodNotAllowed})
	default:
		s.handleMessage(w, r)
	}
}

// respond writes a response without a body.
func (s *Server) respond(w http.ResponseWriter, response Response) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if response.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(response.Status)
}

// handleMessage submits a message, and writes the response to it.
func (s *Server) handleMessage(w http.ResponseWriter, r *http.Request) {
	submission, err := s.parseMessage(w, r)
	if err != nil {
		s.rejectMalformed(w, err)
		return
	}
	if c, ok := r.Context().Value(connectionKey{}).(*Connection); ok && !c.startRequest() {
		panic(http.ErrAbortHandler) // the relay's close went before it
	}
	s.submit(submission)
	select {
	case response := <-submission.Response:
		s.respond(w, response)
	case <-r.Context().Done():
		// The client left before its response: it may submit the message again, and this one counts for nothing. One that
		// ended only its sending must not be told 200 by a handler that returns.
		s.withdraw(submission)
		panic(http.ErrAbortHandler)
	}
}

// rejectMalformed answers a malformed request.
func (s *Server) rejectMalformed(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if e := new(requestError); errors.As(err, &e) {
		status = e.status
	}
	slog.Debug("request malformed", "status", status, "error", err)
	s.reasons.Add(malformedRequests, strconv.Itoa(status), 1)
	// Where one request ended and the next began may be in doubt as well.
	w.Header().Set("Connection", "close")
	s.respond(w, Response{Status: status})
}
