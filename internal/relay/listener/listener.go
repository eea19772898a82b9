// Package listener opens sockets and accepts connections in spite of failures that pass.
package listener

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/resource"
	"milletsail/internal/relay/retry"
)

const (
	// initialAcceptBackoff is the wait after a failed accept; it doubles with each further failure.
	initialAcceptBackoff = 5 * time.Millisecond
	// maxAcceptBackoff bounds that wait, so that a relay serves again at once when the fault is over.
	maxAcceptBackoff = 100 * time.Millisecond
	// backlogWindow is enough time to accept the connections that queued up in the kernel during an outage.
	backlogWindow = 200 * time.Millisecond
	// listenTimeout bounds the attempts to listen at a start.
	listenTimeout = 5 * time.Second
	// listenRetryInterval is the wait between them.
	listenRetryInterval = 50 * time.Millisecond
)

// acceptFailures counts failed accepts by listener.
const acceptFailures = "relay_accept_failures"

// Listener accepts connections whatever a single accept fails with: only the close of its socket ends it.
type Listener struct {
	net.Listener
	name    string // for logs and counters
	reasons *metrics.ReasonCounters

	lastOutage   time.Duration // how long accepts failed the last time
	backlogUntil instant.Time  // until then connections may have queued for that long
}

// New wraps a socket; the name stands for it in logs and counters.
func New(socket net.Listener, name string, reasons *metrics.ReasonCounters) *Listener {
	return &Listener{Listener: socket, name: name, reasons: reasons}
}

// Accept returns the next connection, or net.ErrClosed. It is for one goroutine.
func (l *Listener) Accept() (net.Conn, error) {
	started := clock.Now()
	for backoff := initialAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		conn, err := l.Listener.Accept()
		if err == nil && backoff > initialAcceptBackoff {
			l.lastOutage, l.backlogUntil = clock.Since(started), clock.Now().Add(backlogWindow)
		}
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		slog.Warn("accept failed", "listener", l.name, "error", err)
		l.reasons.Add(acceptFailures, l.name, 1)
		time.Sleep(backoff)
	}
}

// QueueDelay returns how long the connection that was accepted last may have queued in the kernel while accepts failed.
// It is for the goroutine that calls Accept.
func (l *Listener) QueueDelay() time.Duration {
	if clock.Now() >= l.backlogUntil {
		return 0
	}
	return l.lastOutage
}

// Listen calls listen, and again for a while where a system call fails: an address that another process is about to leave
// refuses no start. An address that makes no sense is an error at once. The name is for logs.
func Listen(ctx context.Context, name string, listen func() (net.Listener, error)) (socket net.Listener, err error) {
	policy := retry.Policy{Timeout: listenTimeout, Interval: listenRetryInterval, Retryable: resource.IsSystemError,
		OnRetry: func(err error) { slog.Warn("listen failed", "listener", name, "error", err) }}
	err = retry.Do(ctx, policy, func() error {
		socket, err = listen()
		return err
	})
	return socket, err
}
