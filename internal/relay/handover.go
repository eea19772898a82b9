package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/journal"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/listener"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/resource"
	"milletsail/internal/relay/retry"
	"milletsail/internal/relay/upstream"
	"milletsail/policy"
)

// A new version is started beside the old process. The old one serves until the new one asks for the folder; then
// it brings its batch to its end, offers what the journal does not hold, and gives up the journal and every
// decision once the new one is ready. From there on it keeps only what can't be passed on, its open connections and
// the calls that are out, and the two exchange over a link what concerns them.

const (
	// socketName is the old process's socket in the folder.
	socketName = "handover"
	// socketPath is how long a socket's path may be.
	socketPath = 100
	// askTime bounds the asking, from the first try to the right to the folder; offerTime what the old process waits
	// for each step of the new one, since it decides nothing meanwhile.
	askTime, offerTime = 1500 * time.Millisecond, 400 * time.Millisecond
	// deposeTime is what a process that was killed gets to be gone.
	deposeTime = time.Second
	// askAgainOwn is the wait between tries for the folder.
	askAgainOwn = 10 * time.Millisecond
	// listenRetryInterval is the wait between attempts to listen in the folder.
	listenRetryInterval = time.Second
	// linkTime bounds a write to the other process, linkRoom the lines that wait for it.
	linkTime, linkRoom = time.Second, 4096
	// closeTime is what the system gets to close the connections of a process that died, whose calls are else
	// still out beside the next attempts.
	closeTime = 20 * time.Millisecond
)

// The steps of a handover, in order: the new process asks, is ready for what it was offered, and owns the folder.
const (
	stepAsk   = "ask"
	stepReady = "ready"
	stepYours = "yours"
)

// folderSocket gives the path of the handover's socket. A path that is too long for a socket goes by way of the
// open folder, which close closes.
func folderSocket(dir string) (path string, closeDir func(), err error) {
	if path = filepath.Join(dir, socketName); len(path) <= socketPath {
		return path, func() {}, nil
	}
	d, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), socketName), func() { _ = d.Close() }, nil
}

// takeOver gets the right to the folder: at once where no process has it, else from the one that does, by a
// handover or, where that can't be had in time, by that process's end. Link and offer are nil without a handover: then
// the journal tells all that is known.
func takeOver(ctx context.Context, dir string) (*journal.Ownership, *link, *offer, error) {
	last := clock.Now().Add(retry.StorageTimeout)
	for by := clock.Now().Add(askTime); ; {
		o, err := journal.AcquireOwnership(dir)
		owned := errors.As(err, new(*journal.OwnedError))
		if err == nil || !owned && (!journal.IsTransient(err) || clock.Now() > last) {
			return o, nil, nil, err
		}
		var k *link
		var off *offer
		if owned {
			k, off, err = askFor(dir, by)
		}
		if resource.IsExhausted(err) && clock.Now() < last {
			by = clock.Now().Add(askTime) // a lack of this process is no reason to end the one before
		}
		if err == nil {
			if o, err := ownBy(ctx, dir, by); err == nil {
				return o, k, off, nil
			}
			k.close()
		}
		if clock.Now() > by {
			slog.Warn("the process before does not hand over: it is ended", "err", err)
			if err := journal.TerminateOwner(dir); err != nil {
				slog.Error("it can't be ended", "err", err)
			}
			o, err := ownBy(ctx, dir, clock.Now().Add(deposeTime))
			return o, nil, nil, err
		}
		if !clock.Sleep(ctx, askAgainOwn) {
			return nil, nil, nil, ctx.Err()
		}
	}
}

// ownBy waits for the right to the folder.
func ownBy(ctx context.Context, dir string, by instant.Time) (*journal.Ownership, error) {
	for {
		o, err := journal.AcquireOwnership(dir)
		owned := errors.As(err, new(*journal.OwnedError))
		if err == nil || !owned && !journal.IsTransient(err) {
			return o, err
		}
		if clock.Now() > by {
			return nil, err
		}
		if !clock.Sleep(ctx, askAgainOwn) {
			return nil, ctx.Err()
		}
	}
}

// askFor asks the process that owns the folder for it.
func askFor(dir string, by instant.Time) (*link, *offer, error) {
	path, closeDir, err := folderSocket(dir)
	if err != nil {
		return nil, nil, err
	}
	defer closeDir()
	c, err := net.DialTimeout("unix", path, clock.Until(by))
	if err != nil {
		return nil, nil, err
	}
	k := newLink(c)
	off, err := k.ask(by)
	if err != nil {
		k.close()
		return nil, nil, err
	}
	return k, off, nil
}

// ask goes through the new process's steps of the handover.
func (k *link) ask(by instant.Time) (*offer, error) {
	if err := k.step(line{Step: stepAsk}, by); err != nil {
		return nil, err
	}
	l, err := k.await(by)
	if err != nil || l.Offer == nil {
		return nil, fmt.Errorf("no offer: %w", err)
	}
	if k.clocks = clock.ReadPair(); l.Offer.Clocks != nil {
		k.clocks = *l.Offer.Clocks
	}
	if err := k.step(line{Step: stepReady}, by); err != nil {
		return nil, err
	}
	if yours, err := k.await(by); err != nil || yours.Step != stepYours {
		return nil, fmt.Errorf("offer taken back: %w", err)
	}
	return l.Offer, k.conn.SetDeadline(time.Time{})
}

// heir waits in the folder for newer processes until ctx ends, and brings the loop each one that asks. Where it can't listen
// at once it goes on trying beside the relay's own work.
func heir(ctx context.Context, dir string, reasons *metrics.ReasonCounters, asks func(*link)) {
	bound, err := listenInFolder(dir)
	go func() {
		for err != nil {
			slog.Error("no newer process can take over yet", "err", err)
			if !clock.Sleep(ctx, listenRetryInterval) {
				return
			}
			bound, err = listenInFolder(dir)
		}
		l := listener.New(bound, "handover", reasons)
		defer context.AfterFunc(ctx, func() { _ = l.Close() })()
		for {
			c, err := l.Accept()
			if err != nil { // closed
				return
			}
			k := newLink(c)
			if ask, err := k.await(clock.Now().Add(offerTime)); err != nil || ask.Step != stepAsk {
				k.close()
				continue
			}
			asks(k)
		}
	}()
}

// listenInFolder listens at the folder's socket.
func listenInFolder(dir string) (net.Listener, error) {
	path, closeDir, err := folderSocket(dir)
	if err != nil {
		return nil, err
	}
	defer closeDir()
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err // left by a process before
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then it may be the newer process's
	return l, nil
}

// cede hands the journal and all decisions to a newer process. It gives false, and has changed nothing, where the
// newer one does not come as far as being ready. The loop stands still meanwhile: nothing may change under an offer.
func (l *loop) cede(k *link) bool {
	for l.step(); len(l.events) > 0; {
		l.step()
	}
	k.clocks = clock.ReadPair()
	off := &offer{Clients: l.clients.Count(), Clocks: &k.clocks}
	for _, learned := range l.d.ExportState() {
		off.Learned = append(off.Learned, learned.Translate(k.toLink))
	}
	if l.journal.WriteError() != nil {
		off.Unwritten, off.Live = true, map[string]liveMessage{}
		for _, e := range l.journal.Entries() {
			off.Live[e.ID] = liveMessage{Attempts: len(e.Attempts), Owed: e.PendingNotification}
		}
	}
	for _, m := range l.messages {
		if m.cancel != nil {
			a := m.Attempts[len(m.Attempts)-1]
			off.Out = append(off.Out, attemptOut{ID: m.ID, Attempt: len(m.Attempts) - 1, Call: m.call, Class: m.Class, Dest: m.Dest,
				Host: a.Host, Begun: k.wallOf(a.StartedAt)})
		}
	}
	err := k.step(line{Offer: off}, clock.Now().Add(offerTime))
	if err == nil {
		var l line
		if l, err = k.await(clock.Now().Add(offerTime)); err == nil && l.Step != stepReady {
			err = fmt.Errorf("step %q", l.Step)
		}
	}
	if err != nil {
		slog.Warn("handover broken off", "err", err)
		k.close()
		return false
	}
	_ = l.journal.Close()
	l.list.close()
	l.owner.Release()
	// Past this point the newer process owns the folder, whether or not the line reaches it.
	if err := k.step(line{Step: stepYours}, clock.Now().Add(offerTime)); err != nil {
		slog.Warn("handover: last step", "err", err)
	}
	_ = k.conn.SetDeadline(time.Time{})
	slog.Info("handed over", "out", len(off.Out), "clients", off.Clients)
	l.heir, l.asked = k, map[int]*frontend.Submission{}
	go k.write()
	go func() { // what the newer process wants
		for {
			var in line
			if err := k.in.Decode(&in); err != nil {
				k.close()
				l.put(heirGone{})
				return
			}
			l.put(in)
		}
	}()
	return true
}

// pass does with an event what is left to do after a handover.
func (l *loop) pass(e event) {
	switch e := e.(type) {
	case messageArrived:
		l.arrivals++
		if l.orphaned {
			e.Response <- frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: l.cfg.Policy.MaxRetryAfter}
			return
		}
		l.asked[l.arrivals] = e.Submission
		m := e.Entry
		l.heir.put(line{Arrival: &handedOver{No: l.arrivals, Body: m.Body,
			Entry: &handedEntry{ID: m.ID, Class: m.Class, Dest: m.Dest, Key: m.Key, Expires: l.heir.wallOf(m.ExpiresAt)}}})
	case clientLeft:
		for no, a := range l.asked {
			if a == e.Submission {
				delete(l.asked, no)
				l.heir.put(line{Left: no})
			}
		}
	case ended:
		var ends []callEnd
		for _, a := range e {
			if m := l.messages[a.id]; m != nil && m.cancel != nil && a.attempt == len(m.Attempts)-1 {
				m.cancel = nil
				if a.Outcome == policy.NotStarted { // a program of before may not know it
					a.Outcome = policy.NotSent
				}
				ends = append(ends, callEnd{ID: a.id, Attempt: a.attempt, Host: a.host, Took: a.took, Outcome: a.Outcome,
					Wait: a.RetryAfter, Over: a.Completed, Spent: a.AttemptsExhausted, Report: a.LoadReport})
			}
		}
		if len(ends) > 0 {
			l.heir.put(line{Ends: ends})
		}
	case line:
		if v := e.Verdict; v != nil && l.asked[v.No] != nil {
			l.asked[v.No].Response <- frontend.Response{Status: v.Status, RetryAfter: v.After}
			delete(l.asked, v.No)
			l.heir.put(line{Answered: v.No})
		}
		if c := e.Cancel; c != nil {
			if m := l.messages[c.ID]; m != nil && m.cancel != nil && c.Attempt == len(m.Attempts)-1 {
				m.cancel()
			}
		}
	case heirGone:
		// The newer process is dead. Nobody hears any more what becomes of the calls: they end, so that none is out
		// beside those that the next process makes.
		l.orphaned = true
		for no, a := range l.asked {
			delete(l.asked, no)
			a.Response <- frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: l.cfg.Policy.MaxRetryAfter}
		}
		for _, m := range l.messages {
			if m.cancel != nil {
				m.cancel()
			}
		}
	case question:
		busy := len(l.asked) > 0
		for _, m := range l.messages {
			busy = busy || m.cancel != nil && !l.orphaned
		}
		e.idle <- !busy
	case adminCommand:
		e.reply <- "ERR a newer process has taken over"
	case takeover:
		e.link.close()
	}
	if n := l.clients.Count(); l.heir != nil && n != l.reported {
		l.reported = n
		l.heir.put(line{Clients: &n})
	}
}

// follow takes in what the process before tells after its handover, until it is gone.
func (l *loop) follow(k *link, off *offer) {
	go k.write()
	out := map[string]int{} // attempts that it still has out
	for _, a := range off.Out {
		out[a.ID] = a.Attempt
	}
	asked := map[int]*forwardedSubmission{} // submitted there
	for {
		var in line
		if err := k.in.Decode(&in); err != nil {
			break
		}
		switch {
		case in.Arrival != nil && in.Arrival.Entry != nil:
			a := &forwardedSubmission{&frontend.Submission{Entry: l.handedOver(k, in.Arrival), Response: make(chan frontend.Response, 1)}, make(chan bool)}
			asked[in.Arrival.No] = a
			l.put(messageArrived{a.Submission})
			go l.reply(a, k, in.Arrival.No)
		case in.Left != 0:
			if a := asked[in.Left]; a != nil {
				close(a.left)
			}
			delete(asked, in.Left)
		case in.Answered != 0:
			delete(asked, in.Answered)
		case in.Ends != nil:
			var all ended
			for _, e := range in.Ends {
				if n, ok := out[e.ID]; ok && n == e.Attempt {
					delete(out, e.ID)
				}
				all = append(all, answered{id: e.ID, attempt: e.Attempt, host: e.Host, took: e.Took, Result: upstream.Result{
					Outcome: e.Outcome, RetryAfter: e.Wait, Completed: e.Over, AttemptsExhausted: e.Spent, LoadReport: e.Report}})
			}
			l.put(all)
		case in.Clients != nil:
			l.clients.Reserve(*in.Clients)
		}
	}
	k.close()
	time.Sleep(closeTime)
	var all ended
	for id, n := range out {
		all = append(all, answered{id: id, attempt: n, Result: upstream.Result{Outcome: policy.Reset}})
	}
	if len(all) > 0 {
		l.put(all)
	}
	for _, a := range asked {
		close(a.left)
	}
	l.clients.Reserve(0)
	slog.Info("the process before is gone", "calls", len(out))
}

// handedOver is a message that was handed in at the process before. No class gives it more than its deadline, whatever
// that process says.
func (l *loop) handedOver(k *link, h *handedOver) *journal.Entry {
	e := &journal.Entry{ID: h.Entry.ID, Class: h.Entry.Class, Dest: h.Entry.Dest, Key: h.Entry.Key, ExpiresAt: k.instantOf(h.Entry.Expires), Body: h.Body}
	if class := l.class(e.Class); class >= 0 {
		e.ExpiresAt = min(e.ExpiresAt, clock.Now().Add(l.cfg.Policy.Classes[class].Deadline))
	}
	return e
}

// forwardedSubmission is a message that a client submitted to the predecessor.
type forwardedSubmission struct {
	*frontend.Submission
	left chan bool // closed when the client has left
}

// reply gives the process before the answer to a message that was handed in there.
func (l *loop) reply(a *forwardedSubmission, k *link, no int) {
	select {
	case v := <-a.Response:
		k.put(line{Verdict: &ruling{No: no, Status: v.Status, After: v.RetryAfter}})
	case <-a.left:
		l.put(clientLeft{a.Submission})
	}
}
