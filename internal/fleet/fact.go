package fleet

import (
	"cmp"
	"time"
)

// Kind is the kind of a fact. Its numeric value is part of the message format.
type Kind uint8

// The kinds of facts. Lifetimes holds their lifetimes.
const (
	// KindMember is a heartbeat. Key: the origin's program version; Value: the origin's zone in the low zoneBits bits and
	// the sequence number of the heartbeat above them.
	KindMember Kind = iota + 1
	// KindDestinationClosed says that a destination rejects requests. Key: the destination; Value: the Retry-After of the
	// rejection in ms, or 0 if it had none.
	KindDestinationClosed
	// KindDestinationOpen says that a destination accepted a request. Key: the destination.
	KindDestinationOpen
	// KindEndpointEjected says that the origin has ejected an endpoint. Key: the endpoint; Value: the origin's zone.
	KindEndpointEjected
	// KindEndpointRecovered says that an ejected endpoint serves requests again. Key: the endpoint; Value: the origin's zone.
	KindEndpointRecovered
	// KindConnectionRejected says that an endpoint rejects further connections. Key: the endpoint.
	KindConnectionRejected
	// KindSendRate is the origin's send rate to a destination. Key: the destination; Value: see EncodeRate.
	KindSendRate
	kindEnd
)

// periodic reports whether facts of the kind are sent with heartbeats. Anti-entropy leaves them out: the next heartbeat
// replaces one that was lost.
func (k Kind) periodic() bool { return k == KindMember || k == KindSendRate }

// Lifetime limits the age up to which facts of a kind may be used.
type Lifetime struct {
	Name         string        // name of the kind in the JSON of the admin endpoint
	FadesAfter   time.Duration // the age from which a fact carries less weight
	ExpiresAfter time.Duration // the age from which a fact is no longer used
}

// Lifetimes holds the lifetime of each kind of fact. The lifetime of KindMember must exceed several heartbeat intervals of the
// largest fleet. The comment at each kind describes what a relay does when it has no such fact.
var Lifetimes = map[Kind]Lifetime{
	// Without heartbeats, the relay counts all relays of the configuration as live.
	KindMember: {"member", 60 * time.Second, 120 * time.Second},
	// Without such reports, the relay relies on the rejections that it received itself.
	KindDestinationClosed: {"closed", 2 * time.Second, 10 * time.Second},
	// Without such reports, the relay relies on its own successful requests.
	KindDestinationOpen: {"open", 2 * time.Second, 10 * time.Second},
	// Without such reports, the relay relies on the failures that it observed itself.
	KindEndpointEjected: {"out", 2 * time.Second, 30 * time.Second},
	// Without such reports, the relay starts its own recovery ramp.
	KindEndpointRecovered: {"back", 10 * time.Second, 30 * time.Second},
	// Without such reports, the relay relies on the state of its own connections.
	KindConnectionRejected: {"no room", 5 * time.Second, 10 * time.Second},
	// Without announced rates, the relay starts with an even share of the listed rate of the destination.
	KindSendRate: {"pace", 45 * time.Second, 90 * time.Second},
}

// FactVersion orders the facts that one origin publishes under one FactID.
type FactVersion struct {
	Incarnation uint32 // incarnation of the origin's process; a later process of the same relay has a higher one
	Seq         uint32 // sequence number of the fact within the process
}

// Compare returns -1 if v is older than other, 0 if they are equal, and 1 if v is newer.
func (v FactVersion) Compare(other FactVersion) int {
	return cmp.Or(cmp.Compare(v.Incarnation, other.Incarnation), cmp.Compare(v.Seq, other.Seq))
}

// FactID identifies a fact as a single-writer register: only the relay Origin publishes values under it.
type FactID struct {
	Kind   Kind
	Origin uint16 // number of the relay that made the observation
	Key    string // what the fact is about, by kind: see the Kind constants
}

// compareID orders IDs by kind, key and origin.
func compareID(a, b FactID) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Origin, b.Origin))
}

// Fact is the latest value that one origin published under an ID.
type Fact struct {
	FactID
	FactVersion
	Value uint64 // its meaning depends on the kind: see the Kind constants
	// ObservedAt is the time of the observation by the local clock. Messages carry the age of a fact, which the receiver
	// subtracts from the time of receipt. The time in transit is not counted, but the age never decreases from relay to relay.
	ObservedAt time.Duration
	// Via is the number of the relay from which the fact was received: its origin, or a relay that forwarded it.
	Via uint16
}

// firstHand reports whether the fact was received from its origin rather than from a relay that forwarded it.
func (f Fact) firstHand() bool { return f.Via == f.Origin }

// withAge returns the fact with its age at now, and reports whether it has not expired.
func (f Fact) withAge(now time.Duration) (AgedFact, bool) {
	lifetime, age := Lifetimes[f.Kind], max(0, now-f.ObservedAt)
	return AgedFact{f, age, age >= lifetime.FadesAfter}, age < lifetime.ExpiresAfter
}

// AgedFact is a fact with its age at the time of reading.
type AgedFact struct {
	Fact
	Age    time.Duration
	Fading bool // whether Age is at least Lifetime.FadesAfter
}
