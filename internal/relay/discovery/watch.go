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

// ErrWatchStalled says that a watch, or a request for one, has brought nothing for too long.
var ErrWatchStalled = errors.New("watch stalled")

// ErrListTooLong says that a watch brought a list that would not fit into memory.
var ErrListTooLong = errors.New("list too long")

// errStreamEnded says that discovery ended its response.
var errStreamEnded = errors.New("end of the response")

// UnavailableError is a response other than 200.
type UnavailableError struct {
	// Status is that of the response.
	Status string
	// RetryAfter is how long discovery wants to be left alone.
	RetryAfter time.Duration
}

func (e *UnavailableError) Error() string { return "discovery answered " + e.Status }

// watch follows one watch to its end and returns how many lists it brought. It hands on one batch of entries at a time,
// and reads no further until that one is applied.
func (w *Watcher) watch(ctx context.Context, address string) (lists int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() {
		if errors.Is(context.Cause(ctx), ErrWatchStalled) {
			err = ErrWatchStalled
		}
	}()
	// Guards against a watch that has stalled: a cut link ends no connection.
	headTimeout := w.silenceTimeout
	if w.jitter == 0 {
		headTimeout = min(headTimeout, responseTimeout)
	}
	stalled := time.AfterFunc(headTimeout, func() { cancel(ErrWatchStalled) })
	defer stalled.Stop()
	body, err := w.open(ctx, address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = body.Close() }()
	stalled.Reset(w.silenceTimeout)
	return w.follow(ctx, body, stalled)
}

// follow reads a watch to its end. The timer is reset whenever more comes, and is stopped while a batch is applied: a busy
// relay says nothing about the watch.
func (w *Watcher) follow(ctx context.Context, body io.Reader, stalled *time.Timer) (lists int, err error) {
	stream := &boundedStream{Reader: body, limit: w.MaxListSize}
	reader := endpoints.NewReader(stream)
	reader.Alive = func() { stalled.Reset(w.silenceTimeout) }
	for {
		batch, err := reader.Next()
		if err != nil {
			return lists, w.streamError(err)
		}
		stalled.Stop()
		if err := w.deliver(ctx, batch); err != nil {
			return lists, err
		}
		stalled.Reset(w.silenceTimeout)
		if batch.End {
			w.Version = batch.Seq
			lists++
			stream.size = 0
		}
	}
}

// open requests a watch from the last version on.
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

// streamError returns why a watch can't be read on, and sets the version from which the next one starts: the last one that came
// completely, or none where what came makes no sense, since the changes that follow lack what it held.
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

// deliver hands a batch on and waits until it is applied.
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

// boundedStream is the body of a watch, with a bound on what one list may hold.
type boundedStream struct {
	io.Reader
	limit int64 // bytes of one list
	size  int64 // bytes read since the last list
}

func (s *boundedStream) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	s.size += int64(n)
	if s.size > s.limit {
		return 0, ErrListTooLong
	}
	return n, err
}
