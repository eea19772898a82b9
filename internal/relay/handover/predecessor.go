package handover

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/relay/listener"
	"milletsail/internal/relay/metrics"
)

const (
	// stepTimeout bounds how long a predecessor waits for each step of its successor. It is short because the predecessor's event
	// loop stands still during the wait.
	stepTimeout = 400 * time.Millisecond
	// listenRetryInterval is the wait between attempts to open the socket in the state directory.
	listenRetryInterval = time.Second
)

// ListenForSuccessors accepts connections on the socket in the state directory until ctx ends, and passes the link of each
// successor that requests the directory to onRequest. If the socket can't be opened, a goroutine retries while the relay serves
// without it. That goroutine ends at most stepTimeout after ctx; nothing waits for it, so that a stalled successor does not delay
// the shutdown of the process.
func ListenForSuccessors(ctx context.Context, dir string, reasons *metrics.ReasonCounters, onRequest func(*Link)) {
	socket, err := listenInDirectory(dir)
	go func() {
		for err != nil {
			slog.Error("handover unavailable", "error", err)
			if !clock.Sleep(ctx, listenRetryInterval) {
				return
			}
			socket, err = listenInDirectory(dir)
		}
		socketListener := listener.New(socket, "handover", reasons)
		defer context.AfterFunc(ctx, func() { _ = socketListener.Close() })()
		acceptSuccessors(socketListener, onRequest)
	}()
}

// acceptSuccessors passes links of successors to onRequest until the listener is closed.
func acceptSuccessors(socketListener net.Listener, onRequest func(*Link)) {
	for {
		conn, err := socketListener.Accept()
		if err != nil { // the listener is closed
			return
		}
		link := newLink(conn)
		if _, err := link.receiveStep(clock.Now().Add(stepTimeout)); err != nil {
			link.Close()
			continue
		}
		onRequest(link)
	}
}

// listenInDirectory opens the socket in a state directory, in place of one that an earlier process left there.
func listenInDirectory(dir string) (net.Listener, error) {
	path, closeDir, err := socketPath(dir)
	if err != nil {
		return nil, err
	}
	defer closeDir()
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	socket.SetUnlinkOnClose(false) // by then the path may belong to the successor's socket
	return socket, nil
}

// ReadClocks reads both clocks of the machine, uses the pair for the time conversions of the link, and returns it for the offer.
func (l *Link) ReadClocks() *clock.Pair {
	l.clocks = clock.ReadPair()
	return &l.clocks
}

// Offer sends the predecessor's offer and waits until the successor reports that it is ready. If it returns an error, nothing has
// changed: the caller still owns the state directory and has to close the link.
func (l *Link) Offer(offer *Offer) error {
	if err := l.sendStep(Message{Offer: offer}, clock.Now().Add(stepTimeout)); err != nil {
		return err
	}
	_, err := l.receiveStep(clock.Now().Add(stepTimeout))
	return err
}

// Transfer tells the successor that it owns the state directory. The caller has released the directory before, and the transfer
// counts as done even if the message can't be sent: the returned error is only for the log.
func (l *Link) Transfer() error {
	err := l.sendStep(Message{Step: stepTransfer}, clock.Now().Add(stepTimeout))
	l.state = StateTransferred
	_ = l.clearDeadline()
	return err
}
