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
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is a kind of fact.
type Kind uint8

// The kinds of fact. docs/fleet.md has their bounds as a table.
const (
	Member Kind = iota + 1 // Key: the origin's version of the program; Value: its zone
	Closed                 // Key: a destination; Value: milliseconds that were told to wait, 0 for none
	Open                   // Key: a destination that took a call
	Out                    // Key: an endpoint that is out; Value: calls that this rests on
	Back                   // Key: an endpoint that serves again
	NoRoom                 // Key: an endpoint that took no connection
	kindEnd
)

// Bound is how old a fact of a kind may be.
type Bound struct {
	Name  string
	Fades time.Duration // from then on it weighs less
	Until time.Duration // past it there is none
	// Without is what a relay does that has no such fact.
	Without string
}

// Bounds are the bounds of all kinds. A member's follow from how often each tells of itself: see Node.Beat.
var Bounds = map[Kind]Bound{
	Member: {"member", 60 * time.Second, 120 * time.Second, "counts the relays of the configuration"},
	Closed: {"closed", 2 * time.Second, 10 * time.Second, "goes by its own refusals"},
	Open:   {"open", 2 * time.Second, 10 * time.Second, "goes by its own successes"},
	Out:    {"out", 10 * time.Second, 30 * time.Second, "goes by its own failures"},
	Back:   {"back", 10 * time.Second, 30 * time.Second, "tries at its own share of the cold return"},
	NoRoom: {"no room", 5 * time.Second, 10 * time.Second, "goes by its own connections"},
}

// Stamp orders what one origin says of one thing: later starts of its process come after earlier ones.
type Stamp struct {
	Incarnation uint32 // seconds since 1970 at which the origin's process started
	Seq         uint32
}

// Compare gives the order of two stamps.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Seq, o.Seq))
}

// ID names a register: each origin writes its own alone.
type ID struct {
	Kind   Kind
	Origin uint16
	Key    string
}

// Fact is what one origin says of one thing.
type Fact struct {
	ID
	Stamp
	Value uint64
	// Seen is when it was observed, by the clock of whoever holds it: never later than the first moment at which it
	// could have been, so that it is not made younger on its way.
	Seen time.Duration
}

// Aged is a fact as it is read: never without its age.
type Aged struct {
	Fact
	Age    time.Duration
	Fading bool
}

// Store is what one relay knows.
type Store struct {
	facts map[ID]Fact
}

// NewStore gives a store that knows nothing.
func NewStore() *Store { return &Store{facts: map[ID]Fact{}} }

// Merge takes a fact in, and tells whether it is new. The later stamp wins; of the same stamp, the earlier observation.
func (s *Store) Merge(f Fact, now time.Duration) (fresh bool) {
	if f.Kind == 0 || f.Kind >= kindEnd {
		return false
	}
	f.Seen = min(f.Seen, now)
	old, had := s.facts[f.ID]
	switch c := f.Stamp.Compare(old.Stamp); {
	case !had || c > 0:
		s.facts[f.ID] = f
		return now-f.Seen < Bounds[f.Kind].Until
	case c == 0: // nothing new, but it may have been observed earlier, and never later
		old.Seen, old.Value = min(old.Seen, f.Seen), max(old.Value, f.Value)
		s.facts[f.ID] = old
	}
	return false
}

// aged gives a fact with its age, if it may still be used.
func (f Fact) aged(now time.Duration) (Aged, bool) {
	b, age := Bounds[f.Kind], max(0, now-f.Seen)
	return Aged{f, age, age >= b.Fades}, age < b.Until
}

// Get gives what an origin says of a thing, while it may be used.
func (s *Store) Get(id ID, now time.Duration) (Aged, bool) {
	f, ok := s.facts[id]
	if !ok {
		return Aged{}, false
	}
	return f.aged(now)
}

// All gives the facts that may be used, of one kind or of all (0), in the order of kind, key and origin.
func (s *Store) All(kind Kind, now time.Duration) (all []Aged) {
	for _, f := range s.facts {
		if a, ok := f.aged(now); ok && (kind == 0 || f.Kind == kind) {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b Aged) int { return a.ID.compare(b.ID) })
	return all
}

func (a ID) compare(b ID) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Origin, b.Origin))
}

// Agreed counts the origins that say a thing of a kind, and how old the youngest of that is. One relay alone may have
// a bad network of its own: what is said counts by the number that say it.
func (s *Store) Agreed(kind Kind, key string, now time.Duration) (origins int, youngest time.Duration) {
	youngest = Bounds[kind].Until
	for id, f := range s.facts {
		if id.Kind != kind || id.Key != key {
			continue
		}
		if a, ok := f.aged(now); ok {
			origins++
			youngest = min(youngest, a.Age)
		}
	}
	return origins, youngest
}

// Sweep forgets what is past its bound. A stamp that is forgotten could come again only with an older observation,
// which is past its bound as well.
func (s *Store) Sweep(now time.Duration) {
	for id, f := range s.facts {
		if now-f.Seen >= Bounds[f.Kind].Until {
			delete(s.facts, id)
		}
	}
}

// Digest sums up what may be used, but for members: two relays with the same facts have the same. It is a sum over
// hashes, so that the order does not matter.
func (s *Store) Digest(now time.Duration) uint32 {
	var sum uint64
	for _, f := range s.facts {
		// What is about to go would differ between two clocks.
		if f.Kind != Member && now-f.Seen < Bounds[f.Kind].Until-time.Second {
			sum += f.hash()
		}
	}
	return uint32(sum ^ sum>>32)
}

func (f Fact) hash() uint64 {
	b := f.append(nil, 0)
	return xxhash.Sum64(b)
}

// Duty draws which of the live members carry a duty for a thing, n of them, by rendezvous hashing: a member that comes
// or goes moves only the duties that it gains or had. (Thaler and Ravishankar, 1998.)
func Duty(key string, live []int, n int) []int {
	type weighed struct {
		member int
		weight uint64
	}
	all := make([]weighed, len(live))
	for i, m := range live {
		all[i] = weighed{m, xxhash.Sum64String(key + "\x00" + string(rune(m)))}
	}
	slices.SortFunc(all, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member, b.member))
	})
	var carry []int
	for _, w := range all[:min(n, len(all))] {
		carry = append(carry, w.member)
	}
	return carry
}
