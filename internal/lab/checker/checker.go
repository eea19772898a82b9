// Package checker evaluates a recorded history of a lab run against the rules of the protocol. It shares no code with the relay
// or with the lab's stand-ins and needs only the history, so it can also be applied to a history file on its own.
//
// Every violation names the message or the relay that it concerns and the history lines that show it. A run in which the lab
// itself was late is marked invalid and never passes. If the history is truncated, only what it shows counts: an outcome that
// would lie past its last event is not reported as missing.
package checker

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strconv"
	"time"

	"milletsail/internal/lab/history"
)

// The names of the rules, as reports show them. Each comment describes the violation.
const (
	Lost        = "lost"          // an accepted message had no outcome in time
	AfterEnd    = "after-end"     // a message was sent after the relay had ended it, or after an endpoint had answered delivered or over
	SecondCopy  = "second-copy"   // a second attempt began while another was in flight
	Attempts    = "attempts"      // a message had more attempts than the limit
	Repeat      = "repeat"        // a message was sent again although its class forbids a repeat
	HandedBack  = "handed-back"   // a message that may have run was deferred or refused although its class forbids a repeat
	WrongHost   = "wrong-host"    // a call went to an endpoint of another destination, or to one that the relay had not been sent yet
	Drain       = "drain"         // a call went to a draining or deleted endpoint after the grace time
	Wait        = "wait"          // a call went to a destination during a wait that its Retry-After had asked for
	PushedOver  = "pushed-over"   // relays that had seen an endpoint fail sent it too many calls after it came back cold
	Unknown     = "unknown"       // a call carried a message that no client had handed in
	NoteTooLong = "note-too-long" // a relay sent a gossip datagram longer than 256 bytes
	PeerLeft    = "peer-left"     // a malformed peer got neither an error nor a close in time, or its request was accepted
	Crash       = "crash"         // a relay process ended by itself or did not start
	Stale       = "stale"         // a relay held a fact whose age had reached its declared bound
	LeftZone    = "left-zone"     // a call went to a zone that operators had ordered to evacuate
	Limits      = "limits"        // a relay exceeded its memory, descriptor or disk limit
)

// Rules lists all rules in the order in which a report shows them.
var Rules = []string{Lost, AfterEnd, SecondCopy, Attempts, Repeat, HandedBack, WrongHost, Drain, Wait, PushedOver, Unknown,
	NoteTooLong, PeerLeft, Crash, Stale, LeftZone, Limits}

// Tolerances and time limits of the protocol, and thresholds of the checker.
const (
	timingSlack        = 50 * time.Millisecond   // tolerance added to every time limit
	outcomeWithin      = 300 * time.Millisecond  // longest time from a message's deadline to its outcome
	startupGrace       = 1500 * time.Millisecond // time for a process to catch up after it is ready or thawed
	discoveryDeadline  = 6 * time.Second         // time after which a relay counts as informed of a change at discovery
	reloadDeadline     = 4 * time.Second         // time after SIGHUP within which a relay must use its changed list
	retryAfterSlack    = 100 * time.Millisecond  // tolerance for calls already under way when a Retry-After arrives
	peerCloseWithin    = 3 * time.Second         // longest time until a relay answers or closes a malformed peer
	evacuateWithin     = 500 * time.Millisecond  // tolerance after an evacuation order for calls decided before it
	shutdownLossWindow = 100 * time.Millisecond  // time before its end in which a process may not have read a list sent to it
	coldSigmas         = 2.0                     // margin above a call budget for random variation, in square roots of the budget
	observerShare      = 2.0 / 3                 // smallest share, of all calls in the window, from relays that saw the endpoint fail
	maxLateShare       = 0.001                   // largest share of the lab's own timed events that may be late in a valid run
	maxLateAlways      = 3                       // number of late events that never invalidates a run, however short
	maxViolationLines  = 30                      // most history lines shown with one violation
)

// Violation is one breach of a rule.
type Violation struct {
	Rule  string `json:"rule"`
	Relay int    `json:"relay"`
	ID    string `json:"id,omitempty"` // message ID; empty if the violation concerns no single message
	Text  string `json:"text"`
	Lines []int  `json:"lines"` // line numbers in the history file
}

// Verdict is the result of checking a history.
type Verdict struct {
	Violations    []Violation `json:"violations"`
	InvalidReason string      `json:"void,omitempty"` // reason for which the run does not count; empty for a valid run
	Truncated     bool        `json:"cut,omitempty"`  // the history has no end event
	Messages      int         `json:"messages"`       // accepted hand-ins whose outcome was in time
	Calls         int         `json:"calls"`
	// ColdWindows holds, for each reading of the rule on cold destinations, the window that came closest to breaking it.
	ColdWindows []ColdWindow `json:"cold_windows,omitempty"`
}

// Passed reports whether the run is valid and breaks no rule.
func (v *Verdict) Passed() bool { return len(v.Violations) == 0 && v.InvalidReason == "" }

// String summarizes the verdict in a few words.
func (v *Verdict) String() string {
	switch {
	case len(v.Violations) > 0:
		return fmt.Sprintf("%d violations", len(v.Violations))
	case v.InvalidReason != "":
		return "void: " + v.InvalidReason
	case v.Truncated:
		return "kept as far as the truncated history shows"
	}
	return "kept"
}

// micros is a time since the run began, in microseconds.
type micros = history.Micros

// call is one call to an endpoint, assembled from its events.
type call struct {
	history.Event
	// finished is when the call stopped being in flight on an open connection; forever if the history shows no end.
	finished micros
	notRun   map[string]bool   // whether the answer proves that a message did not run, by message ID
	replied  micros            // when the reply was written to the relay; 0 if there was none
	states   map[string]string // reply's state of each message, by message ID
	lines    []int
}

const forever = micros(math.MaxInt64)

// submission is one message handed in to one relay under one ID.
type submission struct {
	relay         int
	id            string
	handIn        history.Event
	class         history.Class
	accepted      micros // when the client got the relay's acceptance; 0 if it did not
	refused       micros // when the client got an answer other than 200 or 202; 0 if it did not
	refusalStatus string // HTTP status of that answer
	clientLeft    micros // when the client disconnected without an answer; 0 if it did not
	notifications []history.Event
	calls         []*call
	lines         []int
}

// submissionKey identifies a submission: the message ID at a relay.
type submissionKey struct {
	relay int
	id    string
}

// relayTimeline records the process events of one relay.
type relayTimeline struct {
	processes   int
	unavailable []interval // periods without a ready process, with startupGrace after each; an outcome due in one is due at its end
	outages     []micros   // times at which no process of the relay was left
	reloads     []micros
	frozen      []interval
	wiped       []micros
	bitFlips    []micros // one entry for each bit flipped in the relay's journal
}

type interval struct{ from, to micros }

// checker holds the state of one pass over a history.
type checker struct {
	parameters      *history.Parameters
	events          []history.Event
	lastEvent       micros
	verdict         Verdict
	submissions     map[submissionKey]*submission
	inOrder         []*submission
	calls           map[int]*call
	callsInOrder    []*call
	timelines       []*relayTimeline
	endpointOutages map[string][]endpointOutage
	evacuations     map[int]map[string]evacuation // evacuation orders in force, by relay and zone
	listChanges     []history.Event
	listsSent       map[int][]history.Event // lists that discovery sent, by relay
}

// endpointOutage is one outage of an endpoint and its return.
type endpointOutage struct {
	from, restored micros
	capacity       float64
	overloaded     micros
}

// Check evaluates a history in the order of time, as history.Read returns it. truncated reports that it has no end event.
func Check(events []history.Event, truncated bool) Verdict {
	c := &checker{parameters: events[0].Parameters, events: events, submissions: map[submissionKey]*submission{}, calls: map[int]*call{},
		endpointOutages: map[string][]endpointOutage{}, evacuations: map[int]map[string]evacuation{}, listsSent: map[int][]history.Event{}}
	c.verdict.Truncated = truncated
	for range c.parameters.Relays {
		c.timelines = append(c.timelines, &relayTimeline{})
	}
	c.lastEvent = events[len(events)-1].Time
	for i := range events {
		c.record(&events[i])
	}
	c.closeTimelines()
	for _, h := range c.inOrder {
		c.checkSubmission(h)
	}
	c.checkRetryAfter()
	c.checkLists()
	c.checkReturns()
	c.checkPeers()
	c.verdict.Calls = len(c.callsInOrder)
	sort.SliceStable(c.verdict.Violations, func(i, j int) bool {
		a, b := c.verdict.Violations[i], c.verdict.Violations[j]
		return cmp.Or(cmp.Compare(slices.Index(Rules, a.Rule), slices.Index(Rules, b.Rule)), cmp.Compare(firstLine(a.Lines), firstLine(b.Lines))) < 0
	})
	return c.verdict
}

func firstLine(lines []int) int {
	if len(lines) == 0 {
		return 0
	}
	return lines[0]
}

// addViolation records a violation with the history lines that show it, at most maxViolationLines.
func (c *checker) addViolation(rule string, relay int, id, text string, lines ...int) {
	lines = slices.Clone(lines)
	slices.Sort(lines)
	lines = slices.Compact(lines)
	if len(lines) > maxViolationLines {
		lines = lines[:maxViolationLines]
	}
	c.verdict.Violations = append(c.verdict.Violations, Violation{rule, relay, id, text, lines})
}

// relayOf returns the relay of an event, or -1 if it has none.
func relayOf(e *history.Event) int {
	if e.Relay == nil {
		return -1
	}
	return *e.Relay
}

// record applies one event to the state of the checker.
func (c *checker) record(e *history.Event) {
	switch e.Kind {
	case history.Relay:
		c.recordRelay(e)
	case history.HandIn:
		k := submissionKey{relayOf(e), e.ID}
		// A client repeats a hand-in under the same ID if it crossed a closing connection; only the first counts.
		if c.submissions[k] == nil {
			h := &submission{relay: k.relay, id: e.ID, handIn: *e, class: c.parameters.Classes[e.Class], lines: []int{e.Line}}
			c.submissions[k] = h
			c.inOrder = append(c.inOrder, h)
		}
	case history.Answer:
		if h := c.latestByID(e.ID); h != nil {
			h.lines = append(h.lines, e.Line)
			if e.Status == "202" || e.Status == "200" {
				h.accepted = e.Time
			} else {
				h.refused, h.refusalStatus = e.Time, e.Status
			}
		}
	case history.Left:
		if h := c.latestByID(e.ID); h != nil {
			h.clientLeft = e.Time
			h.lines = append(h.lines, e.Line)
		}
	case history.Notice:
		if h := c.submissions[submissionKey{relayOf(e), e.ID}]; h != nil {
			h.notifications = append(h.notifications, *e)
			h.lines = append(h.lines, e.Line)
		}
	case history.Call:
		c.recordCall(e)
	case history.Reply, history.Gone, history.Broken:
		c.recordCallEnd(e)
	case history.List:
		if e.SentToRelay {
			c.listsSent[relayOf(e)] = append(c.listsSent[relayOf(e)], *e)
		} else {
			c.listChanges = append(c.listChanges, *e)
		}
	case history.Outage:
		c.endpointOutages[e.Host] = append(c.endpointOutages[e.Host], endpointOutage{from: e.Time, restored: forever, overloaded: forever})
	case history.Back, history.Fell:
		if all := c.endpointOutages[e.Host]; len(all) > 0 {
			o := &all[len(all)-1]
			if e.Kind == history.Back {
				o.restored, o.capacity = e.Time, e.Rate
			} else {
				o.overloaded = min(o.overloaded, e.Time)
			}
		}
	case history.Note:
		c.addViolation(NoteTooLong, relayOf(e), "", fmt.Sprintf("a datagram of %d bytes", e.Bytes), e.Line)
	case history.Usage:
		c.checkUsage(e)
	case history.View:
		if e.OldestAgeRatio >= 1 {
			c.addViolation(Stale, relayOf(e), "", fmt.Sprintf("the oldest fact that the relay held had an age of %.3g times its bound", e.OldestAgeRatio), e.Line)
		}
	case history.Order:
		if c.evacuations[relayOf(e)] == nil {
			c.evacuations[relayOf(e)] = map[string]evacuation{}
		}
		c.evacuations[relayOf(e)][e.Zone] = evacuation{from: e.Time, until: e.EndTime}
	case history.Void:
		c.verdict.InvalidReason = e.Detail
	case history.End:
		if e.LateEvents > maxLateAlways && float64(e.LateEvents) > maxLateShare*float64(e.TimedEvents) {
			c.verdict.InvalidReason = fmt.Sprintf("the lab itself was late for %d of %d events", e.LateEvents, e.TimedEvents)
		}
	}
}

// latestByID returns the most recent submission with a message ID, at any relay.
func (c *checker) latestByID(id string) (found *submission) {
	for r := range c.parameters.Relays {
		if h := c.submissions[submissionKey{r, id}]; h != nil && (found == nil || h.handIn.Time > found.handIn.Time) {
			found = h
		}
	}
	return found
}

func (c *checker) recordRelay(e *history.Event) {
	if relayOf(e) < 0 || relayOf(e) >= len(c.timelines) {
		return
	}
	l := c.timelines[relayOf(e)]
	beginUnavailable := func() {
		if n := len(l.unavailable); n == 0 || l.unavailable[n-1].to != forever {
			l.unavailable = append(l.unavailable, interval{e.Time, forever})
		}
	}
	switch e.Detail {
	case "started":
		l.processes++
	case "term", "killed", "frozen":
		beginUnavailable()
		if e.Detail == "frozen" {
			l.frozen = append(l.frozen, interval{e.Time, forever})
		}
	case "ready", "thawed":
		if n := len(l.unavailable); n > 0 && l.unavailable[n-1].to == forever {
			l.unavailable[n-1].to = e.Time + history.ToMicros(startupGrace)
		}
		if n := len(l.frozen); e.Detail == "thawed" && n > 0 {
			l.frozen[n-1].to = e.Time + history.ToMicros(startupGrace)
		}
	case "ended", "crashed":
		if l.processes--; l.processes == 0 {
			l.outages = append(l.outages, e.Time)
		}
		if e.Detail == "crashed" {
			beginUnavailable()
			c.addViolation(Crash, relayOf(e), "", "the relay process ended by itself: "+e.Status, e.Line)
		}
	case "refused-start":
		c.addViolation(Crash, relayOf(e), "", "the relay did not start", e.Line)
	case "hup":
		l.reloads = append(l.reloads, e.Time)
	case "turned":
		l.bitFlips = append(l.bitFlips, slices.Repeat([]micros{e.Time}, e.Bytes)...)
	case "wiped":
		l.wiped = append(l.wiped, e.Time)
	}
}

// closeTimelines ends the unavailable periods left open by upgrades: there the new process is ready before the old one gets its
// signal to end.
func (c *checker) closeTimelines() {
	for _, l := range c.timelines {
		for i := range l.unavailable {
			if w := &l.unavailable[i]; w.to == forever && l.processes > 0 {
				w.to = w.from + history.ToMicros(startupGrace)
			}
		}
	}
}

func (c *checker) recordCall(e *history.Event) {
	k := &call{Event: *e, finished: forever, notRun: map[string]bool{}, states: map[string]string{}, lines: []int{e.Line}}
	c.calls[e.Call] = k
	c.callsInOrder = append(c.callsInOrder, k)
	c.checkEvacuatedZone(e)
	for _, id := range e.IDs {
		if h := c.submissions[submissionKey{relayOf(e), id}]; h != nil {
			h.calls = append(h.calls, k)
		} else {
			c.addViolation(Unknown, relayOf(e), id, "a call carried a message that no client had handed in to this relay", e.Line)
		}
	}
}

// evacuation is an order of operators to leave a zone, with the times between which it is in force.
type evacuation struct{ from, until history.Micros }

// checkEvacuatedZone reports a call into a zone that operators have ordered to evacuate. Calls are allowed to destinations that
// have endpoints in this zone only, and for messages whose class deduplicates within one zone only.
func (c *checker) checkEvacuatedZone(e *history.Event) {
	host := c.parameters.Hosts[e.Host]
	o, ordered := c.evacuations[relayOf(e)][host.Zone]
	if !ordered || e.FirstByte <= o.from+history.ToMicros(evacuateWithin) || e.FirstByte >= o.until {
		return
	}
	for _, id := range e.IDs {
		if h := c.submissions[submissionKey{relayOf(e), id}]; h != nil && h.class.Group == "zone" {
			return
		}
	}
	for _, other := range c.parameters.Hosts {
		if other.Dest == host.Dest && other.Zone != host.Zone {
			c.addViolation(LeftZone, relayOf(e), firstID(e.IDs), "sent to "+e.Host+" in zone "+host.Zone+", which had been under an evacuation order for "+formatDuration(e.FirstByte-o.from), e.Line)
			return
		}
	}
}

// notRunStatuses are the answers and message states that prove that a message did not run.
var notRunStatuses = map[string]bool{"429": true, "503": true, "504": true, "410": true, "400": true, "413": true,
	"refused": true, "over": true, "spent": true}

func (c *checker) recordCallEnd(e *history.Event) {
	k := c.calls[e.Call]
	if k == nil {
		return
	}
	k.lines = append(k.lines, e.Line)
	// If an answer was lost, the connection stays open and the call in flight until the relay gives it up.
	if e.Kind != history.Broken || e.Detail == "reset" || e.Detail == "spoilt" || e.Detail == "closed" {
		k.finished = min(k.finished, e.Time)
	}
	if e.Kind != history.Reply {
		return
	}
	if e.Detail == "unknown" {
		c.addViolation(Unknown, relayOf(&k.Event), firstID(k.IDs), "a call carried a message that no client had handed in, or not with this content", k.lines...)
	}
	k.replied = e.Time
	for i, id := range k.IDs {
		state := e.Status
		if i < len(e.States) {
			state = e.States[i]
		} else if state == "200" {
			state = "delivered"
		}
		k.states[id], k.notRun[id] = state, notRunStatuses[state]
	}
}

func (c *checker) checkUsage(e *history.Event) {
	f := c.parameters
	for _, u := range []struct {
		what      string
		used, max float64
	}{{"MB of memory", e.MemoryMB, f.MemoryMB}, {"descriptors", float64(e.FDs), float64(f.Sockets)}, {"MB of disk", e.DiskMB, f.DiskMB}} {
		if u.max > 0 && u.used > u.max {
			c.addViolation(Limits, relayOf(e), "", fmt.Sprintf("used %.4g %s, limit %.4g", u.used, u.what, u.max), e.Line)
		}
	}
}

// checkSubmission applies the rules on single messages to one submission.
func (c *checker) checkSubmission(sub *submission) {
	violation := func(rule, text string, lines ...int) {
		c.addViolation(rule, sub.relay, sub.id, text, append(slices.Clone(sub.lines), lines...)...)
	}
	allLines := func() (lines []int) {
		for _, k := range sub.calls {
			lines = append(lines, k.lines...)
		}
		return lines
	}
	c.checkOutcome(sub, func(text string) { violation(Lost, text, allLines()...) })
	if len(sub.calls) > c.parameters.MaxAttempts {
		violation(Attempts, fmt.Sprintf("%d attempts, limit %d", len(sub.calls), c.parameters.MaxAttempts), allLines()...)
	}
	var endedAt micros // when the relay first reported the message as ended
	if sub.refused > 0 {
		endedAt = sub.refused
	}
	for _, n := range sub.notifications {
		if endedAt == 0 || n.Time < endedAt {
			endedAt = n.Time
		}
	}
	for i, k := range sub.calls {
		if endedAt > 0 && k.Time > endedAt+history.ToMicros(timingSlack) {
			violation(AfterEnd, "sent "+formatDuration(k.Time-endedAt)+" after the relay had ended it", k.lines...)
		}
		var mayHaveRun *call // the first earlier attempt that may have run
		for _, earlier := range sub.calls[:i] {
			if earlier.finished > k.Time+history.ToMicros(timingSlack) && !c.processGap(sub.relay, earlier.Time, k.Time) {
				violation(SecondCopy, "a second attempt began while another was in flight", append(slices.Clone(earlier.lines), k.lines...)...)
			}
			if mayHaveRun == nil && !earlier.notRun[sub.id] {
				mayHaveRun = earlier
			}
			answeredOver := earlier.states[sub.id] == "delivered" || earlier.states[sub.id] == "over"
			if answeredOver && earlier.replied > 0 && k.Time > earlier.replied+history.ToMicros(timingSlack) && !c.processGap(sub.relay, earlier.replied, k.Time) {
				violation(AfterEnd, "sent again "+formatDuration(k.Time-earlier.replied)+" after an endpoint had answered that it was delivered or over", append(slices.Clone(earlier.lines), k.lines...)...)
			}
		}
		if mayHaveRun != nil {
			if text := c.repeatForbidden(sub, mayHaveRun, k); text != "" {
				violation(Repeat, text, append(slices.Clone(mayHaveRun.lines), k.lines...)...)
			}
		}
		if host, ok := c.parameters.Hosts[k.Host]; !ok || sub.handIn.Dest == nil || host.Dest != *sub.handIn.Dest {
			violation(WrongHost, "sent to "+k.Host+", which is not an endpoint of its destination", k.lines...)
		}
	}
	c.checkHandedBack(sub, func(text string) { violation(HandedBack, text, allLines()...) })
}

// checkOutcome checks that an accepted message had an outcome in time.
func (c *checker) checkOutcome(sub *submission, reportLost func(string)) {
	l := c.timelines[sub.relay]
	if sub.accepted == 0 || sub.clientLeft > 0 || slices.ContainsFunc(l.wiped, func(t micros) bool { return t > sub.accepted }) {
		return
	}
	due := sub.handIn.Time + sub.handIn.TimeLeft + history.ToMicros(outcomeWithin+timingSlack)
	for _, w := range append(slices.Clone(l.unavailable), l.frozen...) {
		if due >= w.from && due <= w.to {
			due = w.to
		}
	}
	endedAt := forever
	for _, n := range sub.notifications {
		endedAt = min(endedAt, n.Time)
	}
	for _, k := range sub.calls {
		if k.states[sub.id] == "delivered" && k.replied <= c.replyValidUntil(k) {
			endedAt = min(endedAt, k.replied)
		}
		// An endpoint answers "over" or 410 if the message needs no further delivery.
		if k.states[sub.id] == "over" || k.states[sub.id] == "410" {
			endedAt = min(endedAt, k.replied)
		}
	}
	switch {
	case endedAt <= due:
		c.verdict.Messages++
	case due > c.lastEvent: // the history ends before the outcome is due
	case c.consumeBitFlip(l, sub.accepted, due): // a flipped bit may have destroyed the message's journal record
	case endedAt == forever:
		reportLost("accepted, but had no outcome; it was due " + formatDuration(due-sub.handIn.Time) + " after it was handed in")
	default:
		reportLost("accepted, but its outcome came " + formatDuration(endedAt-due) + " too late")
	}
}

// replyValidUntil returns the time until which a reply to a call counts as a delivery. Messages in one call share its outcome:
// the earliest deadline among them, plus slack, applies to all. A call with one message has no limit.
func (c *checker) replyValidUntil(k *call) micros {
	until := forever
	if len(k.IDs) > 1 {
		for _, id := range k.IDs {
			if h := c.submissions[submissionKey{relayOf(&k.Event), id}]; h != nil {
				until = min(until, h.handIn.Time+h.handIn.TimeLeft+history.ToMicros(timingSlack))
			}
		}
	}
	return until
}

// consumeBitFlip reports whether a bit flip between the two times, at which a message was accepted and its outcome was due, can
// explain its loss. It removes that flip: each one excuses at most one message.
func (c *checker) consumeBitFlip(l *relayTimeline, from, to micros) bool {
	i := slices.IndexFunc(l.bitFlips, func(t micros) bool { return t > from && t < to })
	if i < 0 {
		return false
	}
	l.bitFlips = slices.Delete(l.bitFlips, i, i+1)
	return true
}

// repeatForbidden returns why an attempt may not follow an earlier one that may have run, or "" if it may.
func (c *checker) repeatForbidden(h *submission, earlier, k *call) string {
	switch h.class.Effect {
	case "fragile":
		return "sent again although an attempt may have run and its class forbids repeats"
	case "dedup":
		if age := k.Time - earlier.Time; age > h.class.Memory+history.ToMicros(timingSlack) {
			return "sent again " + formatDuration(age) + " after an attempt that may have run; endpoints deduplicate for " + formatDuration(h.class.Memory)
		}
		if h.class.Group == "zone" && c.parameters.Hosts[k.Host].Zone != c.parameters.Hosts[earlier.Host].Zone {
			return "sent again in another zone, which can't deduplicate against the attempt that may have run"
		}
	}
	return ""
}

// checkHandedBack reports a message that was refused or deferred after an attempt that may have run, unless its class is
// retryable or deduplicates across all endpoints.
func (c *checker) checkHandedBack(sub *submission, violation func(string)) {
	if sub.class.Effect == "retryable" || sub.class.Effect == "dedup" && sub.class.Group == "all" {
		return
	}
	var handedBackAt micros
	if sub.refusalStatus == "429" || sub.refusalStatus == "503" {
		handedBackAt = sub.refused
	}
	for _, n := range sub.notifications {
		if n.Status == "deferred" && (handedBackAt == 0 || n.Time < handedBackAt) {
			handedBackAt = n.Time
		}
	}
	for _, k := range sub.calls {
		if handedBackAt > 0 && k.Time < handedBackAt && !k.notRun[sub.id] {
			violation("handed back although an attempt may have run and its class forbids repeats")
			return
		}
	}
}

// processGap reports whether a relay had no process at some time in an interval, after which it may not know the answers that
// it was sent. The interval begins earlier by the slack, since the lab sees the end of a process with a small delay.
func (c *checker) processGap(relay int, from, to micros) bool {
	return slices.ContainsFunc(c.timelines[relay].outages, func(t micros) bool { return t >= from-history.ToMicros(timingSlack) && t <= to })
}

// checkRetryAfter reports calls to a destination during a wait that it asked for with Retry-After.
func (c *checker) checkRetryAfter() {
	type retryAfter struct {
		from, to micros
		by       *call
	}
	type at struct{ relay, dest int }
	waits := map[at][]retryAfter{}
	for _, e := range c.events {
		if k := c.calls[e.Call]; e.Kind == history.Reply && e.RetryAfter > 0 && k != nil {
			a := at{relayOf(&k.Event), c.parameters.Hosts[k.Host].Dest}
			waits[a] = append(waits[a], retryAfter{e.Time, e.Time + e.RetryAfter, k})
		}
	}
	for _, k := range c.callsInOrder {
		for _, w := range waits[at{relayOf(&k.Event), c.parameters.Hosts[k.Host].Dest}] {
			if k.Time > w.from+history.ToMicros(retryAfterSlack) && k.Time < w.to-history.ToMicros(timingSlack) && !c.processGap(relayOf(&k.Event), w.from, k.Time) {
				c.addViolation(Wait, relayOf(&k.Event), firstID(k.IDs), "sent "+formatDuration(k.Time-w.from)+" into a Retry-After wait of "+formatDuration(w.to-w.from),
					append(slices.Clone(w.by.lines), k.lines...)...)
				break
			}
		}
	}
}

func firstID(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

// checkLists reports calls to endpoints that the relay had not been sent yet, and those to draining or deleted endpoints after
// the grace time.
func (c *checker) checkLists() {
	type removal struct {
		at   micros
		line int
		back micros // when it was listed as SERVING again; forever if it was not
	}
	added := map[string]bool{} // endpoints that a change added; they were not on the first list
	removals := map[string][]removal{}
	for _, e := range c.listChanges {
		for _, h := range e.Hosts {
			if h.Health == "SERVING" {
				added[h.Host] = true
				if all := removals[h.Host]; len(all) > 0 {
					all[len(all)-1].back = e.Time
				}
			} else {
				removals[h.Host] = append(removals[h.Host], removal{e.Time, e.Line, forever})
			}
		}
	}
	for _, k := range c.callsInOrder {
		relay := relayOf(&k.Event)
		if added[k.Host] && !c.listedBefore(relay, k.Host, k.FirstByte) {
			c.addViolation(WrongHost, relay, firstID(k.IDs), "sent to "+k.Host+", which no list sent to the relay before had contained", k.lines...)
		}
		for _, l := range removals[k.Host] {
			knownAt, line := c.removalKnownAt(relay, k.Host, l.at)
			limit := knownAt + c.parameters.DrainGrace + history.ToMicros(timingSlack)
			if k.FirstByte > limit && k.FirstByte < l.back {
				c.addViolation(Drain, relay, firstID(k.IDs), "sent to "+k.Host+" "+formatDuration(k.FirstByte-knownAt)+" after the relay counted as informed that it was draining or deleted",
					append([]int{l.line, line}, k.lines...)...)
				break
			}
		}
	}
}

// listedBefore reports whether a relay had been sent an endpoint before a point in time.
func (c *checker) listedBefore(relay int, host string, by micros) bool {
	return slices.ContainsFunc(c.listsSent[relay], func(e history.Event) bool {
		return e.Time <= by && slices.ContainsFunc(e.Hosts, func(h history.ListEntry) bool { return h.Host == host && h.Health != "DELETED" })
	})
}

// removalKnownAt returns when a relay counts as informed that an endpoint was removed at a point in time, and the history line
// that shows it (0 if only a time limit does).
func (c *checker) removalKnownAt(relay int, host string, at micros) (micros, int) {
	knownAt, line := at+history.ToMicros(discoveryDeadline), 0
	l := c.timelines[relay]
	for _, hup := range l.reloads {
		if hup >= at {
			knownAt = min(knownAt, hup+history.ToMicros(reloadDeadline))
		}
	}
	for _, e := range c.listsSent[relay] {
		mentions := e.Detail == "whole" || slices.ContainsFunc(e.Hosts, func(h history.ListEntry) bool { return h.Host == host && h.Health != "SERVING" })
		processed := !slices.ContainsFunc(l.outages, func(t micros) bool { return t >= e.Time && t <= e.Time+history.ToMicros(shutdownLossWindow) })
		if e.Time >= at && mentions && processed && !c.listsAsServing(e, host) {
			if e.Time < knownAt {
				knownAt, line = e.Time, e.Line
			}
			break
		}
	}
	// A relay whose state directory was wiped has to be informed again.
	for _, wiped := range l.wiped {
		if wiped > knownAt {
			knownAt = wiped + history.ToMicros(discoveryDeadline)
		}
	}
	return knownAt, line
}

func (c *checker) listsAsServing(e history.Event, host string) bool {
	return slices.ContainsFunc(e.Hosts, func(h history.ListEntry) bool { return h.Host == host && h.Health == "SERVING" })
}

// replyStatus returns the state of one message of the reply to a call, with "200" for "delivered", or "" without a reply. If
// the states in a bulk reply differ, the order of the map decides which of them it returns, so this varies between checks.
func replyStatus(k *call) string {
	for _, s := range k.states {
		if s == "delivered" {
			return "200"
		}
		return s
	}
	return ""
}

// checkPeers reports malformed peers that got neither an error nor a close in time, or whose request was accepted,
// unless the relay was unavailable or frozen meanwhile.
func (c *checker) checkPeers() {
	connected := map[int]history.Event{}
	for _, e := range c.events {
		if e.Kind != history.Peer {
			continue
		}
		if e.Detail == "came" {
			connected[e.Peer] = e
			continue
		}
		opened, ok := connected[e.Peer]
		if !ok {
			continue
		}
		delete(connected, e.Peer)
		took := e.Time - opened.Time
		code, _ := strconv.Atoi(e.Detail)
		excused := slices.ContainsFunc(append(slices.Clone(c.timelines[relayOf(&e)].unavailable), c.timelines[relayOf(&e)].frozen...), func(w interval) bool {
			return opened.Time <= w.to && e.Time >= w.from
		})
		switch {
		case excused:
		case code >= 200 && code < 300:
			c.addViolation(PeerLeft, relayOf(&e), "", "a malformed peer was answered "+e.Detail, opened.Line, e.Line)
		case e.Detail == "left waiting" || took > history.ToMicros(peerCloseWithin+timingSlack):
			c.addViolation(PeerLeft, relayOf(&e), "", "a malformed peer got neither an error nor a close within "+formatDuration(took), opened.Line, e.Line)
		}
	}
}

// formatDuration formats a time rounded to milliseconds.
func formatDuration(t micros) string { return t.Duration().Round(time.Millisecond).String() }
