package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"

	"milletsail/internal/compat"
)

const (
	// requestTimeout bounds one exchange with an agent, from the start of the connection to the end of the reply.
	requestTimeout = 5 * time.Second
	// maxRequestSize is the maximum size of a request and of a reply, in bytes.
	maxRequestSize = 1 << 16
)

// Values of request.Operation. Each operation is idempotent.
const (
	operationStatus  = "status" // report the current version and metrics
	operationStore   = "keep"   // store the program at request.Path, which has request.Checksum
	operationFormats = "forms"  // report the formats of the current version and of that with request.Checksum
	operationUpdate  = "change" // update the relay to the stored program with request.Checksum
)

// request is what a controller sends to an agent: one line of JSON.
type request struct {
	Operation    string `json:"op"`
	FencingToken uint64 `json:"fence"`
	Checksum     string `json:"sum,omitempty"`
	Path         string `json:"path,omitempty"`
}

// reply is the answer of an agent to a request: one line of JSON.
type reply struct {
	Error     string   `json:"error,omitempty"`
	Relay     int      `json:"relay"`
	Version   string   `json:"version"`
	Settled   bool     `json:"settled"`        // whether no update is running
	LastError string   `json:"last,omitempty"` // error of the last update, or empty
	Metrics   *Metrics `json:"figures,omitempty"`
	// CurrentFormats and NextFormats are set in replies to operationFormats. One that is unknown is nil, and FormatsError says why.
	CurrentFormats *compat.FormatVersions `json:"now,omitempty"`
	NextFormats    *compat.FormatVersions `json:"next,omitempty"`
	FormatsError   string                 `json:"unsaid,omitempty"`
}

// ErrStaleToken is the error for a request with an earlier fencing token than the latest one that the agent has seen. Its text is
// part of the protocol, which has no error codes.
var ErrStaleToken = errors.New("fenced: a later controller is known")

// AgentError is an error that an agent has returned in its reply.
type AgentError struct{ Message string }

func (e *AgentError) Error() string { return e.Message }

// call sends one request to an agent and returns the reply. An error in the reply is returned as ErrStaleToken or as an
// *AgentError.
func call(ctx context.Context, address string, q request) (answer reply, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return answer, err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	line, err := json.Marshal(q)
	if err != nil {
		return answer, err
	}
	if _, err := conn.Write(append(line, '\n')); err != nil {
		return answer, err
	}
	if err := json.NewDecoder(io.LimitReader(conn, maxRequestSize)).Decode(&answer); err != nil {
		return answer, err
	}
	switch answer.Error {
	case "":
		return answer, nil
	case ErrStaleToken.Error():
		return answer, ErrStaleToken
	}
	return answer, &AgentError{answer.Error}
}
