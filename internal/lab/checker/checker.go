// Package checker judges a history by the protocol's rules, after the run. It shares no code with the relay nor with
// the stand-ins: all that it goes by is the history, and so it runs alone on one as well.
//
// It promises that each broken rule comes with the message or relay that it concerns and the lines of the history that
// show it, that a run in which the lab was late is void and never kept, and that what a history cut off in the middle
// can't show is not held against anyone.
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

// The rules.
const (
	Lost        = "lost"          // taken on, and no end in time
	AfterEnd    = "after-end"     // sent on after the relay had ended it, or was told that it is over
	SecondCopy  = "second-copy"   // two attempts out at once
	Attempts    = "attempts"      // more attempts than the limit
	Repeat      = "repeat"        // sent again though its class forbids it
	HandedBack  = "handed-back"   // deferred or refused though it may have run and its class forbids a repeat
	WrongHost   = "wrong-host"    // to an endpoint that is not of its destination, or not on the relay's list
	Drain       = "drain"         // to an endpoint that drains or is gone
	Wait        = "wait"          // to a destination in a told wait
	PushedOver  = "pushed-over"   // a cold endpoint got too much from relays that saw it fail
	Unknown     = "unknown"       // a message that no client handed in
	NoteTooLong = "note-too-long" // a datagram of over 256 bytes
	PeerLeft    = "peer-left"     // a malformed peer got neither an error nor a close in time, or was taken on
	Crash       = "crash"         // a relay ended by itself, or did not start
	Stale       = "stale"         // a relay believes something past its declared bound
	LeftZone    = "left-zone"     // to a zone that operators had ordered to be left
	Limits      = "limits"        // memory, descriptors or disk
)

// Rules are all rules, in the order of a report.
var Rules = []string{Lost, AfterEnd, SecondCopy, Attempts, Repeat, HandedBack, WrongHost, Drain, Wait, PushedOver, Unknown,
	NoteTooLong, PeerLeft, Crash, Stale, LeftZone, Limits}

// The protocol's slack.
const (
	timingSlack        = 50 * time.Millisecond  // on each time limit
	outcomeWithin      = 300 * time.Millisecond // after a message's time is up
	startupGrace       = 1500 * time.Millisecond
	discoveryDeadline  = 6 * time.Second // what discovery has to tell counts as told
	reloadDeadline     = 4 * time.Second // after SIGHUP
	retryAfterSlack    = 100 * time.Millisecond
	peerCloseWithin    = 3 * time.Second
	evacuateWithin     = 500 * time.Millisecond // of an order, a call that was decided before it begins
	shutdownLossWindow = 100 * time.Millisecond // of its end a process may not have taken in what it was told
	coldSigmas         = 2.0                    // roots of the budget: the protocol leaves room for chance
	observerShare      = 2.0 / 3
	maxLateShare       = 0.001 // of the lab's own events, in a run that counts
	maxLateAlways      = 3     // are none to speak of in any run
	maxViolationLines  = 30    // of a violation
)

// Violation is one broken rule.
type Violation struct {
	Rule  string `json:"rule"`
	Relay int    `json:"relay"`
	ID    string `json:"id,omitempty"` // of the message, where it is about one
	Text  string `json:"text"`
	Lines []int  `json:"lines"` // of the history
}

// Verdict is what a history shows.
type Verdict struct {
	Violations    []Violation `json:"violations"`
	InvalidReason string      `json:"void,omitempty"` // why the run does not count
	Truncated     bool        `json:"cut,omitempty"`  // the history has no end
	Messages      int         `json:"messages"`       // taken on, and judged to their end
	Calls         int         `json:"calls"`
}

// Kept tells whether the run counts and no rule is broken.
func (v *Verdict) Passed() bool { return len(v.Violations) == 0 && v.InvalidReason == "" }

// String names the verdict in a word or two.
func (v *Verdict) String() string {
	switch {
	case len(v.Violations) > 0:
		return fmt.Sprintf("%d broken", len(v.Violations))
	case v.InvalidReason != "":
		return "void: " + v.InvalidReason
	case v.Truncated:
		return "kept as far as it goes"
	}
	return "kept"
}

// us is a moment of the history.
type micros = history.Micros

// call is one call as the history has it.
type call struct {
	history.Event
	finished micros // of its being out on an open connection; forever while there is none
	notRun   map[string]bool
	replied  micros // when the relay was told the end of the message; 0 for never
	states   map[string]string
	lines    []int
}

const forever = micros(math.MaxInt64)

// handed is one message at one relay under one id.
type submission struct {
	relay         int
	id            string
	handIn        history.Event
	class         history.Class
	accepted      micros // when its client heard; 0 for never
	refused       micros
	refusalStatus string // status of a refusal
	clientLeft    micros
	notifications []history.Event
	calls         []*call
	lines         []int
}

// key is a message at a relay.
type submissionKey struct {
	relay int
	id    string
}

// life is what the history tells of one relay's processes.
type relayTimeline struct {
	processes   int
	unavailable []interval // no notice is overdue in these
	outages     []micros   // moments at which no process was left
	reloads     []micros
	frozen      []interval
	wiped       []micros
	bitFlips    []micros // bits in its journal, one entry for each
}

type interval struct{ from, to micros }

// checker is one pass over a history.
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
	evacuations     map[int]map[string]evacuation // in force, by relay and zone
	listChanges     []history.Event
	listsSent       map[int][]history.Event // by relay
}

// outage is one outage of an endpoint.
type endpointOutage struct {
	from, restored micros
	capacity       float64
	overloaded     micros
}

// Check judges a history in the order of time, as history.Read gives it. cut says that it has no end.
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
	c.checkColdEndpoints()
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

// broken notes a broken rule.
func (c *checker) addViolation(rule string, relay int, id, text string, lines ...int) {
	lines = slices.Clone(lines)
	slices.Sort(lines)
	lines = slices.Compact(lines)
	if len(lines) > maxViolationLines {
		lines = lines[:maxViolationLines]
	}
	c.verdict.Violations = append(c.verdict.Violations, Violation{rule, relay, id, text, lines})
}

// of is the relay of an event.
func relayOf(e *history.Event) int {
	if e.Relay == nil {
		return -1
	}
	return *e.Relay
}

// see takes in one event.
func (c *checker) record(e *history.Event) {
	switch e.Kind {
	case history.Relay:
		c.recordRelay(e)
	case history.HandIn:
		k := submissionKey{relayOf(e), e.ID}
		if c.submissions[k] == nil { // one that crossed a closing connection comes once more under its id
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
			c.addViolation(Stale, relayOf(e), "", fmt.Sprintf("a belief of %.3g times its bound", e.OldestAgeRatio), e.Line)
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

// latest is a message by its id alone: the hand-in that was last.
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
			c.addViolation(Crash, relayOf(e), "", "the relay ended by itself: "+e.Status, e.Line)
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

// closeLives ends the windows of an upgrade: the new process was ready before the old one was told to end.
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
			c.addViolation(Unknown, relayOf(e), id, "a call with a message that no client handed in to this relay", e.Line)
		}
	}
}

// order is one to leave a zone.
type evacuation struct{ from, until history.Micros }

// seeZone judges a call by the orders of operators. A destination that is in the zone alone is served, and so is a
// message that only endpoints of the zone may know.
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
			c.addViolation(LeftZone, relayOf(e), firstID(e.IDs), "sent to "+e.Host+" in zone "+host.Zone+", left by order since "+formatDuration(e.FirstByte-o.from), e.Line)
			return
		}
	}
}

// never are the answers and states that prove that a message did not run.
var notRunStatuses = map[string]bool{"429": true, "503": true, "504": true, "410": true, "400": true, "413": true,
	"refused": true, "over": true, "spent": true}

func (c *checker) recordCallEnd(e *history.Event) {
	k := c.calls[e.Call]
	if k == nil {
		return
	}
	k.lines = append(k.lines, e.Line)
	// A connection on which an answer got lost stays open until the relay gives the call up.
	if e.Kind != history.Broken || e.Detail == "reset" || e.Detail == "spoilt" || e.Detail == "closed" {
		k.finished = min(k.finished, e.Time)
	}
	if e.Kind != history.Reply {
		return
	}
	if e.Detail == "unknown" {
		c.addViolation(Unknown, relayOf(&k.Event), firstID(k.IDs), "a call with a message that no client handed in in this form", k.lines...)
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
			c.addViolation(Limits, relayOf(e), "", fmt.Sprintf("%.4g %s, %.4g at most", u.used, u.what, u.max), e.Line)
		}
	}
}

// judge looks at one message at one relay.
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
		violation(Attempts, fmt.Sprintf("%d attempts, %d at most", len(sub.calls), c.parameters.MaxAttempts), allLines()...)
	}
	var endedAt micros // when the relay ended the message, or knew that it is over
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
			violation(AfterEnd, "sent on "+formatDuration(k.Time-endedAt)+" after the relay had ended it", k.lines...)
		}
		var mayHaveRun *call // the first that may have run
		for _, earlier := range sub.calls[:i] {
			if earlier.finished > k.Time+history.ToMicros(timingSlack) && !c.processGap(sub.relay, earlier.Time, k.Time) {
				violation(SecondCopy, "a second attempt while one was out", append(slices.Clone(earlier.lines), k.lines...)...)
			}
			if mayHaveRun == nil && !earlier.notRun[sub.id] {
				mayHaveRun = earlier
			}
			answeredOver := earlier.states[sub.id] == "delivered" || earlier.states[sub.id] == "over"
			if answeredOver && earlier.replied > 0 && k.Time > earlier.replied+history.ToMicros(timingSlack) && !c.processGap(sub.relay, earlier.replied, k.Time) {
				violation(AfterEnd, "sent again "+formatDuration(k.Time-earlier.replied)+" after it was answered as over", append(slices.Clone(earlier.lines), k.lines...)...)
			}
		}
		if mayHaveRun != nil {
			if text := c.repeatForbidden(sub, mayHaveRun, k); text != "" {
				violation(Repeat, text, append(slices.Clone(mayHaveRun.lines), k.lines...)...)
			}
		}
		if host, ok := c.parameters.Hosts[k.Host]; !ok || sub.handIn.Dest == nil || host.Dest != *sub.handIn.Dest {
			violation(WrongHost, "sent to "+k.Host+", which is not of its destination", k.lines...)
		}
	}
	c.checkHandedBack(sub, func(text string) { violation(HandedBack, text, allLines()...) })
}

// judgeEnd looks whether a message taken on had its end in time.
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
		// "over" is the platform's own word that nothing more is owed.
		if k.states[sub.id] == "over" || k.states[sub.id] == "410" {
			endedAt = min(endedAt, k.replied)
		}
	}
	switch {
	case endedAt <= due:
		c.verdict.Messages++
	case due > c.lastEvent: // the history does not go so far
	case c.consumeBitFlip(l, sub.accepted, due): // a bit that turned may cost the record that it is in
	case endedAt == forever:
		reportLost("taken on, and never ended; its end was due " + formatDuration(due-sub.handIn.Time) + " after it was handed in")
	default:
		reportLost("taken on, and ended " + formatDuration(endedAt-due) + " too late")
	}
}

// fateOf is until when the answer to a call counts: messages that share a call share its fate, and the time of one that is
// up ends it for all.
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

// costs tells whether a bit that turned while a message was held can have cost it; each costs one at most.
func (c *checker) consumeBitFlip(l *relayTimeline, from, to micros) bool {
	i := slices.IndexFunc(l.bitFlips, func(t micros) bool { return t > from && t < to })
	if i < 0 {
		return false
	}
	l.bitFlips = slices.Delete(l.bitFlips, i, i+1)
	return true
}

// forbidden tells why an attempt may not follow one that may have run.
func (c *checker) repeatForbidden(h *submission, earlier, k *call) string {
	switch h.class.Effect {
	case "fragile":
		return "sent again though an attempt may have run, and its class may never be repeated"
	case "dedup":
		if age := k.Time - earlier.Time; age > h.class.Memory+history.ToMicros(timingSlack) {
			return "sent again " + formatDuration(age) + " after an attempt that may have run; receivers remember it for " + formatDuration(h.class.Memory)
		}
		if h.class.Group == "zone" && c.parameters.Hosts[k.Host].Zone != c.parameters.Hosts[earlier.Host].Zone {
			return "sent again in a zone that does not know of the attempt that may have run"
		}
	}
	return ""
}

// judgeHandedBack looks whether a message was handed back that may have run.
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
			violation("handed back though an attempt may have run, and its class forbids a repeat")
			return
		}
	}
}

// gapBetween tells whether a relay had a moment without a process, after which it may not know what it was told. What
// was written to a process that had just ended counts as well: the lab sees that a little late.
func (c *checker) processGap(relay int, from, to micros) bool {
	return slices.ContainsFunc(c.timelines[relay].outages, func(t micros) bool { return t >= from-history.ToMicros(timingSlack) && t <= to })
}

// judgeWaits looks at the calls to destinations in a told wait.
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
				c.addViolation(Wait, relayOf(&k.Event), firstID(k.IDs), "sent "+formatDuration(k.Time-w.from)+" into a told wait of "+formatDuration(w.to-w.from),
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

// judgeLists looks at the calls to endpoints that drain, are gone, or were never on the relay's list.
func (c *checker) checkLists() {
	type removal struct {
		at   micros
		line int
		back micros // listed as serving again
	}
	added := map[string]bool{} // a host that some change brought: it is not on the first list
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
			c.addViolation(WrongHost, relay, firstID(k.IDs), "sent to "+k.Host+", which the relay's list never had", k.lines...)
		}
		for _, l := range removals[k.Host] {
			knownAt, line := c.removalKnownAt(relay, k.Host, l.at)
			limit := knownAt + c.parameters.DrainGrace + history.ToMicros(timingSlack)
			if k.FirstByte > limit && k.FirstByte < l.back {
				c.addViolation(Drain, relay, firstID(k.IDs), "sent to "+k.Host+" "+formatDuration(k.FirstByte-knownAt)+" after the relay was told that it drains or is gone",
					append([]int{l.line, line}, k.lines...)...)
				break
			}
		}
	}
}

// heardOf tells whether a relay was told of an endpoint before a moment.
func (c *checker) listedBefore(relay int, host string, by micros) bool {
	return slices.ContainsFunc(c.listsSent[relay], func(e history.Event) bool {
		return e.Time <= by && slices.ContainsFunc(e.Hosts, func(h history.ListEntry) bool { return h.Host == host && h.Health != "DELETED" })
	})
}

// toldOf is when a relay counts as told of a change that was made at a moment, and the line that shows it.
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
	// A machine that was lost is told anew.
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

// judgeCold looks whether endpoints that came back cold were pushed over by relays that had seen them fail.
func (c *checker) checkColdEndpoints() {
	f := c.parameters
	at := map[string][]*call{}
	for _, k := range c.callsInOrder {
		at[k.Host] = append(at[k.Host], k)
	}
	for host, outages := range c.endpointOutages {
		for _, o := range outages {
			if o.restored == forever || !(o.capacity > 0) {
				continue
			}
			observers := map[int]bool{}
			for _, k := range at[host] {
				if k.Time >= o.from && k.Time < o.restored && !slices.Contains([]string{"200"}, replyStatus(k)) && k.finished < forever {
					observers[relayOf(&k.Event)] = true
				}
				if k.Time < o.from && k.finished >= o.from && k.finished < o.restored && k.replied == 0 {
					observers[relayOf(&k.Event)] = true // it was out when the outage began, and broke
				}
			}
			var window []*call
			for _, k := range at[host] {
				if k.Time < o.restored || k.Time > min(o.restored+f.RampTime, o.overloaded) {
					continue
				}
				window = append(window, k)
				for window[0].Time < k.Time-f.OverloadFor {
					window = window[1:]
				}
				warmth := math.Min(1, f.ColdShare+(1-f.ColdShare)*float64(k.Time-o.restored)/float64(f.RampTime))
				budget := f.OverloadFactor * o.capacity * warmth * f.OverloadFor.Duration().Seconds()
				if float64(len(window)) <= budget+coldSigmas*math.Sqrt(budget) {
					continue
				}
				fromObservers, lines := 0, []int{}
				for _, w := range window {
					lines = append(lines, w.lines[0])
					if observers[relayOf(&w.Event)] {
						fromObservers++
					}
				}
				if float64(fromObservers) >= observerShare*float64(len(window)) {
					c.addViolation(PushedOver, relayOf(&k.Event), "", fmt.Sprintf("%s got %d calls within %s, %.0f at most, %s after its return; %d came from relays that had seen it fail",
						host, len(window), formatDuration(f.OverloadFor), budget, formatDuration(k.Time-o.restored), fromObservers), lines...)
					break
				}
			}
		}
	}
}

// status is the answer to a call, where there was one.
func replyStatus(k *call) string {
	for _, s := range k.states {
		if s == "delivered" {
			return "200"
		}
		return s
	}
	return ""
}

// judgePeers looks whether malformed peers got an error or a close in time.
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
			c.addViolation(PeerLeft, relayOf(&e), "", "a malformed peer had neither an error nor a close after "+formatDuration(took), opened.Line, e.Line)
		}
	}
}

// ms writes a time.
func formatDuration(t micros) string { return t.Duration().Round(time.Millisecond).String() }
