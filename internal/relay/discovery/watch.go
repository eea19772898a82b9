package discovery

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"milletsail/internal/endpoints"
	"milletsail/internal/settings"
)

// ErrWatchStalled reports that no data arrived on a watch, or no response to the request for one, within the time-out.
var ErrWatchStalled = errors.New("discovery watch stalled")

// ErrListTooLong reports that a list exceeds Watcher.MaxListSize, which bounds the memory that a list takes.
var ErrListTooLong = errors.New("endpoint list too long for the memory limit")

// errStreamEnded reports that discovery ended the response of a watch.
var errStreamEnded = errors.New("discovery ended the watch response")

// UnavailableError reports that discovery answered a request for a watch with a status other than 200.
type UnavailableError struct {
	// Status is the status line of the response, such as "503 Service Unavailable".
	Status string
	// RetryAfter is the wait that discovery asked for in the Retry-After header, at most maxRetryJitter; 0 for none.
	RetryAfter time.Duration
}

func (e *UnavailableError) Error() string {
	return "discovery answered the watch request with status " + e.Status
}

// watch requests one watch, reads it to its end and returns the number of lists that arrived completely. It delivers one batch
// of entries at a time, and reads on only once that batch is applied.
func (w *Watcher) watch(ctx context.Context, address string) (lists int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() {
		if errors.Is(context.Cause(ctx), ErrWatchStalled) {
			err = ErrWatchStalled
		}
	}()
	// A broken network link does not close the connection, so only this timer detects that a watch has stalled.
	headTimeout := w.silenceTimeout
	if w.jitter == 0 {
		headTimeout = min(headTimeout, responseTimeout)
	}
	stallTimer := time.AfterFunc(headTimeout, func() { cancel(ErrWatchStalled) })
	defer stallTimer.Stop()
	body, err := w.open(ctx, address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = body.Close() }()
	stallTimer.Reset(w.silenceTimeout)
	return w.follow(ctx, body, stallTimer)
}

// follow reads the response of a watch to its end. It resets stallTimer whenever data arrives, and stops it while a batch is
// applied: a relay that is slow to apply a batch does not mean that the watch has stalled.
func (w *Watcher) follow(ctx context.Context, body io.Reader, stallTimer *time.Timer) (lists int, err error) {
	stream := &boundedStream{Reader: body, limit: w.MaxListSize}
	reader := endpoints.NewReader(stream)
	reader.Alive = func() { stallTimer.Reset(w.silenceTimeout) }
	for {
		batch, err := reader.Next()
		if err != nil {
			return lists, w.streamError(err)
		}
		stallTimer.Stop()
		if err := w.deliver(ctx, batch); err != nil {
			return lists, err
		}
		stallTimer.Reset(w.silenceTimeout)
		if batch.End {
			w.Version = batch.Seq
			lists++
			stream.size = 0
		}
	}
}

// open requests a watch that starts from w.Version, and returns the body of the response.
func (w *Watcher) open(ctx context.Context, address string) (io.ReadCloser, error) {
	query := url.Values{"stream": {"1"}, "index": {strconv.FormatInt(w.Version, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return nil, &UnavailableError{resp.Status, min(settings.Seconds(max(0, after)), maxRetryJitter)}
	}
	return resp.Body, nil
}

// streamError returns the reason why a watch ended, given the error of the reader. Where the data could not be parsed it resets
// the version, so that the next watch starts with a complete list: the unparsed part may have held changes.
func (w *Watcher) streamError(err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return errStreamEnded
	case errors.As(err, new(*endpoints.UnreadableError)):
		w.Version = 0
		return err
	}
	return err
}

// deliver passes a batch to onBatch and waits until it is applied or ctx ends.
func (w *Watcher) deliver(ctx context.Context, batch endpoints.Batch) error {
	applied := make(chan struct{})
	w.onBatch(Batch{Batch: batch, Applied: applied})
	select {
	case <-applied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// boundedStream reads the body of a watch and fails with ErrListTooLong once one list exceeds the limit.
type boundedStream struct {
	io.Reader
	limit int64 // maximum size of one list in bytes
	size  int64 // bytes read since the end of the previous list
}

func (s *boundedStream) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	s.size += int64(n)
	if s.size > s.limit {
		return 0, ErrListTooLong
	}
	return n, err
}
