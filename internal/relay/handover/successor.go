// Package handover transfers a state directory from one process to the next without losing a message or sending one twice.
//
// A new version, the successor, is started while the old one, the predecessor, still serves. When the successor requests the
// state directory, the predecessor completes its current batch and offers the state that the journal does not hold. Once the
// successor is ready, the predecessor closes the journal and makes no further decisions. It keeps only its open client
// connections and its calls in flight, which can't be transferred, and exchanges messages about them with the successor over a
// link. The constants of State list the steps in order.
package handover

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/journal"
	"milletsail/internal/relay/resource"
	"milletsail/internal/relay/retry"
)

const (
	// socketName is the file name of the predecessor's socket in the state directory.
	socketName = "handover"
	// maxSocketPath is the longest path, in bytes, that is used for a socket directly. Linux allows 107.
	maxSocketPath = 100
	// requestTimeout bounds the time from a successor's first request until it owns the state directory.
	requestTimeout = 1500 * time.Millisecond
	// terminationTimeout bounds the wait for the exit of a predecessor that was killed.
	terminationTimeout = time.Second
	// ownershipRetryInterval is the wait between attempts to get the ownership of the directory.
	ownershipRetryInterval = 10 * time.Millisecond
)

// Acquired is the result of acquiring a state directory.
type Acquired struct {
	// Ownership is the lock on the directory, which the caller has to release when it ends.
	Ownership *journal.Ownership
	// Predecessor is the link to the predecessor; nil without a handover, when the journal holds all state.
	Predecessor *Link
	// Offer is the predecessor's offer; nil without a handover.
	Offer *Offer
}

// Acquire gets the ownership of the state directory. If no process owns it, that succeeds at once. Otherwise it requests a
// handover from the owner and, if that does not succeed within requestTimeout, kills the owner. It returns an error if the
// directory can't be used, and the error of ctx if that ends first.
func Acquire(ctx context.Context, dir string) (*Acquired, error) {
	storageDeadline := clock.Now().Add(retry.StorageTimeout)
	for deadline := clock.Now().Add(requestTimeout); ; {
		ownership, err := journal.AcquireOwnership(dir)
		owned := errors.As(err, new(*journal.OwnedError))
		if err == nil {
			return &Acquired{Ownership: ownership}, nil
		}
		if !owned && (!journal.IsTransient(err) || clock.Now() > storageDeadline) {
			return nil, err
		}
		var acquired *Acquired
		if owned {
			acquired, err = Request(ctx, dir, deadline)
		}
		if resource.IsExhausted(err) && clock.Now() < storageDeadline {
			deadline = clock.Now().Add(requestTimeout) // a shortage of resources here is no reason to kill the predecessor
		}
		if err == nil {
			if acquired.Ownership, err = waitForOwnership(ctx, dir, deadline); err == nil {
				return acquired, nil
			}
			acquired.Predecessor.Close()
		}
		if clock.Now() > deadline {
			return terminate(ctx, dir, err)
		}
		if !clock.Sleep(ctx, ownershipRetryInterval) {
			return nil, ctx.Err()
		}
	}
}

// terminate kills a predecessor whose handover failed with cause, and gets the ownership of the state directory.
func terminate(ctx context.Context, dir string, cause error) (*Acquired, error) {
	slog.Warn("handover failed, terminating previous owner", "error", cause)
	if err := journal.TerminateOwner(dir); err != nil {
		slog.Error("previous owner not terminated", "error", err)
	}
	ownership, err := waitForOwnership(ctx, dir, clock.Now().Add(terminationTimeout))
	if err != nil {
		return nil, err
	}
	return &Acquired{Ownership: ownership}, nil
}

// waitForOwnership waits until the state directory has no owner and gets its ownership. It returns the error of the last attempt
// at the deadline.
func waitForOwnership(ctx context.Context, dir string, deadline instant.Time) (*journal.Ownership, error) {
	for {
		ownership, err := journal.AcquireOwnership(dir)
		owned := errors.As(err, new(*journal.OwnedError))
		if err == nil || !owned && !journal.IsTransient(err) {
			return ownership, err
		}
		if clock.Now() > deadline {
			return nil, err
		}
		if !clock.Sleep(ctx, ownershipRetryInterval) {
			return nil, ctx.Err()
		}
	}
}

// Request performs the successor's steps of a handover with the owner of a state directory. On success the directory has no
// owner, and the result holds the link and the offer but no ownership. The end of ctx does not interrupt it, since the
// predecessor would be left without a successor.
func Request(ctx context.Context, dir string, deadline instant.Time) (*Acquired, error) {
	path, closeDir, err := socketPath(dir)
	if err != nil {
		return nil, err
	}
	defer closeDir()
	dialer := net.Dialer{Timeout: clock.Until(deadline)}
	conn, err := dialer.DialContext(context.WithoutCancel(ctx), "unix", path)
	if err != nil {
		return nil, err
	}
	link := newLink(conn)
	offer, err := link.request(deadline)
	if err != nil {
		link.Close()
		return nil, err
	}
	return &Acquired{Predecessor: link, Offer: offer}, nil
}

// request performs the successor's steps of the protocol and returns the predecessor's offer.
func (l *Link) request(deadline instant.Time) (*Offer, error) {
	if err := l.sendStep(Message{Step: stepRequest}, deadline); err != nil {
		return nil, err
	}
	m, err := l.receiveStep(deadline)
	if err != nil {
		return nil, fmt.Errorf("handover: waiting for the offer: %w", err)
	}
	offer := m.Offer
	if l.clocks = clock.ReadPair(); offer.Clocks != nil {
		l.clocks = *offer.Clocks
	}
	if err := l.sendStep(Message{Step: stepReady}, deadline); err != nil {
		return nil, err
	}
	if _, err := l.receiveStep(deadline); err != nil {
		return nil, fmt.Errorf("handover: waiting for the transfer: %w", err)
	}
	return offer, l.clearDeadline()
}

// socketPath returns the path of the handover socket in a directory. If that path is too long for a socket, it opens the
// directory and returns a path through its descriptor, which is valid until closeDir is called.
func socketPath(dir string) (path string, closeDir func(), err error) {
	if path = filepath.Join(dir, socketName); len(path) <= maxSocketPath {
		return path, func() {}, nil
	}
	d, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), socketName), func() { _ = d.Close() }, nil
}
