// Package frontend serves the clients of a relay: it has an HTTP server that turns requests into submissions, and a limiter of
// client connections.
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
	"milletsail/internal/relay/protocol"
	"milletsail/policy"
)

const (
	// ReadTimeout bounds the time to read a request. Clients send a request without delay, and the protocol requires that a
	// peer without a valid request gets an error or a closed connection within 3 s.
	ReadTimeout = 2500 * time.Millisecond
	// idleTimeout is how long a client may keep a connection open without a request. It is the shortest time that the platform
	// allows, so that peers with idle connections do not use up the capacity for clients.
	idleTimeout = 2 * time.Second
	// overloadRetryAfter is the wait that a client is asked for whose request finds no memory.
	overloadRetryAfter = 300 * time.Millisecond
)

// malformedRequests is the name of the counter of malformed requests by response status.
const malformedRequests = "relay_malformed_requests"

// connectionKey is the context key of the Connection that a request arrived on.
type connectionKey struct{}

// Server answers the requests of clients. net/http runs its handler in one goroutine for each connection.
type Server struct {
	classes  map[string]*policy.Class
	tenants  map[string]bool
	submit   func(*Submission)
	withdraw func(*Submission)
	reasons  *metrics.ReasonCounters
	draining atomic.Bool // whether responses have the header Connection: close
	http     *http.Server
}

// NewServer returns a server that passes each message to submit, and passes it to withdraw if its client disconnects before the
// response. Both functions may block and have to be safe for concurrent use.
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
		MaxHeaderBytes: protocol.MaxHeadSize, ConnState: connectionStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	return server
}

// connectionStateChanged makes a connection idle when net/http reports that its response is written.
func connectionStateChanged(c net.Conn, state http.ConnState) {
	if c, ok := c.(*Connection); ok && state == http.StateIdle {
		c.finishRequest()
	}
}

// Serve answers requests on the connections that the limiter accepts, until the limiter is closed.
func (s *Server) Serve(limiter *ConnectionLimiter) error { return s.http.Serve(limiter) }

// StartDraining makes every further response close its connection.
func (s *Server) StartDraining() { s.draining.Store(true) }

// Shutdown stops accepting clients, closes idle connections at once, and waits until the other connections have had their
// responses and are closed, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// handle dispatches a request to the health check or to handleMessage. The health check always answers 200, since the relay
// accepts connections only once its journal is replayed.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	c := connectionOf(r)
	if c != nil {
		c.pause() // unless the request hands in a message
	}
	switch {
	case len(r.TransferEncoding) > 0:
		// net/http discards a Content-Length that contradicts the chunked encoding. The bytes after the chunks could then be a
		// part of the body that is crafted to look like another request (request smuggling).
		s.rejectMalformed(w, malformed(http.StatusLengthRequired, "Transfer-Encoding is set, but a Content-Length is required"))
	case r.URL.Path == "/_health" && r.Method == http.MethodGet:
		s.respond(w, Response{Status: http.StatusOK})
	case r.Method != http.MethodPost:
		s.respond(w, Response{Status: http.StatusMethodNotAllowed})
	default:
		s.handleMessage(w, r, c)
	}
}

// connectionOf returns the connection that a request arrived on, or nil if it is none of a ConnectionLimiter.
func connectionOf(r *http.Request) *Connection {
	c, _ := r.Context().Value(connectionKey{}).(*Connection)
	return c
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

// handleMessage parses a request, submits its message and writes the response.
func (s *Server) handleMessage(w http.ResponseWriter, r *http.Request, c *Connection) {
	submission, err := s.parseMessage(r, c)
	if err != nil {
		s.rejectMalformed(w, err)
		return
	}
	if c != nil {
		if !c.startRequest() {
			panic(http.ErrAbortHandler) // the relay closed the connection before the request was complete
		}
		c.pausedUntil = 0
	}
	s.submit(submission)
	select {
	case response := <-submission.Response:
		s.respond(w, response)
	case <-r.Context().Done():
		// The client disconnected before its response. It may submit the message again, so this submission is withdrawn. The
		// panic prevents net/http from sending 200 to a client that closed only its sending side.
		s.withdraw(submission)
		panic(http.ErrAbortHandler)
	}
}

// rejectMalformed counts and logs a malformed request, answers it with the status of err and closes the connection.
func (s *Server) rejectMalformed(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if e := new(requestError); errors.As(err, &e) {
		status = e.status
	}
	slog.Debug("request malformed", "status", status, "error", err)
	s.reasons.Add(malformedRequests, strconv.Itoa(status), 1)
	// The boundary between this request and the next may be unknown, so the connection is not reused.
	w.Header().Set("Connection", "close")
	response := Response{Status: status}
	if status == http.StatusServiceUnavailable {
		response.RetryAfter = overloadRetryAfter
	}
	s.respond(w, response)
}
