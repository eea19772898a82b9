// Package history is the record of a run of the lab: JSON lines, one event a line, each with its time since the run
// began. Whoever plays a run writes one; the checker and the report read it and need nothing else.
//
// It promises that a Writer may be used by many goroutines at once, that the events of one Add call stand in the file
// as they were given, and that Read takes a file that was cut off in the middle: Cut tells so, and the whole lines
// count.
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

// The kinds of event, and the fields that each has beside T and Kind.
const (
	Run     = "run"     // the first line: Facts
	Relay   = "relay"   // Relay, What: started, ready, term, killed, frozen, thawed, hup, ended, crashed, wiped, turned (Bytes: bits), refused-start and others
	List    = "list"    // Relay, Seq, Hosts: written to the relay (Told) or changed at discovery
	HandIn  = "hand-in" // ID, Msg, Relay, Class, Dest, Key, Left: the client sends
	Answer  = "answer"  // ID, Status, After: the client has it
	Left    = "left"    // ID: the client left without an answer, What says why
	Call    = "call"    // Call, Relay, Host, IDs, Began: the last byte of a call has come
	Reply   = "reply"   // Call, Status, States, After: written to the relay
	Gone    = "gone"    // Call: the relay has closed the connection, or ended its sending, before the reply
	Broken  = "broken"  // Call: a fault broke the connection, or what was written can't be read; What says which
	Notice  = "notice"  // ID, Status, After, Relay
	Note    = "note"    // Relay, Bytes: only notes that are too long
	Outage  = "outage"  // Host: it fails most calls from now on
	Back    = "back"    // Host, Rate: it serves again, cold, with this full capacity in messages a second
	Fell    = "fell"    // Host: a cold endpoint was pushed over
	Connect = "connect" // Relay, Host: a new connection
	Fault   = "fault"   // What, Of: number in the scenario; Zone that it strikes; Until its end
	Peer    = "peer"    // Peer, Relay, What: a malformed peer came, or how it ended
	Usage   = "usage"   // Relay, MemoryMB, DiskMB, CPU (seconds since its process began), FDs
	View    = "view"    // Relay, Oldest, Beliefs, Live, Digest, Known: what a relay believes of the fleet; What: LastView
	Zones   = "zones"   // Relay, Zones, CutOff: how zones fare with a relay
	Servers = "servers" // Relay, Trials: how endpoints that are new on the list fare with a relay
	Order   = "order"   // Relay, What: it confirmed an order of operators to "evacuate" (Until) or "restore" Zone
	Late    = "late"    // By: the lab did something later than it should have
	Void    = "void"    // What: the lab could not do what the scenario asks
	End     = "end"     // the last line of a run that came to its end; Events timed, LateN of them late; Notes, NoteBytes, Received

	LastView = "last" // after the traffic has stopped
)

// Event is one line of a history. Fields that a kind does not have are left out.
type Event struct {
	Time           Micros                `json:"t"`
	Kind           string                `json:"kind"`
	Relay          *int                  `json:"relay,omitempty"`
	ID             string                `json:"id,omitempty"`
	Message        int                   `json:"msg,omitempty"` // the client's number of the message, over all its hand-ins; from 1
	Class          string                `json:"class,omitempty"`
	Dest           *int                  `json:"dest,omitempty"`
	Key            string                `json:"key,omitempty"`
	TimeLeft       Micros                `json:"left,omitempty"` // until the message is given up
	Status         string                `json:"status,omitempty"`
	RetryAfter     Micros                `json:"after,omitempty"` // wait, or when to come again
	Detail         string                `json:"what,omitempty"`
	Call           int                   `json:"call,omitempty"` // from 1
	Host           string                `json:"host,omitempty"`
	IDs            []string              `json:"ids,omitempty"`
	States         []string              `json:"states,omitempty"` // of IDs, in their order
	FirstByte      Micros                `json:"began,omitempty"`  // the call's first byte
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
	OldestAgeRatio float64               `json:"oldest,omitempty"` // the most that an age is of its bound
	Digest         uint32                `json:"digest,omitempty"`
	KnownSince     map[string]Micros     `json:"known,omitempty"` // since when a closing or an outage has been known
	GossipSent     int                   `json:"notes,omitempty"` // between relays: sent, one to all counting once, and their bytes
	GossipBytes    int                   `json:"note_bytes,omitempty"`
	GossipReceived int                   `json:"received,omitempty"` // notes carried to a relay
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

	Line int `json:"-"` // in the file that it was read from, from 1
}

// Zone is how a zone fares with a relay: its state, and how often it was left and returned to since the process started.
type ZoneState struct {
	State       string `json:"state"`
	Evacuations int    `json:"evacuations,omitempty"`
	Returns     int    `json:"returns,omitempty"`
}

// Trial is how an endpoint that is new on the list fares with a relay: its stage, and how often it was held back.
type TrialState struct {
	Stage int `json:"stage"`
	Holds int `json:"holds,omitempty"`
}

// Listed is one endpoint of a list, or of a change of one.
type ListEntry struct {
	Host   string `json:"host"`
	Health string `json:"health"`
}

// Facts is what a checker has to know of the play.
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
	Zones          []string         `json:"zones,omitempty"` // of the relays, by number
	Classes        map[string]Class `json:"classes"`
	Hosts          map[string]Host  `json:"hosts"`
}

// Class is what a checker has to know of a class of message.
type Class struct {
	Effect         string  `json:"effect"` // "retryable", "dedup" or "fragile"
	Group          string  `json:"group"`
	Memory         Micros  `json:"memory"`
	Target         Micros  `json:"aim"`
	Deadline       Micros  `json:"deadline"`
	Value          float64 `json:"worth"`
	LateValueShare float64 `json:"late_share"`
}

// Host is what a checker has to know of an endpoint.
type Host struct {
	Dest int    `json:"dest"`
	Zone string `json:"zone"`
}

// Micros is a time in microseconds.
type Micros int64

// M turns a duration into microseconds.
func ToMicros(d time.Duration) Micros { return Micros(d.Microseconds()) }

// D turns microseconds into a duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// N gives a pointer to a number, for the fields whose 0 means something.
func IntPtr(n int) *int { return &n }

// Writer writes a history. A write that fails is remembered and given by Close.
type Writer struct {
	started time.Time

	mu     sync.Mutex
	out    *bufio.Writer
	file   io.Closer
	events []Event
	err    error
}

// NewWriter begins a history at a moment; the events are kept for Events as well.
func NewWriter(file io.WriteCloser, started time.Time) *Writer {
	return &Writer{started: started, out: bufio.NewWriterSize(file, 1<<20), file: file}
}

// Now is the time since the run began.
func (w *Writer) Now() Micros { return ToMicros(time.Since(w.started)) }

// At is the time from the begin of the run to a moment.
func (w *Writer) At(moment time.Time) Micros { return ToMicros(moment.Sub(w.started)) }

// Add writes events; one without a time gets the present one.
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

// Events gives what has been added, in the order of time.
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

// Close ends the file.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return errors.Join(w.err, w.out.Flush(), w.file.Close())
}

// inOrder sorts events by time; those of one moment stay as they were written.
func sortByTime(all []Event) {
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time < all[j].Time })
}

// maxLine bounds a line of a history.
const maxLineBytes = 16 << 20

// Read reads a history in the order of time. cut says that it has no end: the run was broken off, or the file was.
// A line in the middle that can't be read is an error with its number.
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
		return nil, false, errors.New("line 1: no history: the line that says what was played is missing")
	}
	truncated = badLine != nil || all[len(all)-1].Kind != End
	sortByTime(all)
	return all, truncated, nil
}

// JSON is the event as a line of the history has it.
func (e *Event) JSON() string {
	line, err := json.Marshal(e)
	if err != nil {
		return err.Error() // figures that no JSON has, such as an infinity
	}
	return string(line)
}
