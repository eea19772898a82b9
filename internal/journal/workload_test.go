package journal

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// guarantees is what a workload was told, whatever a journal makes of it.
type guarantees struct {
	power               bool
	answered            map[string]bool // 202 was sent
	completed           map[string]bool // its end was committed
	completing          map[string]bool // its end was noted, committed or not
	attempted           map[string]bool // an attempt went out that may have run
	pendingNotification map[string]bool
}

func newGuarantees(power bool) *guarantees {
	return &guarantees{power, map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}}
}

// check reports whether what a start finds keeps the promises.
func (p *guarantees) check(j *Journal) error {
	for id := range p.answered {
		e := j.Get(id)
		if e == nil && p.power && !p.completing[id] {
			return fmt.Errorf("%s was answered 202 and is gone", id)
		}
		if e != nil && p.power && p.pendingNotification[id] && e.PendingNotification == nil {
			return fmt.Errorf("%s ended by a notice and may be sent again", id)
		}
	}
	for _, e := range j.Entries() {
		if p.completed[e.ID] && p.power {
			return fmt.Errorf("%s is over and comes back", e.ID)
		}
		mayHaveRun := e.PendingNotification != nil ||
			slices.ContainsFunc(e.Attempts, func(a Attempt) bool { return !a.Ended || !a.NotExecuted })
		if (p.attempted[e.ID] || p.completed[e.ID]) && !mayHaveRun {
			return fmt.Errorf("%s may have run, and that is forgotten", e.ID)
		}
	}
	return nil
}

// runWorkload runs a journal through some rounds, and notes what was promised. answerEarly plants a fault.
func runWorkload(files FS, p *guarantees, answerEarly bool, rounds int) {
	at := instant.Boot.Add(1000 * time.Second)
	clocks := Clocks{
		Now:    func() instant.Time { at = at.Add(time.Second); return at },
		Wall:   func() clock.Wall { return clock.Wall(at - instant.Boot) },
		Uptime: func() time.Duration { return 0 },
	}
	j, _, err := Open("/d", Options{DiskMB: 3, SurvivesPowerLoss: p.power, Files: files, Boot: "one", Clocks: clocks})
	if err != nil {
		return
	}
	for i := range rounds {
		round := workloadRound{journal: j, guarantees: p, number: i}
		round.accept(answerEarly)
		round.advanceAttempts(&at)
		round.notify()
		if i%4 == 3 {
			j.segmentSize = 1 << 30 // the next segment is due
		}
		if j.Commit() == nil {
			round.committed()
		}
	}
}

// workloadRound is what a workload does between two commits.
type workloadRound struct {
	journal    *Journal
	guarantees *guarantees
	number     int

	accepted []string
	sent     []string
	ended    []string
	notified *Entry
}

// accept accepts two messages, as far as there is room.
func (r *workloadRound) accept(answerEarly bool) {
	for k := range 2 {
		e := &Entry{ID: fmt.Sprintf("m%d-%d", r.number, k), Class: "order", Body: bytes.Repeat([]byte{byte(r.number)}, 300)}
		if !r.journal.Reserve(e) {
			continue
		}
		r.journal.Accept(e)
		r.accepted = append(r.accepted, e.ID)
		if answerEarly {
			r.guarantees.answered[e.ID] = true
		}
	}
}

// advanceAttempts starts, ends and completes what is due.
func (r *workloadRound) advanceAttempts(at *instant.Time) {
	for _, e := range r.journal.Entries() {
		switch {
		case e.PendingNotification != nil, len(e.Attempts) == 1 && !e.Attempts[0].NotExecuted && r.number%2 == 0:
			r.journal.Complete(e)
			r.guarantees.completing[e.ID] = true
			r.ended = append(r.ended, e.ID)
		case len(e.Attempts) == 1 && !e.Attempts[0].Ended && r.number%3 == 1:
			r.journal.EndAttempt(e, false)
		case len(e.Attempts) == 0 && r.guarantees.answered[e.ID]:
			r.journal.StartAttempt(e, "h1", *at)
			r.sent = append(r.sent, e.ID)
		}
	}
}

// notify ends the last answered message by a notification, in each third round.
func (r *workloadRound) notify() {
	if r.number%3 != 2 {
		return
	}
	for _, e := range r.journal.Entries() {
		if r.guarantees.answered[e.ID] && e.PendingNotification == nil {
			r.notified = e
		}
	}
	if r.notified != nil {
		r.journal.RecordPendingNotification(r.notified, Notification{ID: r.notified.ID, Status: "undeliverable"})
	}
}

// committed notes the promises that a successful commit makes.
func (r *workloadRound) committed() {
	for _, id := range r.accepted {
		r.guarantees.answered[id] = true
	}
	for _, id := range r.sent {
		r.guarantees.attempted[id] = true
	}
	for _, id := range r.ended {
		r.guarantees.completed[id] = true
	}
	if r.notified != nil {
		r.guarantees.pendingNotification[r.notified.ID] = true
	}
}

// checkAfterPowerLoss opens what a crash left, and looks at it; where the start itself may be cut short, it is, and once more.
func checkAfterPowerLoss(left *crashFS, p *guarantees, pick func(int) int, loseAgain bool) error {
	before := left.afterPowerLoss(func(int) int { return 1 })
	j, _, err := Open("/d", Options{DiskMB: 3, SurvivesPowerLoss: p.power, Files: left, Boot: "two"})
	if err != nil {
		return fmt.Errorf("the start fails: %w", err)
	}
	if err := p.check(j); err != nil {
		return err
	}
	if !loseAgain {
		return nil
	}
	var second error
	before.afterCall = func(m *crashFS, call string) {
		if second == nil {
			if err := checkAfterPowerLoss(m.afterPowerLoss(pick), p, pick, false); err != nil {
				second = fmt.Errorf("after a second loss at a %s: %w", call, err)
			}
		}
	}
	if _, _, err := Open("/d", Options{DiskMB: 3, SurvivesPowerLoss: p.power, Files: before, Boot: "two"}); err != nil {
		return err
	}
	return second
}

// simulatePowerLosses runs a workload and has the power fail at each call, in so many ways each; it gives what is broken first.
func simulatePowerLosses(power bool, wrap func(*crashFS) FS, answerEarly bool, statesPerCall int, seed uint64,
	prepare func(*crashFS)) (states int, err error) {
	rng := rand.New(rand.NewPCG(seed, 0))
	m, p := newCrashFS(), newGuarantees(power)
	if prepare != nil {
		prepare(m)
	}
	m.afterCall = func(m *crashFS, call string) {
		for range statesPerCall {
			if err != nil {
				return
			}
			states++
			if broken := checkAfterPowerLoss(m.afterPowerLoss(rng.IntN), p, rng.IntN, states%8 == 0); broken != nil {
				err = fmt.Errorf("power lost after call %d, a %s: %w", m.calls, call, broken)
			}
		}
	}
	runWorkload(wrap(m), p, answerEarly, 9)
	return states, err
}
