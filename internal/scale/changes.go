package scale

import (
	"context"
	"slices"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/scale/standin"
)

// listChange is a change of the list of destinations: the time at which discovery published it, and the number of
// listed entries from then on.
type listChange struct {
	at     time.Time
	listed int
}

// toggleNextEntry removes the next of the toggled entries from the list or puts it back. First all of them are
// removed one by one, then all are put back, so that the number of listed entries shows which changes a relay has
// applied.
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

// changeAtRate changes the list at a constant rate for a time span and returns the changes.
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

// catchUpTimeout is the time after a phase within which a relay has to apply the remaining changes.
const catchUpTimeout = 10 * time.Second

// awaitAllChanges reports whether the relay applies all changes within catchUpTimeout. The number of entries does not
// show this by itself, since the toggled entries lead to the same numbers again and again. So the marker entries are
// removed, which leads to a number that toggling alone cannot reach, since there are more markers than toggled entries,
// and put back.
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

// awaitListCount waits until the relay's counter equals the number of listed entries, or the context ends.
func (b *testBed) awaitListCount(ctx context.Context) {
	const pollEvery = 20 * time.Millisecond
	for {
		if listed, err := b.members(); err == nil && listed == b.list.Listed() {
			return
		}
		if !clock.Sleep(ctx, pollEvery) {
			return
		}
	}
}

// counterSample is the relay's count of listed entries at one time.
type counterSample struct {
	at     time.Time
	listed int
}

// sampleListCount polls the relay's count of listed entries until the context ends, and returns a sample for each new
// value.
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

// timesToEffect returns the time until each change took effect at the relay, in rising order, and the number of
// changes that had not by the end. A sample is matched with the first change not yet in effect that leads to its
// number of entries; if several match, this overestimates the time.
func timesToEffect(changes []listChange, samples []counterSample) (took []time.Duration, missing int) {
	next := 0
	for _, s := range samples {
		reached := -1
		for i := next; i < len(changes) && !changes[i].at.After(s.at); i++ {
			if changes[i].listed == s.listed {
				reached = i
				break
			}
		}
		for ; next <= reached; next++ {
			took = append(took, s.at.Sub(changes[next].at))
		}
	}
	slices.Sort(took)
	return took, len(changes) - next
}
