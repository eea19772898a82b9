// Package fleet is soft state that relays share: who is there, which destinations are closed and until when, and what
// was seen of endpoints. Each relay keeps a Store of what it knows, and a Node decides what to tell whom. Neither does
// any input or output nor has a clock; what they are given decides everything, so that the same code runs in a relay,
// in tests and in a model of ten thousand relays.
//
// It promises that no value is had without its age, and none past the bound that its kind declares, by the reader's
// own clock, whatever a sender claims; that merging is commutative, associative, idempotent and monotone, so that notes
// may be lost, late, repeated and out of order; and that nothing here is needed for any rule to hold. It is not safe
// for concurrent use.
package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is a kind of fact.
type Kind uint8

// The kinds of fact. docs/fleet.md has their bounds as a table.
const (
	KindMember             Kind = iota + 1 // Key: the origin's version of the program; Value: its zone, and the number of the beat
	KindDestinationClosed                  // Key: a destination; Value: milliseconds that were told to wait, 0 for none
	KindDestinationOpen                    // Key: a destination that took a call
	KindEndpointEjected                    // Key: an endpoint that is out; Value: the origin's zone
	KindEndpointRecovered                  // Key: an endpoint that serves again
	KindConnectionRejected                 // Key: an endpoint that took no connection
	KindSendRate                           // Key: a destination; Value: see PaceValue
	kindEnd
)

// Lifetime is how old a fact of a kind may be.
type Lifetime struct {
	Name         string
	FadesAfter   time.Duration // from then on it weighs less
	ExpiresAfter time.Duration // past it there is none
	// Fallback is what a relay does that has no such fact.
	Fallback string
}

// Lifetimes are the bounds of all kinds. A member's follow from how often each tells of itself: see Node.Beat.
var Lifetimes = map[Kind]Lifetime{
	KindMember:             {"member", 60 * time.Second, 120 * time.Second, "counts the relays of the configuration"},
	KindDestinationClosed:  {"closed", 2 * time.Second, 10 * time.Second, "goes by its own refusals"},
	KindDestinationOpen:    {"open", 2 * time.Second, 10 * time.Second, "goes by its own successes"},
	KindEndpointEjected:    {"out", 2 * time.Second, 30 * time.Second, "goes by its own failures"},
	KindEndpointRecovered:  {"back", 10 * time.Second, 30 * time.Second, "tries at its own share of the cold return"},
	KindConnectionRejected: {"no room", 5 * time.Second, 10 * time.Second, "goes by its own connections"},
	KindSendRate:           {"pace", 45 * time.Second, 90 * time.Second, "begins with an even share of the listed rate"},
}

// FactVersion orders what one origin says of one thing: later starts of its process come after earlier ones.
type FactVersion struct {
	Incarnation uint32 // seconds since 1970 at which the origin's process started
	Seq         uint32
}

// Compare gives the order of two stamps.
func (s FactVersion) Compare(o FactVersion) int {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Seq, o.Seq))
}

// FactID names a register: each origin writes its own alone.
type FactID struct {
	Kind   Kind
	Origin uint16
	Key    string
}

// Fact is what one origin says of one thing.
type Fact struct {
	FactID
	FactVersion
	Value uint64
	// ObservedAt is when it was observed, by the clock of whoever holds it: never later than the first moment at which it
	// could have been, so that it is not made younger on its way.
	ObservedAt time.Duration
	// Via is the relay that it came from: its origin, or another that passed it on.
	Via uint16
}

// direct tells whether a fact came from its origin itself.
func (f Fact) direct() bool { return f.Via == f.Origin }

// AgedFact is a fact as it is read: never without its age.
type AgedFact struct {
	Fact
	Age    time.Duration
	Fading bool
}

// topic is what all registers of a thing have in common.
type topic struct {
	kind Kind
	key  string
}

// Store is what one relay knows.
type Store struct {
	facts map[FactID]Fact
	about map[topic][]uint16      // origins of the registers of a thing
	since map[topic]time.Duration // when anything was first known of it
}

// NewStore gives a store that knows nothing.
func NewStore() *Store {
	return &Store{facts: map[FactID]Fact{}, about: map[topic][]uint16{}, since: map[topic]time.Duration{}}
}

// Merge takes a fact in, and tells whether it is new. The later stamp wins; of the same stamp, the earlier observation.
func (s *Store) Merge(f Fact, now time.Duration) (fresh bool) {
	if f.Kind == 0 || f.Kind >= kindEnd {
		return false
	}
	f.ObservedAt = min(f.ObservedAt, now)
	old, had := s.facts[f.FactID]
	switch c := f.FactVersion.Compare(old.FactVersion); {
	case !had || c > 0:
		s.facts[f.FactID] = f
		if t := (topic{f.Kind, f.Key}); !had {
			if len(s.about[t]) == 0 {
				s.since[t] = now
			}
			s.about[t] = append(s.about[t], f.Origin)
		}
		return now-f.ObservedAt < Lifetimes[f.Kind].ExpiresAfter
	case c == 0: // nothing new, but it may have been observed earlier, and never later
		old.ObservedAt, old.Value = min(old.ObservedAt, f.ObservedAt), max(old.Value, f.Value)
		if !old.direct() {
			if old.Via = min(old.Via, f.Via); f.direct() {
				old.Via = f.Via
			}
		}
		s.facts[f.FactID] = old
	}
	return false
}

// aged gives a fact with its age, if it may still be used.
func (f Fact) aged(now time.Duration) (AgedFact, bool) {
	b, age := Lifetimes[f.Kind], max(0, now-f.ObservedAt)
	return AgedFact{f, age, age >= b.FadesAfter}, age < b.ExpiresAfter
}

// Get gives what an origin says of a thing, while it may be used.
func (s *Store) Get(id FactID, now time.Duration) (AgedFact, bool) {
	f, ok := s.facts[id]
	if !ok {
		return AgedFact{}, false
	}
	return f.aged(now)
}

// Facts gives the facts that may be used, of one kind or of all (0), in the order of kind, key and origin.
func (s *Store) Facts(kind Kind, now time.Duration) (all []AgedFact) {
	for _, f := range s.facts {
		if a, ok := f.aged(now); ok && (kind == 0 || f.Kind == kind) {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b AgedFact) int { return a.FactID.compare(b.FactID) })
	return all
}

func (a FactID) compare(b FactID) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Origin, b.Origin))
}

// each calls do with what may be used of a thing.
func (s *Store) each(kind Kind, key string, now time.Duration, do func(AgedFact)) {
	for _, origin := range s.about[topic{kind, key}] {
		if a, ok := s.facts[FactID{kind, origin, key}].aged(now); ok {
			do(a)
		}
	}
}

// KnownFor tells for how long anything has been known of a thing.
func (s *Store) KnownFor(kind Kind, key string, now time.Duration) time.Duration {
	return now - s.since[topic{kind, key}]
}

// CountReporters counts the origins that say a thing of a kind, and how old the youngest of that is.
func (s *Store) CountReporters(kind Kind, key string, now time.Duration) (origins int, youngest time.Duration) {
	youngest = Lifetimes[kind].ExpiresAfter
	s.each(kind, key, now, func(a AgedFact) { origins, youngest = origins+1, min(youngest, a.Age) })
	return origins, youngest
}

// RemoveExpired forgets what is past its bound. A stamp that is forgotten could come again only with an older observation,
// which is past its bound as well.
func (s *Store) RemoveExpired(now time.Duration) {
	for id, f := range s.facts {
		if now-f.ObservedAt >= Lifetimes[f.Kind].ExpiresAfter {
			delete(s.facts, id)
			t := topic{id.Kind, id.Key}
			if s.about[t] = slices.DeleteFunc(s.about[t], func(o uint16) bool { return o == id.Origin }); len(s.about[t]) == 0 {
				delete(s.about, t)
				delete(s.since, t)
			}
		}
	}
}

// BucketDigests are sums over hashes of facts, by buckets that the facts' names fall into: where two relays' differ, so do their
// facts of that bucket.
type BucketDigests [buckets]uint16

const buckets = 64

// BucketDigests sums up what may be used, but for what is told steadily.
func (s *Store) BucketDigests(now time.Duration) (sums BucketDigests) {
	s.moving(now, func(f Fact) {
		h := f.hash()
		sums[f.bucket()] += uint16(h ^ h>>16 ^ h>>32 ^ h>>48)
	})
	return sums
}

// Digest sums up the same in one number: two relays with the same facts have the same. It is a sum over hashes, so that
// the order does not matter.
func (s *Store) Digest(now time.Duration) uint32 {
	var sum uint64
	s.moving(now, func(f Fact) { sum += f.hash() })
	return uint32(sum ^ sum>>32)
}

// moving does with each fact that is told once, and that is not about to go: that would differ between two clocks.
func (s *Store) moving(now time.Duration, do func(Fact)) {
	for t, origins := range s.about {
		if t.kind.steady() {
			continue
		}
		for _, origin := range origins {
			if f := s.facts[FactID{t.kind, origin, t.key}]; now-f.ObservedAt < Lifetimes[f.Kind].ExpiresAfter-time.Second {
				do(f)
			}
		}
	}
}

// bucket is the one that a fact's name falls into.
func (f Fact) bucket() int {
	return int(xxhash.Sum64String(f.Key+"\x00"+string(rune(f.Kind))+string(rune(f.Origin))) % buckets)
}

// steady tells whether facts of a kind are told again and again, so that a lost one needs no mending.
func (k Kind) steady() bool { return k == KindMember || k == KindSendRate }

func (f Fact) hash() uint64 {
	b := f.append(nil, 0)
	return xxhash.Sum64(b)
}

// Rank is the place of a member among the live ones for a duty: 0 for the one that carries it, 1 for the one that does
// where that can't, and so on, by rendezvous hashing: a member that comes or goes changes no order among the others.
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.)
func Rank(key string, live []int, member int) (rank int) {
	own := weight(key, member)
	for _, m := range live {
		if w := weight(key, m); w > own || w == own && m < member {
			rank++
		}
	}
	return rank
}

func weight(key string, member int) uint64 {
	return xxhash.Sum64String(key + "\x00" + strconv.Itoa(member))
}
