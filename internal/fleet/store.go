package fleet

import (
	"slices"
	"time"
)

// subject is what facts of several origins are about: one kind and key.
type subject struct {
	kind Kind
	key  string
}

// Store holds the facts that one relay knows. It is a state-based CRDT: Merge is commutative, associative and idempotent.
type Store struct {
	facts      map[FactID]Fact
	origins    map[subject][]uint16      // that have a fact about the subject
	knownSince map[subject]time.Duration // when the first fact about the subject was merged
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{facts: map[FactID]Fact{}, origins: map[subject][]uint16{}, knownSince: map[subject]time.Duration{}}
}

// Merge adds a fact and reports whether it is both new and not expired. The later version wins; for equal versions the
// earlier observation does.
func (s *Store) Merge(fact Fact, now time.Duration) (fresh bool) {
	if fact.Kind == 0 || fact.Kind >= kindEnd {
		return false
	}
	fact.ObservedAt = min(fact.ObservedAt, now)
	old, exists := s.facts[fact.FactID]
	order := fact.Compare(old.FactVersion)
	if !exists || order > 0 {
		s.facts[fact.FactID] = fact
		if !exists {
			s.index(fact.FactID, now)
		}
		return now-fact.ObservedAt < Lifetimes[fact.Kind].ExpiresAfter
	}
	if order == 0 {
		s.facts[fact.FactID] = mergeDuplicate(old, fact)
	}
	return false
}

// mergeDuplicate merges two copies of one version, which may differ by the way on which each was received.
func mergeDuplicate(old, duplicate Fact) Fact {
	old.ObservedAt = min(old.ObservedAt, duplicate.ObservedAt)
	old.Value = max(old.Value, duplicate.Value)
	switch {
	case old.firstHand():
	case duplicate.firstHand():
		old.Via = duplicate.Via
	default:
		old.Via = min(old.Via, duplicate.Via)
	}
	return old
}

// index adds a new ID to the indexes by subject.
func (s *Store) index(id FactID, now time.Duration) {
	about := subject{id.Kind, id.Key}
	if len(s.origins[about]) == 0 {
		s.knownSince[about] = now
	}
	s.origins[about] = append(s.origins[about], id.Origin)
}

// Get returns the fact with an ID, and whether there is one that has not expired.
func (s *Store) Get(id FactID, now time.Duration) (AgedFact, bool) {
	fact, ok := s.facts[id]
	if !ok {
		return AgedFact{}, false
	}
	return fact.withAge(now)
}

// Facts returns the facts of one kind, or of all kinds for 0, that have not expired, ordered by kind, key and origin.
func (s *Store) Facts(kind Kind, now time.Duration) []AgedFact {
	var all []AgedFact
	for _, fact := range s.facts {
		if aged, ok := fact.withAge(now); ok && (kind == 0 || fact.Kind == kind) {
			all = append(all, aged)
		}
	}
	slices.SortFunc(all, func(a, b AgedFact) int { return compareID(a.FactID, b.FactID) })
	return all
}

// each calls yield with each fact of a kind and key that has not expired.
func (s *Store) each(kind Kind, key string, now time.Duration, yield func(AgedFact)) {
	for _, origin := range s.origins[subject{kind, key}] {
		if aged, ok := s.facts[FactID{kind, origin, key}].withAge(now); ok {
			yield(aged)
		}
	}
}

// KnownFor returns how long ago the first fact of a kind and key was merged.
func (s *Store) KnownFor(kind Kind, key string, now time.Duration) time.Duration {
	return now - s.knownSince[subject{kind, key}]
}

// CountReporters returns the number of origins with a fact of a kind and key that has not expired, and the age of the
// youngest such fact, or the kind's ExpiresAfter if there is none.
func (s *Store) CountReporters(kind Kind, key string, now time.Duration) (origins int, youngest time.Duration) {
	youngest = Lifetimes[kind].ExpiresAfter
	s.each(kind, key, now, func(fact AgedFact) {
		origins++
		youngest = min(youngest, fact.Age)
	})
	return origins, youngest
}

// RemoveExpired deletes expired facts. A deleted version can be received again only with the same or an earlier time of
// observation, so it can't become usable again.
func (s *Store) RemoveExpired(now time.Duration) {
	for id, fact := range s.facts {
		if now-fact.ObservedAt < Lifetimes[fact.Kind].ExpiresAfter {
			continue
		}
		delete(s.facts, id)
		about := subject{id.Kind, id.Key}
		s.origins[about] = slices.DeleteFunc(s.origins[about], func(origin uint16) bool { return origin == id.Origin })
		if len(s.origins[about]) == 0 {
			delete(s.origins, about)
			delete(s.knownSince, about)
		}
	}
}
