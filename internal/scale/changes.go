package scale

import (
	"context"
	"slices"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/scale/standin"
)

// listChange is a change of the list: when discovery had it, and how many entries are listed with it.
type listChange struct {
	at     time.Time
	listed int
}

// toggleNextEntry takes the next of the changing entries off the list, or puts it back: first all of them go one by one, then
// all come back, so that the number of entries tells how many changes a relay has taken in.
func (b *testBed) toggleNextEntry() (listChange, error) {
	health, index := standin.Deleted, b.nextToggle
	if index >= toggledEntries {
		health, index = standin.Serving, index-toggledEntries
	}
	b.nextToggle = (b.nextToggle + 1) % (2 * toggledEntries)
	at := time.Now()
	listed, err := b.list.Set(health, index)
	return listChange{at, listed}, err
}

// changeAtRate changes the list at a steady rate for a time.
func (b *testBed) changeAtRate(ctx context.Context, rate float64, span time.Duration) (all []listChange, err error) {
	if rate <= 0 {
		clock.Sleep(ctx, span)
		return nil, nil
	}
	begun, gap := time.Now(), time.Duration(float64(time.Second)/rate)
	for due := begun; due.Before(begun.Add(span)); due = due.Add(gap) {
		if !clock.Sleep(ctx, time.Until(due)) {
			return all, ctx.Err()
		}
		one, err := b.toggleNextEntry()
		if err != nil {
			return all, err
		}
		all = append(all, one)
	}
	clock.Sleep(ctx, time.Until(begun.Add(span)))
	return all, nil
}

// catchUpTimeout is how long a relay has after a phase to take in what discovery has told it.
const catchUpTimeout = 10 * time.Second

// awaitAllChanges tells whether the relay takes in all changes within catchUp. The number of entries alone does not tell: it comes
// again and again. So the markers are taken off the list, which leads to a number that no earlier change led to, and are put
// back.
func (b *testBed) awaitAllChanges(ctx context.Context) bool {
	markers := make([]int, markerEntries)
	for i := range markers {
		markers[i] = toggledEntries + i
	}
	limited, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for _, health := range []string{standin.Deleted, standin.Serving} {
		if _, err := b.list.Set(health, markers...); err != nil {
			return false
		}
		b.awaitListCount(limited)
	}
	return limited.Err() == nil
}

// awaitListCount waits until the relay's counter shows the number of entries that are listed, or the context ends.
func (b *testBed) awaitListCount(ctx context.Context) {
	const lookAgain = 20 * time.Millisecond
	for {
		if listed, err := b.members(); err == nil && listed == b.list.Listed() {
			return
		}
		if !clock.Sleep(ctx, lookAgain) {
			return
		}
	}
}

// counterSample is what the relay's counter said at a moment.
type counterSample struct {
	at     time.Time
	listed int
}

// sampleListCount looks at the relay's counter until the context ends.
func (b *testBed) sampleListCount(ctx context.Context) (all []counterSample) {
	for {
		listed, err := b.members()
		if err == nil && (len(all) == 0 || all[len(all)-1].listed != listed) {
			all = append(all, counterSample{time.Now(), listed})
		}
		if !clock.Sleep(ctx, pollInterval) {
			return all
		}
	}
}

// timesToEffect gives the time until each change was in force, in rising order, and how many were not by the end. A look stands
// for the first change not yet in force that leads to its number of entries, so that what is not certain is taken as late.
func timesToEffect(changes []listChange, looks []counterSample) (took []time.Duration, missing int) {
	next := 0
	for _, l := range looks {
		reached := -1
		for i := next; i < len(changes) && !changes[i].at.After(l.at); i++ {
			if changes[i].listed == l.listed {
				reached = i
				break
			}
		}
		for ; next <= reached; next++ {
			took = append(took, l.at.Sub(changes[next].at))
		}
	}
	slices.Sort(took)
	return took, len(changes) - next
}
