package relay

import (
	"encoding/json"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/journal"
	"milletsail/policy"
)

// This file holds the link between two processes, and what goes over it.

// line is one line of the link, with one of its fields.
type line struct {
	Step     string      `json:"step,omitempty"`
	Offer    *offer      `json:"offer,omitempty"`
	Arrival  *handedOver `json:"arrival,omitempty"`
	Left     int         `json:"left,omitempty"`     // number of an arrival whose client left
	Answered int         `json:"answered,omitempty"` // number of one that got its answer
	Ends     []callEnd   `json:"ends,omitempty"`
	Clients  *int        `json:"clients,omitempty"` // connections of clients that the old process still has
	Verdict  *ruling     `json:"verdict,omitempty"`
	Cancel   *attemptOut `json:"cancel,omitempty"`
}

// offer is what a new process has to know beside the journal.
type offer struct {
	Out     []attemptOut            `json:"out"`
	Learned []policy.StateInherited `json:"learned"`
	Clients int                     `json:"clients"`
	// Unwritten says that the journal could not be written: it may name other messages beside Live, those that are not over,
	// and lack their last attempts and ends.
	Unwritten bool                   `json:"unwritten,omitempty"`
	Live      map[string]liveMessage `json:"live,omitempty"`
	// Clocks translate the moments on the link, which are wall times there as programs of before wrote and read them: the
	// same pair of readings is used at both ends, so that steps of the wall clock don't show. A program of before has none.
	Clocks *clock.Pair `json:"clocks,omitempty"`
}

// liveMessage is what a journal that could not be written may lack of a message.
type liveMessage struct {
	Attempts int                   `json:"attempts,omitempty"`
	Owed     *journal.Notification `json:"owed,omitempty"`
}

// agree brings what the journal tells of a message in line with what the process before knows: attempts that it lacks may
// have run.
func (m liveMessage) agree(e *journal.Entry) {
	for len(e.Attempts) < m.Attempts {
		e.Attempts = append(e.Attempts, journal.Attempt{StartedAt: e.AcceptedAt, Uncertain: true})
	}
	if m.Owed != nil {
		e.PendingNotification = m.Owed
	}
}

// attemptOut is an attempt that the old process has out.
type attemptOut struct {
	ID      string    `json:"id"`
	Attempt int       `json:"attempt"`
	Call    int       `json:"call,omitempty"`
	Class   string    `json:"class,omitempty"`
	Dest    int       `json:"dest,omitempty"`
	Host    string    `json:"host,omitempty"`
	Begun   time.Time `json:"begun,omitzero"`
}

// agree brings what a journal tells of a message's attempts in line with the one that is out. The process that has it
// out made them all and knows their number: an attempt that the reading of a damaged journal has added, in case its
// record is missing, is none, and one whose record is missing is there.
func (o attemptOut) agree(e *journal.Entry, begun instant.Time) {
	n := o.Attempt + 1
	for i := len(e.Attempts) - 1; i >= 0 && len(e.Attempts) > n; i-- {
		if e.Attempts[i].Uncertain {
			e.Attempts = slices.Delete(e.Attempts, i, i+1)
		}
	}
	for len(e.Attempts) < n {
		e.Attempts = append(e.Attempts, journal.Attempt{StartedAt: e.AcceptedAt, Uncertain: true})
	}
	if len(e.Attempts) == n {
		e.Attempts[o.Attempt] = journal.Attempt{Host: o.Host, StartedAt: begun}
	}
}

// handedOver is a message that a client handed in to the old process after the handover.
type handedOver struct {
	No    int          `json:"no"`
	Entry *handedEntry `json:"entry"`
	Body  []byte       `json:"body"`
}

// handedEntry is what is known of such a message.
type handedEntry struct {
	ID      string    `json:"id"`
	Class   string    `json:"class,omitempty"`
	Dest    int       `json:"dest,omitempty"`
	Key     string    `json:"key,omitempty"`
	Expires time.Time `json:"expires,omitzero"`
}

// ruling is the answer to such a message.
type ruling struct {
	No     int           `json:"no"`
	Status int           `json:"status"`
	After  time.Duration `json:"after,omitempty"`
}

// callEnd is how a call of the old process ended for a message.
type callEnd struct {
	ID      string             `json:"id"`
	Attempt int                `json:"attempt"`
	Host    string             `json:"host"`
	Took    time.Duration      `json:"took"`
	Outcome policy.Outcome     `json:"outcome"`
	Wait    time.Duration      `json:"wait,omitempty"`
	Over    bool               `json:"over,omitempty"`
	Spent   bool               `json:"spent,omitempty"`
	Report  *policy.LoadReport `json:"report,omitempty"`
}

// link joins the old and the new process.
type link struct {
	conn   net.Conn
	in     *json.Decoder
	out    chan line
	done   chan bool // closed once the link is down
	down   sync.Once
	clocks clock.Pair // of the offer
}

// wallOf gives a moment as it goes on the link.
func (k *link) wallOf(t instant.Time) time.Time { return k.clocks.WallOf(t).Time() }

// instantOf reads a moment that came on the link.
func (k *link) instantOf(t time.Time) instant.Time {
	if t.IsZero() {
		return 0
	}
	return k.clocks.InstantOf(clock.Wall(t.UnixNano()))
}

// toLink and fromLink translate the moments of what was learned, which go on the link as numbers.
func (k *link) toLink(t instant.Time) instant.Time { return instant.Time(k.clocks.WallOf(t)) }

func (k *link) fromLink(t instant.Time) instant.Time {
	return max(0, k.clocks.InstantOf(clock.Wall(t)))
}

func newLink(c net.Conn) *link {
	return &link{conn: c, in: json.NewDecoder(c), out: make(chan line, linkRoom), done: make(chan bool)}
}

// put sends a line in turn; it never waits. A peer that takes no lines is as good as dead.
func (k *link) put(l line) {
	select {
	case k.out <- l:
	default:
		k.close()
	}
}

func (k *link) close() {
	k.down.Do(func() {
		close(k.done)
		_ = k.conn.Close()
	})
}

// write sends lines until the link is down.
func (k *link) write() {
	out := json.NewEncoder(k.conn)
	for {
		select {
		case <-k.done:
			return
		case l := <-k.out:
			_ = k.conn.SetWriteDeadline(time.Now().Add(linkTime))
			if err := out.Encode(l); err != nil {
				slog.Warn("link", "err", err)
				k.close()
			}
		}
	}
}

// step sends one line of the handover itself.
func (k *link) step(l line, by instant.Time) error {
	_ = k.conn.SetDeadline(clock.Deadline(by))
	return json.NewEncoder(k.conn).Encode(l)
}

// await reads one line of the handover itself.
func (k *link) await(by instant.Time) (l line, err error) {
	_ = k.conn.SetDeadline(clock.Deadline(by))
	err = k.in.Decode(&l)
	return l, err
}
