// Package fleet is the gossip protocol of the relays: membership with heartbeats and suspicion (SWIM: Das, Gupta and
// Motivala, 2002), dissemination of facts by broadcasts with a retransmit limit, and anti-entropy by digests. Each relay
// keeps the facts that it knows in a Store; a Node decides which messages to send. Neither does any I/O nor reads a
// clock: the same code runs in a relay, in tests and in a simulation of ten thousand relays.
//
// Guarantees:
//   - A fact is read together with its age, and not at all once it has expired by the reader's own clock, whatever the
//     sender claims.
//   - Merging is commutative, associative, idempotent and monotonic: messages may be lost, delayed, duplicated and reordered.
//   - Facts are soft state. Relays work correctly without them.
//
// The types are not safe for concurrent use.
package fleet
