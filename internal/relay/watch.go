package relay

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

// errSilent is why a watch, or an ask, ends on which nothing more has come.
var errSilent = errors.New("silence")

// errListTooLong is why a watch ends that brings a list which would not fit into memory.
var errListTooLong = errors.New("list too long")

// busyError is an answer other than 200, with the time that discovery wants to be left alone.
type busyError struct {
	status string
	after  time.Duration
}

func (e *busyError) Error() string { return "discovery answered " + e.status }

// watch follows one watch to its end and returns how many lists it brought. It hands on one batch of entries at a time,
// and reads no further until that one is applied.
func (w *watcher) watch(ctx context.Context, base string) (lists int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() {
		if context.Cause(ctx) == errSilent {
			err = errSilent
		}
	}()
	// Guards against a watch that has gone silent: a cut link ends no connection.
	answer := w.silence
	if w.spread == 0 {
		answer = min(answer, answerWithin)
	}
	dead := time.AfterFunc(answer, func() { cancel(errSilent) })
	defer dead.Stop()
	body, err := w.open(ctx, base)
	if err != nil {
		return 0, err
	}
	defer body.Close()
	dead.Reset(w.silence)
	return w.follow(ctx, body, dead)
}

// follow reads a watch to its end. The timer is reset whenever more comes, and stands while a batch is applied: a relay
// that is busy says nothing about the watch.
func (w *watcher) follow(ctx context.Context, body io.Reader, dead *time.Timer) (lists int, err error) {
	stream := &boundedStream{Reader: body, most: w.maxList}
	reader := endpoints.NewReader(stream)
	reader.Alive = func() { dead.Reset(w.silence) }
	for {
		batch, err := reader.Next()
		if err != nil {
			return lists, w.broken(err)
		}
		dead.Stop()
		if err := w.deliver(ctx, batch); err != nil {
			return lists, err
		}
		dead.Reset(w.silence)
		if batch.End {
			w.seq = batch.Seq
			lists++
			stream.size = 0
		}
	}
}

// open asks for a watch from the last version on.
func (w *watcher) open(ctx context.Context, base string) (io.ReadCloser, error) {
	query := url.Values{"stream": {"1"}, "index": {strconv.FormatInt(w.seq, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"?"+query.Encode(), nil)
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
		return nil, &busyError{resp.Status, min(settings.Seconds(max(0, after)), askAgainMost)}
	}
	return resp.Body, nil
}

// broken says why a watch can't be read on, and sets the version from which the next one asks: the last one that came
// whole, or none where what came makes no sense, since what it held is lost to the changes that follow.
func (w *watcher) broken(err error) error {
	switch {
	case err == io.EOF:
		return errors.New("end of the answer")
	case errors.As(err, new(*endpoints.UnreadableError)):
		w.seq = 0
		return err
	}
	return err
}

// deliver hands a batch on and waits until it is applied.
func (w *watcher) deliver(ctx context.Context, batch endpoints.Batch) error {
	applied := make(chan struct{})
	w.onBatch(listBatch{Batch: batch, applied: applied})
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
	most int64 // bytes of one list
	size int64 // bytes read since the last list
}

func (s *boundedStream) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	s.size += int64(n)
	if s.size > s.most {
		return 0, errListTooLong
	}
	return n, err
}
