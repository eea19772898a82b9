// Package fleet implements the gossip protocol of the relays: membership with heartbeats and suspicion (SWIM: Das, Gupta
// and Motivala, 2002), dissemination of facts by broadcasts with a transmit limit, and anti-entropy by digests. Each relay
// keeps the facts that it knows in a Store; a Node decides which messages to send. Neither of them does any I/O or reads a
// clock, so the same code runs in a relay, in tests and in a simulation of ten thousand relays.
//
// Guarantees:
//   - A fact is returned together with its age. It is never returned after it has expired by the reader's own clock,
//     whatever age a sender claims.
//   - Merging is commutative, associative, idempotent and monotonic, so messages may be lost, delayed, duplicated and
//     reordered.
//   - Facts are soft state: relays work correctly without them.
//
// The types are not safe for concurrent use.
package fleet
