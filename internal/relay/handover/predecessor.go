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
	// stepTimeout is how long a predecessor waits for each step of its successor, since it decides nothing meanwhile.
	stepTimeout = 400 * time.Millisecond
	// listenRetryInterval is the wait between attempts to listen in the state directory.
	listenRetryInterval = time.Second
)

// ListenForSuccessors accepts successors in the state directory until ctx ends, and hands each one that requests the directory
// to onRequest. Where it can't listen at once it goes on trying beside the relay's own work. Its goroutine ends with ctx, or
// within stepTimeout of that; nobody waits for it, so that a successor that stalls does not delay the end of the process.
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
		accepting := listener.New(socket, "handover", reasons)
		defer context.AfterFunc(ctx, func() { _ = accepting.Close() })()
		acceptSuccessors(accepting, onRequest)
	}()
}

// acceptSuccessors hands on successors until the listener is closed.
func acceptSuccessors(accepting net.Listener, onRequest func(*Link)) {
	for {
		conn, err := accepting.Accept()
		if err != nil { // closed
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

// listenInDirectory listens at the directory's socket.
func listenInDirectory(dir string) (net.Listener, error) {
	path, closeDir, err := socketPath(dir)
	if err != nil {
		return nil, err
	}
	defer closeDir()
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err // left by an earlier process
	}
	socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	socket.SetUnlinkOnClose(false) // by then it may be the successor's
	return socket, nil
}

// ReadClocks sets the clocks by which the link translates moments, and returns them for the offer.
func (l *Link) ReadClocks() *clock.Pair {
	l.clocks = clock.ReadPair()
	return &l.clocks
}

// Offer sends the predecessor's offer, and waits until the successor is ready for it. With an error, nothing has changed: the
// caller stays the owner, and closes the link.
func (l *Link) Offer(offer *Offer) error {
	if err := l.sendStep(Message{Offer: offer}, clock.Now().Add(stepTimeout)); err != nil {
		return err
	}
	_, err := l.receiveStep(clock.Now().Add(stepTimeout))
	return err
}

// Transfer tells the successor that it owns the state directory, which the caller has released. It does, whether or not the
// message reaches it: an error is for logs.
func (l *Link) Transfer() error {
	err := l.sendStep(Message{Step: stepTransfer}, clock.Now().Add(stepTimeout))
	l.state = StateTransferred
	_ = l.noDeadline()
	return err
}
