package fleet

import (
	"slices"
	"time"
)

// subject identifies all facts with the same kind and key; each origin has at most one such fact.
type subject struct {
	kind Kind
	key  string
}

// Store holds the facts that one relay knows. It is a state-based CRDT: Merge is commutative, associative and idempotent.
type Store struct {
	facts      map[FactID]Fact
	origins    map[subject][]uint16      // origins of the stored facts about each subject
	knownSince map[subject]time.Duration // time at which the first fact about each subject was merged
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{facts: map[FactID]Fact{}, origins: map[subject][]uint16{}, knownSince: map[subject]time.Duration{}}
}

// Merge adds a fact to the store unless the store has a later version of it. It reports whether the fact is new, or newer than
// the stored version, and has not expired. Two copies of the same version are combined (see mergeDuplicate). A fact of an
// unknown kind is ignored.
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

// mergeDuplicate combines two copies of the same version, which may have been received through different relays. The result
// has the earlier observation time and the higher value, and a copy that was received first-hand determines Via.
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

// index adds a new ID to origins and knownSince.
func (s *Store) index(id FactID, now time.Duration) {
	factSubject := subject{id.Kind, id.Key}
	if len(s.origins[factSubject]) == 0 {
		s.knownSince[factSubject] = now
	}
	s.origins[factSubject] = append(s.origins[factSubject], id.Origin)
}

// Get returns the fact with the given ID, and reports whether it exists and has not expired.
func (s *Store) Get(id FactID, now time.Duration) (AgedFact, bool) {
	fact, ok := s.facts[id]
	if !ok {
		return AgedFact{}, false
	}
	return fact.withAge(now)
}

// Facts returns the unexpired facts of one kind, or of all kinds if kind is 0, ordered by kind, key and origin.
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

// each calls yield with each unexpired fact of the given kind and key.
func (s *Store) each(kind Kind, key string, now time.Duration, yield func(AgedFact)) {
	for _, origin := range s.origins[subject{kind, key}] {
		if aged, ok := s.facts[FactID{kind, origin, key}].withAge(now); ok {
			yield(aged)
		}
	}
}

// KnownFor returns the time since the first fact of the given kind and key was merged. The result is meaningful only while the
// store has such a fact.
func (s *Store) KnownFor(kind Kind, key string, now time.Duration) time.Duration {
	return now - s.knownSince[subject{kind, key}]
}

// CountReporters returns the number of origins with an unexpired fact of the given kind and key, and the age of the youngest
// such fact, or ExpiresAfter of the kind if there is none.
func (s *Store) CountReporters(kind Kind, key string, now time.Duration) (origins int, youngest time.Duration) {
	youngest = Lifetimes[kind].ExpiresAfter
	s.each(kind, key, now, func(fact AgedFact) {
		origins++
		youngest = min(youngest, fact.Age)
	})
	return origins, youngest
}

// RemoveExpired deletes expired facts. A relay whose copy of a deleted fact has not quite expired could send it again;
// anti-entropy avoids that by leaving out facts that expire within digestMargin.
func (s *Store) RemoveExpired(now time.Duration) {
	for id, fact := range s.facts {
		if now-fact.ObservedAt < Lifetimes[fact.Kind].ExpiresAfter {
			continue
		}
		delete(s.facts, id)
		factSubject := subject{id.Kind, id.Key}
		s.origins[factSubject] = slices.DeleteFunc(s.origins[factSubject], func(origin uint16) bool { return origin == id.Origin })
		if len(s.origins[factSubject]) == 0 {
			delete(s.origins, factSubject)
			delete(s.knownSince, factSubject)
		}
	}
}
