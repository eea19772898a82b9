// Package listener opens listening sockets and accepts connections, and retries after transient failures.
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
	// initialAcceptBackoff is the wait after the first failed accept. It doubles with each further failure in a row.
	initialAcceptBackoff = 5 * time.Millisecond
	// maxAcceptBackoff bounds the wait after a failed accept, so that the relay accepts again soon after the fault is over.
	maxAcceptBackoff = 100 * time.Millisecond
	// backlogWindow is the time after a period of failed accepts within which the connections that the kernel queued during
	// that period are accepted.
	backlogWindow = 200 * time.Millisecond
	// listenTimeout bounds the time for attempts to open a listening socket when the relay starts.
	listenTimeout = 5 * time.Second
	// listenRetryInterval is the wait between attempts to open a listening socket.
	listenRetryInterval = 50 * time.Millisecond
)

// acceptFailures is the name of the counter of failed accepts by listener.
const acceptFailures = "relay_accept_failures"

// Listener accepts connections and retries every failed accept. Only closing its socket ends it.
type Listener struct {
	net.Listener
	name    string // names the listener in logs and counters
	reasons *metrics.ReasonCounters

	lastOutage   time.Duration // how long accepts failed in the last period of failures
	backlogUntil instant.Time  // connections accepted before this time may have been queued for up to lastOutage
}

// New returns a Listener on a socket. The name identifies it in logs and counters.
func New(socket net.Listener, name string, reasons *metrics.ReasonCounters) *Listener {
	return &Listener{Listener: socket, name: name, reasons: reasons}
}

// Accept returns the next connection, or net.ErrClosed once the socket is closed. Only one goroutine may call it.
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

// QueueDelay returns how long the last accepted connection may have waited in the kernel's queue while accepts failed. Only the
// goroutine that calls Accept may call it.
func (l *Listener) QueueDelay() time.Duration {
	if clock.Now() >= l.backlogUntil {
		return 0
	}
	return l.lastOutage
}

// Listen calls listen to open a socket, and retries for up to listenTimeout if a system call fails: another process may still
// hold the address and be about to release it. Other errors, such as an invalid address, are returned at once. The name
// identifies the listener in logs.
func Listen(ctx context.Context, name string, listen func() (net.Listener, error)) (socket net.Listener, err error) {
	policy := retry.Policy{Timeout: listenTimeout, Interval: listenRetryInterval, Retryable: resource.IsSystemError,
		OnRetry: func(err error) { slog.Warn("listen failed", "listener", name, "error", err) }}
	err = retry.Do(ctx, policy, func() error {
		socket, err = listen()
		return err
	})
	return socket, err
}
