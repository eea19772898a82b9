// Package handover passes a state directory from one process to the next, without a message lost or sent twice.
//
// A new version is started beside the running one. That one, the predecessor, serves until the successor requests the state
// directory; then it completes its batch, offers what the journal does not hold, and gives up the journal and every decision
// once the successor is ready. From there on it keeps only what can't be passed on, its open connections and the calls in
// flight, and the two exchange over a link what concerns them. State has the steps in order.
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
	// socketName is the predecessor's socket in the state directory.
	socketName = "handover"
	// maxSocketPath is how long a socket's path may be, in bytes.
	maxSocketPath = 100
	// requestTimeout bounds a successor's request, from the first attempt to the ownership of the directory.
	requestTimeout = 1500 * time.Millisecond
	// terminationTimeout is what a predecessor that was killed gets to be gone.
	terminationTimeout = time.Second
	// ownershipRetryInterval is the wait between attempts to own the directory.
	ownershipRetryInterval = 10 * time.Millisecond
)

// Acquired is what a process has that owns the state directory.
type Acquired struct {
	// Ownership is to be released at the end.
	Ownership *journal.Ownership
	// Predecessor is the link to it; nil without a handover: then the journal tells all that is known.
	Predecessor *Link
	// Offer is the predecessor's; nil without a handover.
	Offer *Offer
}

// Acquire gets the ownership of the state directory: at once where no process has it, else from the one that does, by a handover
// or, where that can't be had in time, by that process's termination. It returns an error where the directory can't be used,
// and ctx's where that ends first.
func Acquire(ctx context.Context, dir string) (*Acquired, error) {
	last := clock.Now().Add(retry.StorageTimeout)
	for deadline := clock.Now().Add(requestTimeout); ; {
		ownership, err := journal.AcquireOwnership(dir)
		owned := errors.As(err, new(*journal.OwnedError))
		if err == nil {
			return &Acquired{Ownership: ownership}, nil
		}
		if !owned && (!journal.IsTransient(err) || clock.Now() > last) {
			return nil, err
		}
		var acquired *Acquired
		if owned {
			acquired, err = Request(ctx, dir, deadline)
		}
		if resource.IsExhausted(err) && clock.Now() < last {
			deadline = clock.Now().Add(requestTimeout) // what this process lacks is no reason to terminate the predecessor
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

// terminate ends a predecessor that does not hand over, and gets the ownership of the state directory.
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

// waitForOwnership waits until the state directory has no owner, and gets its ownership.
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

// Request goes through the successor's steps with the owner of a state directory. It returns the link and the offer: the
// directory has no owner then. The end of ctx does not interrupt it, since the predecessor would be left without a successor.
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

// request goes through the successor's steps.
func (l *Link) request(deadline instant.Time) (*Offer, error) {
	if err := l.sendStep(Message{Step: stepRequest}, deadline); err != nil {
		return nil, err
	}
	m, err := l.receiveStep(deadline)
	if err != nil {
		return nil, fmt.Errorf("no offer: %w", err)
	}
	offer := m.Offer
	if l.clocks = clock.ReadPair(); offer.Clocks != nil {
		l.clocks = *offer.Clocks
	}
	if err := l.sendStep(Message{Step: stepReady}, deadline); err != nil {
		return nil, err
	}
	if _, err := l.receiveStep(deadline); err != nil {
		return nil, fmt.Errorf("offer withdrawn: %w", err)
	}
	return offer, l.noDeadline()
}

// socketPath returns the path of the directory's socket. A path that is too long for a socket goes by way of the open directory,
// which closeDir closes.
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
