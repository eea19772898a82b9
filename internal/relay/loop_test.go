package relay

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/config"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/notifier"
	"milletsail/policy"
)

// Guards against duplicate submissions that withdraw or lose an accepted message: clients that submit the same id at once get the
// same response, and one that disconnects after a duplicate submission withdraws nothing.
func TestDuplicateSubmissions(t *testing.T) {
	d, err := policy.New(policy.Settings{FleetSize: 1, Slots: 1, QueueCapacity: 9, MaxAttempts: 1,
		Classes: []policy.Class{{Name: "status", LatencyObjective: time.Second, Deadline: time.Minute, PriorityWeight: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	l := &loop{cfg: &config.Config{}, dispatcher: d, metrics: metrics.New([]policy.Class{{Name: "status"}}),
		journal: openTestJournal(t, t.TempDir(), 3), inbox: make(chan event, 1),
		messages: map[string]*message{}, endpoints: endpointListOf(7)}
	l.cfg.Policy.Classes = []policy.Class{{Name: "status"}}
	newSubmission := func(id string) *frontend.Submission {
		return &frontend.Submission{Response: make(chan frontend.Response, 1),
			Entry: &journal.Entry{ID: id, Class: "status", Dest: 7, ExpiresAt: clock.Now().Add(time.Minute)}}
	}
	status := func(a *frontend.Submission) int {
		select {
		case v := <-a.Response:
			return v.Status
		default:
			return 0
		}
	}
	first, second, third := newSubmission("m"), newSubmission("m"), newSubmission("m")
	l.handleEvent(messageArrived{first})
	l.handleEvent(messageArrived{second})
	if s := status(second); s != 0 {
		t.Errorf("a duplicate of an undecided message was answered %d, want no response", s)
	}
	l.step(t.Context())
	if a, b := status(first), status(second); a != http.StatusAccepted || b != a {
		t.Errorf("the first submission was answered %d and its duplicate %d, want 202 for both", a, b)
	}
	l.handleEvent(messageArrived{third})
	for _, a := range []*frontend.Submission{third, second, first} {
		l.handleEvent(clientLeft{a})
	}
	l.step(t.Context())
	if l.messages["m"] == nil || l.journal.Get("m") == nil {
		t.Error("a message that was answered 202 was withdrawn")
	}
	alone := newSubmission("n")
	l.handleEvent(messageArrived{alone})
	l.handleEvent(clientLeft{alone})
	l.step(t.Context())
	if l.messages["n"] != nil || l.journal.Get("n") != nil {
		t.Error("a message was kept although its only client left before the response")
	}
	// A message that was withdrawn with a call in flight may have been executed. A new submission of its id is answered 503,
	// which permits another attempt, only in a class where repetition is harmless.
	for i, c := range []struct {
		effect      policy.Effect
		keysPerZone bool
		want        int
	}{{policy.Idempotent, false, 503}, {policy.IdempotentWithKey, false, 503}, {policy.IdempotentWithKey, true, 502},
		{policy.NotIdempotent, false, 502}} {
		l.cfg.Policy.Classes[0].Effect, l.cfg.Policy.Classes[0].KeysPerZone = c.effect, c.keysPerZone
		id := fmt.Sprint("out", i)
		withdrawn, resubmitted := newSubmission(id), newSubmission(id)
		l.handleEvent(messageArrived{withdrawn})
		l.step(t.Context())
		m := l.messages[id]
		l.journal.StartAttempt(m.Entry, "h1", clock.Now())
		m.cancel = func() {}
		l.handleEvent(clientLeft{withdrawn})
		l.handleEvent(messageArrived{resubmitted})
		if got := status(resubmitted); got != c.want {
			t.Errorf("resubmission in case %+v was answered %d", c, got)
		}
	}
}

// Guards against a late report of an attempt that could not be sent: the policy must learn of it in the next step, which follows
// at once, and its timer must not change.
func TestTimerAfterUnsentCall(t *testing.T) {
	d, err := policy.New(policy.Settings{FleetSize: 1, Slots: 1, QueueCapacity: 9, MaxAttempts: 1,
		Classes: []policy.Class{{Name: "status", Deadline: time.Minute}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	l := &loop{cfg: &config.Config{}, dispatcher: d, metrics: metrics.New([]policy.Class{{Name: "status"}}),
		journal: openTestJournal(t, t.TempDir(), 3), messages: map[string]*message{}, endpoints: endpointListOf()}
	timer := clock.Now().Add(time.Minute)
	l.timerAt = timer
	m := &message{Entry: &journal.Entry{ID: "m"}}
	l.messages["m"] = m
	l.completeUnsent(send{message: m}, policy.NotStarted)
	if due := l.untilNextStep(); due != 0 {
		t.Errorf("the next step is due in %v, want 0", due)
	}
	l.step(t.Context())
	if l.timerAt != timer {
		t.Errorf("the policy's timer moved by %v, want no change", l.timerAt-timer)
	}
}

// Guards against a lost timer: an event that arrives within the last tick before a timer fires makes the policy set the next
// timer, which must not be discarded together with the first one. A message that only this timer ends would end too late.
func TestTimerSetJustBeforePreviousIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tick = 5 * time.Millisecond
		d, err := policy.New(policy.Settings{FleetSize: 1, Slots: 1, QueueCapacity: 9, MaxAttempts: 1, BatchInterval: tick,
			Classes: []policy.Class{{Name: "status", LatencyObjective: time.Second, Deadline: time.Minute, PriorityWeight: 1}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		l := &loop{cfg: &config.Config{}, dispatcher: d, metrics: metrics.New([]policy.Class{{Name: "status"}}),
			journal:  openTestJournal(t, t.TempDir(), 3),
			messages: map[string]*message{}, endpoints: endpointListOf(7), notifier: &notifier.Notifier{}}
		l.cfg.Policy.Classes = []policy.Class{{Name: "status"}}
		start := time.Now()
		submit := func(id string, left time.Duration) *frontend.Submission {
			a := &frontend.Submission{Response: make(chan frontend.Response, 1), Entry: &journal.Entry{ID: id, Class: "status",
				Dest: 7, ExpiresAt: clock.Now().Add(left)}}
			l.handleEvent(messageArrived{a})
			return a
		}
		first := submit("first", time.Second)
		submit("second", 2*time.Second)
		l.step(t.Context())
		time.Sleep(l.untilNextStep() - tick/2)
		delete(l.messages, "first")
		l.batch.events = append(l.batch.events, policy.Withdrawn{ID: first.Entry.ID})
		l.step(t.Context())
		for range 3 { // runs the steps that timers cause until the second message expires
			time.Sleep(min(l.untilNextStep(), 2*time.Second-time.Since(start)))
			if l.untilNextStep() == 0 {
				l.step(t.Context())
			}
		}
		if m := l.messages["second"]; !m.ended {
			t.Error("no timer ended the second message before it expired")
		}
	})
}
