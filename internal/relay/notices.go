package relay

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

// The ends of a message that was taken on and not delivered.
const (
	undeliverable = "undeliverable" // final: the client does not come again
	deferred      = "deferred"      // the client may come again
)

const (
	// postTime bounds one post of notices: the platform answers at once, and a notice has to be there 300 ms after its
	// message's time is up, with a second post where the first one's connection has gone silent.
	postTime = 200 * time.Millisecond
	// postAgain is the wait after a post that failed; for a notice that is posted alone it grows up to postAgainMost.
	postAgain, postAgainMost = 50 * time.Millisecond, 500 * time.Millisecond
	// lanes posts of single notices may be out beside that of the others.
	lanes = 3
)

// notifier posts notices to the platform until it has them. Each notice has one owner: the queue, the post that is out, or,
// where that one hung or the platform did not take it for its form, a post of its own, so that it holds up no other.
type notifier struct {
	client   *http.Client
	received func(ids []string)
	wanted   chan struct{} // something is owed
	lane     chan struct{} // holds one for each single post that is out

	mu   sync.Mutex
	url  string
	owed []journal.Notification
}

// newNotifier posts to discovery's address, and reports what arrived there to received.
func newNotifier(discovery string, received func(ids []string)) *notifier {
	n := &notifier{received: received, wanted: make(chan struct{}, 1), lane: make(chan struct{}, lanes),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: postTime}}
	n.redirect(discovery)
	return n
}

// redirect has notices posted to another address of discovery from now on.
func (n *notifier) redirect(discovery string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.url = "http://" + discovery + "/v1/outcomes"
}

// owe wants a notice posted; it never blocks, since run may be waiting for the caller.
func (n *notifier) owe(notice journal.Notification) {
	n.mu.Lock()
	n.owed = append(n.owed, notice)
	n.mu.Unlock()
	select {
	case n.wanted <- struct{}{}:
	default:
	}
}

// run posts what is owed until ctx ends.
func (n *notifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wanted:
		}
		for batch, body := n.next(); len(batch) > 0; batch, body = n.next() {
			err := n.post(ctx, body)
			switch {
			case err == nil:
				n.received(ids(batch))
			case suspect(err):
				for _, notice := range batch {
					go n.alone(ctx, notice)
				}
			default: // the platform can't be reached
				n.mu.Lock()
				n.owed = append(batch, n.owed...)
				n.mu.Unlock()
				if !clock.Sleep(ctx, postAgain) {
					return
				}
			}
			if err != nil {
				slog.Warn("notices not received", "notices", len(batch), "first", batch[0].ID, "err", err)
			}
		}
	}
}

// formError is an answer that says that the platform could not read a post.
type formError struct{ status string }

func (e *formError) Error() string { return "the platform answered " + e.status }

// suspect tells whether a post failed in a way that one of its notices may be the cause of.
func suspect(err error) bool {
	timedOut := new(url.Error)
	return errors.As(err, new(*formError)) || errors.As(err, &timedOut) && timedOut.Timeout()
}

// alone posts one notice by itself until the platform has it.
func (n *notifier) alone(ctx context.Context, notice journal.Notification) {
	for wait := postAgain; ; wait = min(2*wait, postAgainMost) {
		select {
		case <-ctx.Done():
			return
		case n.lane <- struct{}{}:
		}
		err := n.post(ctx, noticeLine(notice))
		<-n.lane
		if err == nil {
			n.received([]string{notice.ID})
			return
		}
		slog.Warn("notice not received", "id", notice.ID, "err", err)
		if !clock.Sleep(ctx, wait) {
			return
		}
	}
}

// noticeLine is a notice as it goes in a body.
func noticeLine(notice journal.Notification) []byte {
	text, err := json.Marshal(notice)
	if err != nil {
		panic(err) // two strings and a number always have a form
	}
	return append(text, '\n')
}

func ids(notices []journal.Notification) (all []string) {
	for _, notice := range notices {
		all = append(all, notice.ID)
	}
	return all
}

// next takes the oldest notices owed from the queue, as many as a body may hold, and gives them with their text.
func (n *notifier) next() (batch []journal.Notification, body []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(n.owed) > 0 {
		text := noticeLine(n.owed[0])
		if len(batch) > 0 && len(body)+len(text) > protocol.MaxBodySize {
			break
		}
		batch, body, n.owed = append(batch, n.owed[0]), append(body, text...), n.owed[1:]
	}
	return batch, body
}

// post makes one attempt to hand notices over.
func (n *notifier) post(ctx context.Context, body []byte) error {
	n.mu.Lock()
	to := n.url
	n.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, to, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, protocol.MaxBodySize))
	if resp.StatusCode == http.StatusBadRequest {
		return &formError{resp.Status}
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("the platform answered %s", resp.Status)
	}
	return nil
}
