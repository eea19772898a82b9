// Package notifier tells the platform how messages ended that were accepted and not delivered.
package notifier

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"sync"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/protocol"
)

// The final states of a message that was accepted and not delivered.
const (
	// StatusUndeliverable is final: the client does not send the message again.
	StatusUndeliverable = "undeliverable"
	// StatusDeferred has the client send the message again.
	StatusDeferred = "deferred"
)

const (
	// postTimeout bounds one post: the platform answers at once, and a notification has to arrive 300 ms after its message has
	// expired, with a second post where the first one's connection has gone silent.
	postTimeout = 200 * time.Millisecond
	// initialRetryBackoff is the wait after a failed post; for a notification that is posted singly it doubles.
	initialRetryBackoff = 50 * time.Millisecond
	// maxRetryBackoff bounds that wait.
	maxRetryBackoff = 500 * time.Millisecond
	// MaxSinglePosts is how many posts of single notifications may be in flight beside the one of the queue.
	MaxSinglePosts = 3
)

// notificationsPath is the platform's path for notifications.
const notificationsPath = "/v1/outcomes"

// Notifier posts notifications to the platform until it has received them. Each notification has one owner: the queue, the
// post in flight, or, where that one hung or the platform did not understand it, a post of its own, so that it delays no
// other.
type Notifier struct {
	client      *http.Client
	onReceived  func(ids []string)
	notEmpty    chan struct{} // the queue is not empty
	singlePosts chan struct{} // holds one for each single post in flight
	singles     sync.WaitGroup

	mu    sync.Mutex
	url   string
	queue []journal.Notification
}

// New returns a notifier that posts to discovery's address, and reports the messages whose notifications were received.
func New(discovery string, onReceived func(ids []string)) *Notifier {
	n := &Notifier{onReceived: onReceived, notEmpty: make(chan struct{}, 1), singlePosts: make(chan struct{}, MaxSinglePosts),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: postTimeout}}
	n.Redirect(discovery)
	return n
}

// Redirect has notifications posted to another address of discovery from now on.
func (n *Notifier) Redirect(discovery string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.url = "http://" + discovery + notificationsPath
}

// Enqueue wants a notification posted. It never blocks, since Run may be waiting for the caller.
func (n *Notifier) Enqueue(notification journal.Notification) {
	n.mu.Lock()
	n.queue = append(n.queue, notification)
	n.mu.Unlock()
	select {
	case n.notEmpty <- struct{}{}:
	default:
	}
}

// Run posts what is queued until ctx ends, and returns once no post is in flight.
func (n *Notifier) Run(ctx context.Context) {
	defer n.singles.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.notEmpty:
		}
		for batch, body := n.nextBatch(); len(batch) > 0; batch, body = n.nextBatch() {
			if !n.postBatch(ctx, batch, body) {
				return
			}
		}
	}
}

// postBatch posts a batch, and hands on those of its notifications that have to be posted again. It reports false where ctx
// ended meanwhile.
func (n *Notifier) postBatch(ctx context.Context, batch []journal.Notification, body []byte) bool {
	err := n.post(ctx, body)
	if err == nil {
		n.onReceived(idsOf(batch))
		return true
	}
	if mayBeOneNotification(err) {
		for _, notification := range batch {
			n.singles.Go(func() { n.postSingly(ctx, notification) })
		}
	} else { // the platform can't be reached
		n.mu.Lock()
		n.queue = append(batch, n.queue...)
		n.mu.Unlock()
		if !clock.Sleep(ctx, initialRetryBackoff) {
			return false
		}
	}
	slog.Warn("notifications not received", "notifications", len(batch), "first_id", batch[0].ID, "error", err)
	return true
}

// malformedError is an answer that says that the platform could not read a post.
type malformedError struct{ status string }

func (e *malformedError) Error() string { return "the platform answered " + e.status }

// mayBeOneNotification reports whether a post failed in a way that one of its notifications may be the cause of.
func mayBeOneNotification(err error) bool {
	timedOut := new(url.Error)
	return errors.As(err, new(*malformedError)) || errors.As(err, &timedOut) && timedOut.Timeout()
}

// postSingly posts one notification by itself until the platform has received it or ctx ends.
func (n *Notifier) postSingly(ctx context.Context, notification journal.Notification) {
	for backoff := initialRetryBackoff; ; backoff = min(2*backoff, maxRetryBackoff) {
		select {
		case <-ctx.Done():
			return
		case n.singlePosts <- struct{}{}:
		}
		err := n.post(ctx, encode(notification))
		<-n.singlePosts
		if err == nil {
			n.onReceived([]string{notification.ID})
			return
		}
		slog.Warn("notification not received", "request_id", notification.ID, "error", err)
		if !clock.Sleep(ctx, backoff) {
			return
		}
	}
}

// encode returns a notification as it goes in a body.
func encode(notification journal.Notification) []byte {
	text, err := json.Marshal(notification)
	if err != nil {
		panic(err) // two strings and a number can always be encoded
	}
	return append(text, '\n')
}

// idsOf returns the messages of some notifications.
func idsOf(notifications []journal.Notification) (all []string) {
	for _, notification := range notifications {
		all = append(all, notification.ID)
	}
	return all
}

// nextBatch takes the oldest notifications from the queue, as many as a body may hold, and returns them with their text.
func (n *Notifier) nextBatch() (batch []journal.Notification, body []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(n.queue) > 0 {
		text := encode(n.queue[0])
		if len(batch) > 0 && len(body)+len(text) > protocol.MaxBodySize {
			break
		}
		batch, body, n.queue = append(batch, n.queue[0]), append(body, text...), n.queue[1:]
	}
	return batch, body
}

// post makes one attempt to post notifications.
func (n *Notifier) post(ctx context.Context, body []byte) error {
	n.mu.Lock()
	url := n.url
	n.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, protocol.MaxBodySize))
	if resp.StatusCode == http.StatusBadRequest {
		return &malformedError{resp.Status}
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("the platform answered %s", resp.Status)
	}
	return nil
}
