package frontend

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/protocol"
	"milletsail/internal/relay/socket"
	"milletsail/internal/settings"
	"milletsail/policy"
)

// MaxIDSize is the maximum size in bytes of a Request-Id and of an Idempotency-Key.
const MaxIDSize = 256

// destinationField matches the destination number in an X-Envelope header, such as "dest=7".
var destinationField = regexp.MustCompile(`(?:^|[,;\s])dest=(\d{1,9})(?:$|[,;\s])`)

// timeoutFormat matches a Request-Timeout header: a decimal number of seconds.
var timeoutFormat = regexp.MustCompile(`^\d{1,9}(?:\.\d+)?$`)

// Submission is a message that a client submits, with the channel for the response to it.
type Submission struct {
	// Entry is the message as it is written to the journal.
	Entry *journal.Entry
	// Response receives at most one response, and may receive none if the client leaves first. It is buffered, so that sending the
	// response never blocks.
	Response chan Response
	// Conn is the client's connection; nil if another process has it.
	Conn *Connection
}

// ClientLeft reports whether the client has closed its connection.
func (s *Submission) ClientLeft() bool { return s.Conn != nil && socket.ClosedByPeer(s.Conn.Conn) }

// Response is the relay's HTTP response to a submission. It has no body.
type Response struct {
	// Status is the HTTP status.
	Status int
	// RetryAfter is the wait after which the client may submit the message again; 0 sends no Retry-After header.
	RetryAfter time.Duration
}

// requestError describes why a request is malformed, and holds the HTTP status of the response.
type requestError struct {
	status int
	err    error
}

func (e *requestError) Error() string { return e.err.Error() }

func (e *requestError) Unwrap() error { return e.err }

// malformed returns a requestError with a status and a formatted message.
func malformed(status int, format string, args ...any) error {
	return &requestError{status, fmt.Errorf(format, args...)}
}

// parseMessage validates a request that arrived on a connection and returns its message. Every error is a requestError with a 4xx
// status, or with 503 if there is no memory for the request.
func (s *Server) parseMessage(request *http.Request, c *Connection) (*Submission, error) {
	now := clock.Now()
	name := strings.Split(strings.TrimPrefix(request.URL.Path, "/"), "/")[0]
	class := s.classes[name]
	if class == nil {
		return nil, malformed(http.StatusNotFound, "unknown class %q in the path", name)
	}
	if tenant := request.Header.Get("Tenant"); len(s.tenants) > 0 && !s.tenants[tenant] {
		return nil, malformed(http.StatusBadRequest, "unknown tenant %q in the Tenant header", tenant)
	}
	id, key := request.Header.Get("Request-Id"), request.Header.Get("Idempotency-Key")
	if id == "" || len(id) > MaxIDSize || len(key) > MaxIDSize {
		return nil, malformed(http.StatusBadRequest,
			"Request-Id missing, or Request-Id or Idempotency-Key longer than %d bytes", MaxIDSize)
	}
	if key == "" && class.Effect == policy.IdempotentWithKey {
		return nil, malformed(http.StatusBadRequest, "Idempotency-Key missing, but class %q requires one", name)
	}
	destination, err := parseDestination(request.Header.Get("X-Envelope"))
	if err != nil {
		return nil, err
	}
	timeout, err := parseTimeout(request.Header.Get("Request-Timeout"))
	if err != nil {
		return nil, err
	}
	body, err := readBody(request, c)
	if err != nil {
		return nil, err
	}
	// The client's time-out began when it sent the request. The deadline of the class bounds the time that a message gets.
	expiresAt := now.Add(settings.Seconds(min(timeout, class.Deadline.Seconds())))
	return &Submission{Response: make(chan Response, 1), Conn: c,
		Entry: &journal.Entry{ID: id, Class: name, Dest: destination, Key: key, ExpiresAt: expiresAt, Body: body}}, nil
}

// parseDestination returns the destination number in an X-Envelope header.
func parseDestination(header string) (int, error) {
	match := destinationField.FindStringSubmatch(header)
	if match == nil {
		return 0, malformed(http.StatusBadRequest, "no destination in X-Envelope %q", header)
	}
	destination, err := strconv.Atoi(match[1])
	if err != nil {
		return 0, malformed(http.StatusBadRequest, "destination in X-Envelope: %w", err)
	}
	return destination, nil
}

// parseTimeout returns the number of seconds in a Request-Timeout header.
func parseTimeout(header string) (float64, error) {
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || !(seconds > 0) || !timeoutFormat.MatchString(header) {
		return 0, malformed(http.StatusBadRequest, "Request-Timeout %q is not a positive number of seconds", header)
	}
	return seconds, nil
}

// readBody reads the body of a request, of at most protocol.MaxBodySize bytes. It takes the memory for a large one first.
func readBody(r *http.Request, c *Connection) ([]byte, error) {
	size := r.ContentLength
	if size > protocol.MaxBodySize {
		return nil, malformed(http.StatusRequestEntityTooLarge, "body of %d bytes is longer than %d", size, protocol.MaxBodySize)
	}
	if size > initialHeadSize && c != nil && !c.reserve(size) {
		return nil, malformed(http.StatusServiceUnavailable, "no memory for a body of %d bytes", size)
	}
	body := make([]byte, max(size, 0))
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, malformed(http.StatusBadRequest, "body not read completely: %w", err)
	}
	return body, nil
}
