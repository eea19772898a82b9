package frontend

import (
	"errors"
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
	"milletsail/internal/settings"
	"milletsail/policy"
)

// MaxIDSize bounds an id or a key that a client sends, in bytes.
const MaxIDSize = 256

// destinationField finds the destination in the X-Envelope header.
var destinationField = regexp.MustCompile(`(?:^|[,;\s])dest=(\d{1,9})(?:$|[,;\s])`)

// timeoutFormat is the form of a Request-Timeout, in seconds.
var timeoutFormat = regexp.MustCompile(`^\d{1,9}(?:\.\d+)?$`)

// Submission is a message that a client submits.
type Submission struct {
	// Entry is the message.
	Entry *journal.Entry
	// Response receives one response, for which it has capacity.
	Response chan Response
}

// Response is the answer to a submission.
type Response struct {
	// Status is an HTTP status.
	Status int
	// RetryAfter is when the client may submit the message again; 0 for nothing said.
	RetryAfter time.Duration
}

// requestError is why a request is malformed, with the status that it gets.
type requestError struct {
	status int
	err    error
}

func (e *requestError) Error() string { return e.err.Error() }

func (e *requestError) Unwrap() error { return e.err }

// malformed returns a requestError.
func malformed(status int, format string, args ...any) error {
	return &requestError{status, fmt.Errorf(format, args...)}
}

// parseMessage checks a request. An error is a requestError: a malformed request gets a plain 4xx.
func (s *Server) parseMessage(w http.ResponseWriter, request *http.Request) (*Submission, error) {
	now := clock.Now()
	name := strings.Split(strings.TrimPrefix(request.URL.Path, "/"), "/")[0]
	class := s.classes[name]
	if class == nil {
		return nil, malformed(http.StatusNotFound, "unknown class %q", name)
	}
	if tenant := request.Header.Get("Tenant"); len(s.tenants) > 0 && !s.tenants[tenant] {
		return nil, malformed(http.StatusBadRequest, "unknown tenant %q", tenant)
	}
	if len(request.TransferEncoding) > 0 {
		// net/http hides a Content-Length that contradicts the chunks, and what follows them may then be a body
		// made to look like a further request.
		return nil, malformed(http.StatusLengthRequired, "no plain Content-Length")
	}
	id, key := request.Header.Get("Request-Id"), request.Header.Get("Idempotency-Key")
	if id == "" || len(id) > MaxIDSize || len(key) > MaxIDSize {
		return nil, malformed(http.StatusBadRequest, "no id, or an id or key too long")
	}
	if key == "" && class.Effect == policy.IdempotentWithKey {
		return nil, malformed(http.StatusBadRequest, "no key in a class with idempotency keys")
	}
	destination, err := parseDestination(request.Header.Get("X-Envelope"))
	if err != nil {
		return nil, err
	}
	timeout, err := parseTimeout(request.Header.Get("Request-Timeout"))
	if err != nil {
		return nil, err
	}
	body, err := readBody(w, request)
	if err != nil {
		return nil, err
	}
	// The client counts from when it sent; no class gives a message more than its deadline.
	expiresAt := now.Add(settings.Seconds(min(timeout, class.Deadline.Seconds())))
	return &Submission{Response: make(chan Response, 1),
		Entry: &journal.Entry{ID: id, Class: name, Dest: destination, Key: key, ExpiresAt: expiresAt, Body: body}}, nil
}

// parseDestination returns the destination in a header.
func parseDestination(header string) (int, error) {
	match := destinationField.FindStringSubmatch(header)
	if match == nil {
		return 0, malformed(http.StatusBadRequest, "no destination")
	}
	destination, err := strconv.Atoi(match[1])
	if err != nil {
		return 0, malformed(http.StatusBadRequest, "destination: %w", err)
	}
	return destination, nil
}

// parseTimeout returns the seconds in a header.
func parseTimeout(header string) (float64, error) {
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || !(seconds > 0) || !timeoutFormat.MatchString(header) {
		return 0, malformed(http.StatusBadRequest, "time-out %q", header)
	}
	return seconds, nil
}

// readBody reads a body of bounded size.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBodySize))
	if errors.As(err, new(*http.MaxBytesError)) {
		return nil, &requestError{http.StatusRequestEntityTooLarge, err}
	}
	if err != nil {
		return nil, &requestError{http.StatusBadRequest, err}
	}
	return body, nil
}
