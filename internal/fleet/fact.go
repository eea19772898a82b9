package fleet

import (
	"cmp"
	"time"
)

// Kind is the kind of a fact. Its number is part of the message format.
type Kind uint8

// The kinds of fact. docs/fleet.md lists their lifetimes.
const (
	// KindMember is a heartbeat. Key: the origin's program version; Value: its zone and the sequence number of the heartbeat.
	KindMember Kind = iota + 1
	// KindDestinationClosed says that a destination rejects. Key: the destination; Value: its Retry-After in ms, 0 for none.
	KindDestinationClosed
	// KindDestinationOpen says that a destination accepted a request. Key: the destination.
	KindDestinationOpen
	// KindEndpointEjected says that the origin has ejected an endpoint. Key: the endpoint; Value: the origin's zone.
	KindEndpointEjected
	// KindEndpointRecovered says that an ejected endpoint serves again. Key: the endpoint; Value: the origin's zone.
	KindEndpointRecovered
	// KindConnectionRejected says that an endpoint accepts no further connection. Key: the endpoint.
	KindConnectionRejected
	// KindSendRate is the origin's send rate to a destination. Key: the destination; Value: see EncodeRate.
	KindSendRate
	kindEnd
)

// periodic reports whether facts of a kind are sent with every heartbeat, so that anti-entropy need not repair a lost one.
func (k Kind) periodic() bool { return k == KindMember || k == KindSendRate }

// Lifetime bounds the age at which facts of a kind may be used.
type Lifetime struct {
	Name         string        // of the kind in View; part of the admin endpoint's JSON
	FadesAfter   time.Duration // the age from which a fact carries less weight
	ExpiresAfter time.Duration // the age from which a fact is no longer used
}

// Lifetimes holds the lifetime of each kind. That of KindMember must exceed several heartbeat intervals of the largest fleet.
// The comments say what a relay does without such a fact.
var Lifetimes = map[Kind]Lifetime{
	// It counts all relays of the configuration as live.
	KindMember: {"member", 60 * time.Second, 120 * time.Second},
	// It uses the rejections that it received itself.
	KindDestinationClosed: {"closed", 2 * time.Second, 10 * time.Second},
	// It uses its own successful requests.
	KindDestinationOpen: {"open", 2 * time.Second, 10 * time.Second},
	// It uses the failures that it observed itself.
	KindEndpointEjected: {"out", 2 * time.Second, 30 * time.Second},
	// It starts its own recovery ramp.
	KindEndpointRecovered: {"back", 10 * time.Second, 30 * time.Second},
	// It uses the state of its own connections.
	KindConnectionRejected: {"no room", 5 * time.Second, 10 * time.Second},
	// It starts with an even share of the listed rate.
	KindSendRate: {"pace", 45 * time.Second, 90 * time.Second},
}

// FactVersion orders the facts that one origin publishes under one FactID.
type FactVersion struct {
	Incarnation uint32 // of the origin's process; a later process has a higher one
	Seq         uint32 // within the process
}

// Compare returns -1, 0 or 1 as v is older than, equal to or newer than other.
func (v FactVersion) Compare(other FactVersion) int {
	return cmp.Or(cmp.Compare(v.Incarnation, other.Incarnation), cmp.Compare(v.Seq, other.Seq))
}

// FactID identifies a single-writer register: only the relay Origin writes it.
type FactID struct {
	Kind   Kind
	Origin uint16
	Key    string
}

// compareID orders IDs by kind, key and origin.
func compareID(a, b FactID) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Origin, b.Origin))
}

// Fact is the latest value that one origin published under an ID.
type Fact struct {
	FactID
	FactVersion
	Value uint64
	// ObservedAt is the time of the observation by the local clock. Transit times count as age, so a fact never gets
	// younger from relay to relay.
	ObservedAt time.Duration
	// Via is the relay from which the fact was received: its origin, or a relay that forwarded it.
	Via uint16
}

// firstHand reports whether the fact was received from its origin rather than from a relay that forwarded it.
func (f Fact) firstHand() bool { return f.Via == f.Origin }

// withAge returns the fact with its age, and whether it may still be used.
func (f Fact) withAge(now time.Duration) (AgedFact, bool) {
	lifetime, age := Lifetimes[f.Kind], max(0, now-f.ObservedAt)
	return AgedFact{f, age, age >= lifetime.FadesAfter}, age < lifetime.ExpiresAfter
}

// AgedFact is a fact with its age at the time of reading.
type AgedFact struct {
	Fact
	Age    time.Duration
	Fading bool // the age is at least Lifetime.FadesAfter
}
