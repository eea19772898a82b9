// Package notifier sends the platform notifications of accepted messages that were not delivered.
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
	"milletsail/internal/instant"
	"milletsail/internal/journal"
	"milletsail/internal/relay/protocol"
)

// The statuses that a notification can report for a message.
const (
	// StatusUndeliverable says that the message was given up. The client does not send it again.
	StatusUndeliverable = "undeliverable"
	// StatusDeferred returns the message to its client, which sends it again.
	StatusDeferred = "deferred"
)

const (
	// postTimeout bounds one POST request. A notification has to arrive within 300 ms after its message expired, which leaves
	// time for a second request if the connection of the first one is dead. The platform normally answers at once.
	postTimeout = 200 * time.Millisecond
	// initialRetryBackoff is the wait after a failed post. For a notification that is posted by itself it doubles with each
	// further failure; for batches it stays the same.
	initialRetryBackoff = 50 * time.Millisecond
	// maxRetryBackoff bounds the wait between posts of the same single notification.
	maxRetryBackoff = 500 * time.Millisecond
	// MaxSinglePosts is the maximum number of concurrent posts of single notifications, in addition to one post of a batch.
	MaxSinglePosts = 3
)

// notificationsPath is the path at the platform that receives notifications.
const notificationsPath = "/v1/outcomes"

// Notifier posts notifications to the platform and repeats each one until the platform has received it. At any time, a
// notification is in the queue, in the batch that is being posted, or in a goroutine that posts only it. The latter happens
// after a batch timed out or the platform could not parse it, so that a notification that causes such failures does not delay
// others.
type Notifier struct {
	client      *http.Client
	onReceived  func(ids []string)
	notEmpty    chan struct{}  // signals Run that the queue may not be empty
	singlePosts chan struct{}  // semaphore of MaxSinglePosts
	singles     sync.WaitGroup // the goroutines that post single notifications
	// sleep waits like clock.Sleep; tests replace it.
	sleep func(ctx context.Context, d time.Duration) bool

	mu          sync.Mutex
	url         string // that notifications are posted to
	queue       []journal.Notification
	respondedAt instant.Time // when a response last arrived; zero before the first
}

// New returns a notifier that posts to discovery's address. It calls onReceived with the ids of the messages whose notifications
// the platform has received.
func New(discovery string, onReceived func(ids []string)) *Notifier {
	n := &Notifier{onReceived: onReceived, notEmpty: make(chan struct{}, 1), singlePosts: make(chan struct{}, MaxSinglePosts),
		sleep:  clock.Sleep,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: protocol.MaxHeadSize}, Timeout: postTimeout}}
	n.Redirect(discovery)
	return n
}

// Redirect makes further posts go to another address of discovery.
func (n *Notifier) Redirect(discovery string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.url = "http://" + discovery + notificationsPath
}

// Enqueue adds a notification to the queue. It never blocks, since Run may itself be waiting for the caller in onReceived.
func (n *Notifier) Enqueue(notification journal.Notification) {
	n.mu.Lock()
	n.queue = append(n.queue, notification)
	n.mu.Unlock()
	select {
	case n.notEmpty <- struct{}{}:
	default:
	}
}

// Run posts queued notifications until ctx ends, and returns once no post is in flight.
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

// postBatch posts a batch. If that fails, it starts a goroutine for each notification or puts the batch back into the queue, as
// the error requires. It reports false if ctx ended during the wait after a failure.
func (n *Notifier) postBatch(ctx context.Context, batch []journal.Notification, body []byte) bool {
	err := n.post(ctx, body)
	if err == nil {
		n.onReceived(idsOf(batch))
		return true
	}
	if mayBeCausedByOneNotification(err) {
		for _, notification := range batch {
			n.singles.Go(func() { n.postSingly(ctx, notification) })
		}
	} else { // the platform could not be reached or failed to process the post
		n.mu.Lock()
		n.queue = append(batch, n.queue...)
		n.mu.Unlock()
		if !clock.Sleep(ctx, initialRetryBackoff) {
			return false
		}
	}
	slog.Warn("posting notifications failed", "notifications", len(batch), "first_id", batch[0].ID, "error", err)
	return true
}

// malformedError reports that the platform answered a post with 400: it could not parse the notifications.
type malformedError struct{ status string }

func (e *malformedError) Error() string {
	return "platform answered the notification post with status " + e.status
}

// mayBeCausedByOneNotification reports whether one notification of a batch may have caused the failure of its post: the platform
// could not parse the batch, or the post timed out.
func mayBeCausedByOneNotification(err error) bool {
	timedOut := new(url.Error)
	return errors.As(err, new(*malformedError)) || errors.As(err, &timedOut) && timedOut.Timeout()
}

// postSingly posts a notification by itself, and repeats that until the platform has received it or ctx ends.
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
		slog.Warn("posting notification failed", "request_id", notification.ID, "error", err)
		if !clock.Sleep(ctx, backoff) {
			return
		}
	}
}

// encode returns a notification as one line of JSON.
func encode(notification journal.Notification) []byte {
	text, err := json.Marshal(notification)
	if err != nil {
		panic(err) // cannot happen: a notification has only strings and a number
	}
	return append(text, '\n')
}

// idsOf returns the message ids of notifications.
func idsOf(notifications []journal.Notification) (all []string) {
	for _, notification := range notifications {
		all = append(all, notification.ID)
	}
	return all
}

// nextBatch removes the oldest notifications from the queue, as many as fit into a body of protocol.MaxBodySize, and returns them
// with the encoded body. The batch is empty if the queue is.
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

// settle waits until protocol.ResponseSettleTime has passed since the last response, and returns the URL to post to. In that time
// the client's transport closes an idle connection on which the platform sends more than its response, so that the rest is not
// taken for the response to the next post.
func (n *Notifier) settle(ctx context.Context) (url string, err error) {
	for {
		n.mu.Lock()
		url, respondedAt := n.url, n.respondedAt
		n.mu.Unlock()
		left := protocol.ResponseSettleTime - clock.Since(respondedAt)
		if respondedAt.IsZero() || left <= 0 {
			return url, nil
		}
		if !n.sleep(ctx, left) {
			return "", ctx.Err()
		}
	}
}

// recordResponse records that a response has arrived.
func (n *Notifier) recordResponse() {
	n.mu.Lock()
	n.respondedAt = clock.Now()
	n.mu.Unlock()
}

// post makes one attempt to post a body of encoded notifications. A nil error means that the platform has received them.
func (n *Notifier) post(ctx context.Context, body []byte) error {
	url, err := n.settle(ctx)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return err
	}
	defer n.recordResponse()
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, protocol.MaxBodySize)); err != nil {
		return fmt.Errorf("read the platform's response to the notification post: %w", err)
	}
	if resp.StatusCode == http.StatusBadRequest {
		return &malformedError{resp.Status}
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("platform answered the notification post with status %s", resp.Status)
	}
	return nil
}
