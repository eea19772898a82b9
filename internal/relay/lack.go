package relay

import (
	"errors"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/metrics"
)

// remoteErrors of connect(2) come from the other end or the way there. All others are a lack of this machine.
var remoteErrors = []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EHOSTDOWN}

// lackHere tells whether a connection could not be asked for, for a lack of this machine: descriptors, ports, memory of the
// kernel, a route. Nothing was sent then, and it says nothing of the other end.
func lackHere(err error) bool {
	errno := syscall.Errno(0)
	return errors.As(err, &errno) && !slices.Contains(remoteErrors, errno)
}

// shortOf tells whether something failed since this process or the machine has too little of something.
func shortOf(err error) bool {
	errno := syscall.Errno(0)
	return errors.As(err, &errno) && slices.Contains([]syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EIO}, errno)
}

const (
	// acceptAgain is the first wait after a failed accept; it doubles up to acceptAgainMost, so that a relay serves again at
	// once when the trouble is over.
	acceptAgain, acceptAgainMost = 5 * time.Millisecond, 100 * time.Millisecond
	// backlogTime is enough to take what has stood in the system's queue once accepts succeed again.
	backlogTime = 200 * time.Millisecond
	// listenWithin bounds the tries to listen at a start, listenRetry is the wait between them.
	listenWithin, listenRetry = 5 * time.Second, 50 * time.Millisecond
)

// acceptor accepts connections, whatever a single accept fails with: only the close of its listener ends it.
type acceptor struct {
	net.Listener
	name    string // for logs
	reasons *metrics.ReasonCounters

	failed  time.Duration // how long the last failure lasted
	cleared instant.Time  // until when connections come that may have waited for so long
}

// Accept gives the next connection, or net.ErrClosed. It is for one goroutine.
func (a *acceptor) Accept() (net.Conn, error) {
	begun := clock.Now()
	for wait := acceptAgain; ; wait = min(2*wait, acceptAgainMost) {
		conn, err := a.Listener.Accept()
		if err == nil && wait > acceptAgain {
			a.failed, a.cleared = clock.Since(begun), clock.Now().Add(backlogTime)
		}
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		slog.Warn("accept failed", "at", a.name, "err", err)
		a.reasons.Add("relay_accept_failures", a.name, 1)
		time.Sleep(wait)
	}
}

// waited is how long the connection that was accepted last may have stood in the system's queue for want of an accept.
func (a *acceptor) waited() time.Duration {
	if clock.Now() >= a.cleared {
		return 0
	}
	return a.failed
}

// listenFor listens, and tries again for a while where the system fails to: a lack that lasts a moment refuses no start. An
// address that makes no sense is an error at once.
func listenFor(name string, listen func() (net.Listener, error)) (net.Listener, error) {
	for by := clock.Now().Add(listenWithin); ; time.Sleep(listenRetry) {
		l, err := listen()
		errno := syscall.Errno(0)
		if err == nil || !errors.As(err, &errno) || clock.Now() >= by {
			return l, err
		}
		slog.Warn("listen failed", "at", name, "err", err)
	}
}
