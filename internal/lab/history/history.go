// Package history defines the record of a lab run: JSON lines, one event per line, each with its time since the run began. The
// lab writes it; the checker and the report read it and need nothing else.
//
// A Writer may be used by several goroutines at once, and the events of one Add call are consecutive lines in the given order.
// Read accepts a file that was cut off in the middle: it returns the complete lines and reports the history as truncated.
package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"
)

// The kinds of event. Each comment lists the fields that the kind sets beside Time and Kind.
const (
	Run = "run" // first line of a history; Parameters
	// Relay is a change of a relay process. Fields: Relay; Detail: started, ready, term, killed, frozen, thawed, hup, ended,
	// crashed, wiped, turned (Bytes: number of flipped bits), refused-start and others.
	Relay   = "relay"
	List    = "list"    // endpoint list sent to a relay (SentToRelay) or changed at discovery; Relay, Seq, Hosts
	HandIn  = "hand-in" // a client hands in a message; ID, Message, Relay, Class, Dest, Key, TimeLeft
	Answer  = "answer"  // the client has the relay's answer; ID, Status, RetryAfter
	Left    = "left"    // the client left without an answer; ID, Detail (reason)
	Call    = "call"    // the last byte of a call arrived at an endpoint; Call, Relay, Host, IDs, FirstByte
	Reply   = "reply"   // a reply was written to the relay; Call, Status, States, RetryAfter
	Gone    = "gone"    // the relay closed the connection, or its sending side, before the reply; Call
	Broken  = "broken"  // a fault broke the connection or made the reply unreadable; Call, Detail (which fault)
	Notice  = "notice"  // a notification of a message's outcome arrived; ID, Status, RetryAfter, Relay
	Note    = "note"    // a gossip datagram longer than the limit; Relay, Bytes
	Outage  = "outage"  // an endpoint goes down, refuses or ignores all calls, or fails at least half of them; Host
	Back    = "back"    // an endpoint serves again, cold; Host, Rate (full capacity in calls per second)
	Fell    = "fell"    // a cold endpoint was overloaded; Host
	Connect = "connect" // a new connection to an endpoint; Relay, Host
	Fault   = "fault"   // a fault was injected; Detail (kind), FaultIndex, Zone, EndTime
	Peer    = "peer"    // a malformed peer connected ("came"), or how its connection ended; Peer, Relay, Detail
	Usage   = "usage"   // resource use of a relay; Relay, MemoryMB, DiskMB, CPU (seconds of its current process), FDs
	// View is what a relay believes of the fleet. Fields: Relay, OldestAgeRatio, FactCount, Live, Digest, KnownSince; Detail:
	// LastView or empty.
	View    = "view"
	Zones   = "zones"   // state of each zone as a relay sees it; Relay, Zones, Isolated
	Servers = "servers" // proving state of new endpoints at a relay; Relay, Trials
	Order   = "order"   // a relay confirmed an order to "evacuate" (EndTime) or "restore" a zone; Relay, Detail, Zone
	Late    = "late"    // the lab did something later than planned; Lateness
	Void    = "void"    // the lab could not do what the scenario asks; Detail (reason)
	// End is the last line of a run that completed. Fields: TimedEvents, LateEvents, GossipSent, GossipBytes, GossipReceived.
	End = "end"

	LastView = "last" // Detail of a View taken after the traffic has stopped
)

// Event is one line of a history. Fields that its kind does not use are left out.
type Event struct {
	Time           Micros                `json:"t"`
	Kind           string                `json:"kind"`
	Relay          *int                  `json:"relay,omitempty"`
	ID             string                `json:"id,omitempty"`
	Message        int                   `json:"msg,omitempty"` // the client's number of the message, the same over all its hand-ins; from 1
	Class          string                `json:"class,omitempty"`
	Dest           *int                  `json:"dest,omitempty"`
	Key            string                `json:"key,omitempty"`
	TimeLeft       Micros                `json:"left,omitempty"` // from the hand-in to the message's deadline
	Status         string                `json:"status,omitempty"`
	RetryAfter     Micros                `json:"after,omitempty"` // value of Retry-After, or delay before the client hands in again
	Detail         string                `json:"what,omitempty"`
	Call           int                   `json:"call,omitempty"` // number of the call, from 1
	Host           string                `json:"host,omitempty"`
	IDs            []string              `json:"ids,omitempty"`
	States         []string              `json:"states,omitempty"` // state of each message, in the order of IDs
	FirstByte      Micros                `json:"began,omitempty"`  // when the first byte of the call arrived
	Seq            int                   `json:"seq,omitempty"`
	Hosts          []ListEntry           `json:"hosts,omitempty"`
	SentToRelay    bool                  `json:"told,omitempty"`
	Bytes          int                   `json:"bytes,omitempty"`
	Rate           float64               `json:"rate,omitempty"`
	FaultIndex     int                   `json:"of,omitempty"`
	EndTime        Micros                `json:"until,omitempty"`
	Peer           int                   `json:"peer,omitempty"`
	MemoryMB       float64               `json:"memory_mb,omitempty"`
	DiskMB         float64               `json:"disk_mb,omitempty"`
	CPU            float64               `json:"cpu,omitempty"`
	FDs            int                   `json:"fds,omitempty"`
	OldestAgeRatio float64               `json:"oldest,omitempty"` // largest ratio of a fact's age to its bound
	Digest         uint32                `json:"digest,omitempty"`
	KnownSince     map[string]Micros     `json:"known,omitempty"`      // when the relay learned of each closing or outage
	GossipSent     int                   `json:"notes,omitempty"`      // gossip datagrams sent between relays; a broadcast counts once
	GossipBytes    int                   `json:"note_bytes,omitempty"` // bytes of the gossip datagrams sent; a broadcast counts once
	GossipReceived int                   `json:"received,omitempty"`   // gossip datagrams addressed to relays, by receiver; dropped ones count, duplicates do not
	FactCount      int                   `json:"beliefs,omitempty"`
	Live           int                   `json:"live,omitempty"`
	Zones          map[string]ZoneState  `json:"zones,omitempty"`
	Trials         map[string]TrialState `json:"trials,omitempty"`
	Isolated       bool                  `json:"cut_off,omitempty"`
	Zone           string                `json:"zone,omitempty"`
	Lateness       Micros                `json:"by,omitempty"`
	TimedEvents    int                   `json:"events,omitempty"`
	LateEvents     int                   `json:"late,omitempty"`
	Parameters     *Parameters           `json:"facts,omitempty"`

	Line int `json:"-"` // line number in the file, from 1
}

// ZoneState is the state of a zone at a relay, with the numbers of evacuations and returns since its process started.
type ZoneState struct {
	State       string `json:"state"`
	Evacuations int    `json:"evacuations,omitempty"`
	Returns     int    `json:"returns,omitempty"`
}

// TrialState is the proving stage of a new endpoint at a relay, with the number of times that it was held back.
type TrialState struct {
	Stage int `json:"stage"`
	Holds int `json:"holds,omitempty"`
}

// ListEntry is one endpoint of a list, or of a change to one.
type ListEntry struct {
	Host   string `json:"host"`
	Health string `json:"health"`
}

// Parameters are the settings of a run that the checker and the report need.
type Parameters struct {
	Title          string           `json:"title"`
	Seed           uint64           `json:"seed"`
	Relays         int              `json:"relays"`
	MaxAttempts    int              `json:"max_attempts"`
	Patience       Micros           `json:"patience"`
	DrainGrace     Micros           `json:"drain_grace"`
	ColdShare      float64          `json:"cold_share"`
	RampTime       Micros           `json:"ramp_time"`
	OverloadFactor float64          `json:"overload_factor"`
	OverloadFor    Micros           `json:"overload_for"`
	MemoryMB       float64          `json:"memory_mb"`
	DiskMB         float64          `json:"disk_mb"`
	Sockets        int              `json:"sockets"`
	ArrivalsLength Micros           `json:"length"`
	Zones          []string         `json:"zones,omitempty"` // zone of each relay, by relay number
	Classes        map[string]Class `json:"classes"`
	Hosts          map[string]Host  `json:"hosts"`
}

// Class holds the properties of a message class that the checker and the report need.
type Class struct {
	Effect    string  `json:"effect"` // "retryable", "dedup" or "fragile"
	Group     string  `json:"group"`
	Memory    Micros  `json:"memory"`
	Target    Micros  `json:"aim"`
	Deadline  Micros  `json:"deadline"`
	Worth     float64 `json:"worth"`
	LateShare float64 `json:"late_share"`
}

// Host holds the properties of an endpoint that the checker and the report need.
type Host struct {
	Dest int    `json:"dest"`
	Zone string `json:"zone"`
	// Replaces reports whether a fault lists it in place of another endpoint.
	Replaces bool `json:"replaces,omitempty"`
}

// Micros is a time in microseconds.
type Micros int64

// ToMicros converts a duration to microseconds.
func ToMicros(d time.Duration) Micros { return Micros(d.Microseconds()) }

// Duration converts microseconds to a duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// IntPtr returns a pointer to n, for fields in which 0 is a value and nil means absent.
func IntPtr(n int) *int { return &n }

// Writer writes a history. Write errors are collected and returned by Close.
type Writer struct {
	started time.Time

	mu     sync.Mutex
	out    *bufio.Writer
	file   io.Closer
	events []Event
	err    error
}

// NewWriter starts a history whose times count from started. It also keeps the events in memory for Events.
func NewWriter(file io.WriteCloser, started time.Time) *Writer {
	return &Writer{started: started, out: bufio.NewWriterSize(file, 1<<20), file: file}
}

// Now returns the time since the run began.
func (w *Writer) Now() Micros { return ToMicros(time.Since(w.started)) }

// At returns the time from the start of the run to a given moment.
func (w *Writer) At(moment time.Time) Micros { return ToMicros(moment.Sub(w.started)) }

// Add writes events. An event without a time gets the current one.
func (w *Writer) Add(events ...Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range events {
		if e.Time == 0 {
			e.Time = w.Now()
		}
		w.events = append(w.events, e)
		e.Line = len(w.events)
		line, err := json.Marshal(e)
		if err == nil {
			_, err = w.out.Write(append(line, '\n'))
		}
		w.err = errors.Join(w.err, err)
	}
}

// Events returns the events added so far, in the order of time.
func (w *Writer) Events() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := append([]Event(nil), w.events...)
	for i := range all {
		all[i].Line = i + 1
	}
	sortByTime(all)
	return all
}

// Close flushes and closes the file, and returns the errors of all writes.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return errors.Join(w.err, w.out.Flush(), w.file.Close())
}

// sortByTime sorts events by time; events of the same time keep their order.
func sortByTime(all []Event) {
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time < all[j].Time })
}

// maxLineBytes is the longest line of a history that Read accepts.
const maxLineBytes = 16 << 20

// Read reads a history and returns its events in the order of time. truncated reports that the last line is malformed or not
// an end event: the run was aborted or the file cut off. A malformed line before the last one is an error with its line number.
func Read(from io.Reader) (all []Event, truncated bool, err error) {
	in := bufio.NewScanner(from)
	in.Buffer(nil, maxLineBytes)
	var badLine error
	for n := 1; in.Scan(); n++ {
		if badLine != nil {
			return nil, false, badLine
		}
		var e Event
		if err := json.Unmarshal(in.Bytes(), &e); err != nil {
			badLine = fmt.Errorf("line %d: %w", n, err)
			continue
		}
		e.Line = n
		all = append(all, e)
	}
	if err := in.Err(); err != nil {
		return nil, false, err
	}
	if len(all) == 0 || all[0].Kind != Run || all[0].Parameters == nil {
		return nil, false, errors.New("line 1: no history: want an event of kind run with its parameters under the key facts")
	}
	truncated = badLine != nil || all[len(all)-1].Kind != End
	sortByTime(all)
	return all, truncated, nil
}

// JSON returns the event as a line of the history.
func (e *Event) JSON() string {
	line, err := json.Marshal(e)
	if err != nil {
		return err.Error() // for values without a JSON form, such as an infinity
	}
	return string(line)
}
