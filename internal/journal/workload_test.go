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

// guarantees records which commits of a workload succeeded, and so what a journal must preserve. Its maps are keyed by ID.
type guarantees struct {
	power               bool
	answered            map[string]bool // the client got status 202
	completed           map[string]bool // the record that completes it was committed
	completing          map[string]bool // the record that completes it was appended, committed or not
	attempted           map[string]bool // the start of an attempt was committed, so an endpoint may have executed it
	pendingNotification map[string]bool // its notification was committed
}

func newGuarantees(power bool) *guarantees {
	return &guarantees{power, map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}}
}

// check returns an error if a journal that was opened after a power loss violates a guarantee.
func (p *guarantees) check(j *Journal) error {
	for id := range p.answered {
		e := j.Get(id)
		if e == nil && p.power && !p.completing[id] {
			return fmt.Errorf("entry %s was acknowledged with 202 and is lost", id)
		}
		if e != nil && p.power && p.pendingNotification[id] && e.PendingNotification == nil {
			return fmt.Errorf("entry %s lost its pending notification and may be attempted again", id)
		}
	}
	for _, e := range j.Entries() {
		if p.completed[e.ID] && p.power {
			return fmt.Errorf("entry %s was completed and is live again", e.ID)
		}
		mayHaveRun := e.PendingNotification != nil ||
			slices.ContainsFunc(e.Attempts, func(a Attempt) bool { return !a.Ended || !a.NotExecuted })
		if (p.attempted[e.ID] || p.completed[e.ID]) && !mayHaveRun {
			return fmt.Errorf("entry %s may have been executed, but has no attempt that says so", e.ID)
		}
	}
	return nil
}

// runWorkload uses a journal for a number of rounds, and records in p what it must preserve. answerEarly injects a fault:
// clients get their response before the commit.
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
			j.segmentSize = 1 << 30 // the next Commit begins a new segment
		}
		if j.Commit() == nil {
			round.committed()
		}
	}
}

// workloadRound is the part of a workload between two commits.
type workloadRound struct {
	journal    *Journal
	guarantees *guarantees
	number     int

	accepted []string // IDs of the entries that were accepted
	sent     []string // IDs of the entries with a new attempt
	ended    []string // IDs of the entries that were completed
	notified *Entry   // entry that got a pending notification; nil for none
}

// accept accepts up to two entries, as far as Reserve permits.
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

// advanceAttempts takes the next step of the live entries: it starts or ends an attempt, or completes the entry.
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

// notify records a pending notification for the last acknowledged entry without one, in every third round.
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

// committed adds the guarantees that follow from the round's successful commit.
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

// checkAfterPowerLoss opens a journal on the file system left, and checks the guarantees. With loseAgain, it also simulates a
// second power loss after each call of this Open.
func checkAfterPowerLoss(left *crashFS, p *guarantees, pick func(int) int, loseAgain bool) error {
	before := left.afterPowerLoss(func(int) int { return 1 })
	j, _, err := Open("/d", Options{DiskMB: 3, SurvivesPowerLoss: p.power, Files: left, Boot: "two"})
	if err != nil {
		return fmt.Errorf("open after the power loss: %w", err)
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
				second = fmt.Errorf("after a second power loss, at a %s: %w", call, err)
			}
		}
	}
	if _, _, err := Open("/d", Options{DiskMB: 3, SurvivesPowerLoss: p.power, Files: before, Boot: "two"}); err != nil {
		return err
	}
	return second
}

// simulatePowerLosses runs a workload and simulates power losses after each call, each with statesPerCall random outcomes for
// unsynced data. It returns the number of states that were checked, and the first violation of a guarantee.
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
				err = fmt.Errorf("power lost after call %d (%s): %w", m.calls, call, broken)
			}
		}
	}
	runWorkload(wrap(m), p, answerEarly, 9)
	return states, err
}
