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
	// requestTimeout bounds one request to an agent, and the answer.
	requestTimeout = 5 * time.Second
	// maxRequestSize bounds a request and a reply, in bytes.
	maxRequestSize = 1 << 16
)

// The operations of an agent. Each is idempotent.
const (
	operationStatus  = "status" // report version and metrics
	operationStore   = "keep"   // store the program at Path, which has Checksum
	operationFormats = "forms"  // report the formats of the current version and of Checksum
	operationUpdate  = "change" // update to Checksum
)

// request is one line from a controller to an agent.
type request struct {
	Operation    string `json:"op"`
	FencingToken uint64 `json:"fence"`
	Checksum     string `json:"sum,omitempty"`
	Path         string `json:"path,omitempty"`
}

// reply is the answer to a request, one line.
type reply struct {
	Error     string   `json:"error,omitempty"`
	Relay     int      `json:"relay"`
	Version   string   `json:"version"`
	Settled   bool     `json:"settled"`        // no update is running
	LastError string   `json:"last,omitempty"` // of the last update
	Metrics   *Metrics `json:"figures,omitempty"`
	// CurrentFormats and NextFormats answer operationFormats, unless FormatsError says why one is not known.
	CurrentFormats *compat.FormatVersions `json:"now,omitempty"`
	NextFormats    *compat.FormatVersions `json:"next,omitempty"`
	FormatsError   string                 `json:"unsaid,omitempty"`
}

// ErrStaleToken says that an agent knows a later fencing token than that of the request. Its text is part of the protocol, which
// has no error codes.
var ErrStaleToken = errors.New("fenced: a later controller is known")

// AgentError is an error that an agent replied.
type AgentError struct{ Message string }

func (e *AgentError) Error() string { return e.Message }

// call sends one request to an agent. The error is ErrStaleToken or an *AgentError if the agent replied one.
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
