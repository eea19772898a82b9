package endpoints

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

const (
	// chunkRecords is the number of elements in one chunk of a chunked array.
	chunkRecords     = 1 << chunkRecordsBits
	chunkRecordsBits = 11
)

// record is the stored form of an entry: 40 bytes without pointers, so that the garbage collector need not scan it. Slots are
// indices in Table.records or Table.destinations; none stands for no slot.
type record struct {
	share       float64 // Entry.Share
	born        int64   // Entry.BornMS
	text        textRef // location of Entry.Host and Entry.Dial in Table.texts
	attributes  uint32  // ID in Table.attributes of the site, class and health
	destination uint32  // slot of the destination; none for a free record
	next        uint32  // slot of the next record of the same destination or, for a free record, of the next free one
	previous    uint32  // slot of the previous record of the same destination
	generation  uint32  // value of Table.generation when the entry was last put
}

// destination is the head of the linked list of a destination's records.
type destination struct {
	number      int    // Entry.Block of the records
	first, last uint32 // slots of the first and last record; none if the destination has no records
}

// Table stores the entries of the list, indexed by host and by destination. It is not safe for concurrent use, and must not be
// changed during an iteration. Its memory grows with the maximum number of entries and with the number of different destinations
// that it has ever held; it does not shrink.
type Table struct {
	records          chunked[record]
	destinations     chunked[destination]
	texts            arena
	attributes       attributeSet
	hostIndex        *index
	destinationIndex *index
	freeRecord       uint32 // slot of the first free record; none if there is no free record
	count            int    // number of entries
	draining         int    // number of entries whose health is Draining
	generation       uint32 // number of replacements begun so far
	replacing        bool   // a replacement has begun and its sweep has not ended
	sweepSlot        uint32 // next slot that Sweep examines
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{texts: newArena(), attributes: newAttributeSet(), freeRecord: none}
	t.hostIndex = newIndex(t.hostHash)
	t.destinationIndex = newIndex(func(slot uint32) uint64 { return numberHash(t.destinations.at(slot).number) })
	return t
}

// Len returns the number of entries.
func (t *Table) Len() int { return t.count }

// Draining returns the number of entries whose health is Draining.
func (t *Table) Draining() int { return t.draining }

// Get returns the entry of a host.
func (t *Table) Get(host string) (Entry, bool) {
	slot := t.find(host)
	if slot == none {
		return Entry{}, false
	}
	return t.entry(slot), true
}

// Put adds an entry, or replaces the entry of the same host and returns the replaced one. An entry whose destination changes
// moves to the end of the new destination's entries.
func (t *Table) Put(e Entry) (old Entry, existed bool) {
	slot := t.find(e.Host)
	if slot == none {
		t.insert(e)
		return Entry{}, false
	}
	old = t.entry(slot)
	r := t.records.at(slot)
	if old.Dial != e.Dial {
		t.texts.release(r.text)
		r.text = t.texts.put(e.Host, e.Dial)
	}
	t.setAttributes(r, e)
	if old.Block != e.Block {
		t.unlink(slot)
		t.link(slot, t.destination(e.Block))
	}
	return old, true
}

// Delete removes the entry of a host and returns it.
func (t *Table) Delete(host string) (old Entry, existed bool) {
	slot := t.find(host)
	if slot == none {
		return Entry{}, false
	}
	return t.remove(slot), true
}

// ByDestination returns the entries of a destination in the order in which they were added to it. The order does not change
// during the table's lifetime, but may differ in a table restored by Open.
func (t *Table) ByDestination(destination int) iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		slot := t.findDestination(destination)
		if slot == none {
			return
		}
		for at := t.destinations.at(slot).first; at != none; at = t.records.at(at).next {
			if !yield(t.entry(at)) {
				return
			}
		}
	}
}

// SeenDestination reports whether the table has ever had an entry of a destination.
func (t *Table) SeenDestination(destination int) bool { return t.findDestination(destination) != none }

// All iterates over the table in parts, between which the table may change. It returns the entries of at most maxSlots slots,
// beginning at slot from (0 for the first part), and the slot at which the next part begins. done is true for the last part. An
// entry that stays in the table while the parts are read is in exactly one of them.
func (t *Table) All(from, maxSlots int) (entries iter.Seq[Entry], next int, done bool) {
	next = min(from+maxSlots, t.records.len())
	entries = func(yield func(Entry) bool) {
		for slot := from; slot < next; slot++ {
			if t.records.at(uint32(slot)).destination != none && !yield(t.entry(uint32(slot))) {
				return
			}
		}
	}
	return entries, next, next == t.records.len()
}

// insert adds the entry of a new host.
func (t *Table) insert(e Entry) {
	slot := t.freeRecord
	if slot != none {
		t.freeRecord = t.records.at(slot).next
	} else {
		slot = t.records.add()
	}
	r := t.records.at(slot)
	*r = record{text: t.texts.put(e.Host, e.Dial), attributes: none}
	t.setAttributes(r, e)
	t.hostIndex.add(xxhash.Sum64String(e.Host), slot)
	t.link(slot, t.destination(e.Block))
	t.count++
}

// setAttributes sets the fields of a record that are independent of its host, dial address and destination.
func (t *Table) setAttributes(r *record, e Entry) {
	wanted := attributes{site: e.Site, class: e.Class, health: e.Health}
	if r.attributes == none || t.attributes.get(r.attributes) != wanted {
		t.dropAttributes(r)
		r.attributes = t.attributes.acquire(wanted)
		if e.Health == Draining {
			t.draining++
		}
	}
	r.share = e.Share
	r.born = e.BornMS
	r.generation = t.generation
}

// dropAttributes releases the attributes of a record and updates the number of draining entries.
func (t *Table) dropAttributes(r *record) {
	if r.attributes == none {
		return
	}
	if t.attributes.get(r.attributes).health == Draining {
		t.draining--
	}
	t.attributes.release(r.attributes)
	r.attributes = none
}

// remove frees the record at a slot and returns its entry.
func (t *Table) remove(slot uint32) Entry {
	old := t.entry(slot)
	r := t.records.at(slot)
	t.hostIndex.remove(t.hostHash(slot), slot)
	t.unlink(slot)
	t.dropAttributes(r)
	t.texts.release(r.text)
	*r = record{destination: none, next: t.freeRecord}
	t.freeRecord = slot
	t.count--
	return old
}

// link appends a record to the list of a destination.
func (t *Table) link(slot, destination uint32) {
	r := t.records.at(slot)
	d := t.destinations.at(destination)
	r.destination = destination
	r.next = none
	r.previous = d.last
	if d.last == none {
		d.first = slot
	} else {
		t.records.at(d.last).next = slot
	}
	d.last = slot
}

// unlink removes a record from the list of its destination.
func (t *Table) unlink(slot uint32) {
	r := t.records.at(slot)
	d := t.destinations.at(r.destination)
	if r.previous == none {
		d.first = r.next
	} else {
		t.records.at(r.previous).next = r.next
	}
	if r.next == none {
		d.last = r.previous
	} else {
		t.records.at(r.next).previous = r.previous
	}
}

// entry returns the entry at a slot.
func (t *Table) entry(slot uint32) Entry {
	r := t.records.at(slot)
	host, dial := t.texts.get(r.text)
	shared := t.attributes.get(r.attributes)
	return Entry{Host: string(host), Dial: string(dial), Site: shared.site, Class: shared.class, Health: shared.health,
		Block: t.destinations.at(r.destination).number, Share: r.share, BornMS: r.born}
}

// find returns the slot of a host, or none.
func (t *Table) find(host string) uint32 {
	return t.hostIndex.find(xxhash.Sum64String(host), func(slot uint32) bool {
		stored, _ := t.texts.get(t.records.at(slot).text)
		return string(stored) == host
	})
}

// hostHash returns the hash of the host of the record at a slot.
func (t *Table) hostHash(slot uint32) uint64 {
	host, _ := t.texts.get(t.records.at(slot).text)
	return xxhash.Sum64(host)
}

// findDestination returns the slot of a destination, or none.
func (t *Table) findDestination(number int) uint32 {
	return t.destinationIndex.find(numberHash(number), func(slot uint32) bool { return t.destinations.at(slot).number == number })
}

// destination returns the slot of a destination, and adds the destination if the table does not have it.
func (t *Table) destination(number int) uint32 {
	slot := t.findDestination(number)
	if slot == none {
		slot = t.destinations.add()
		*t.destinations.at(slot) = destination{number: number, first: none, last: none}
		t.destinationIndex.add(numberHash(number), slot)
	}
	return slot
}

// numberHash hashes the number of a destination with the finalizer of MurmurHash3, which spreads consecutive numbers evenly.
func numberHash(number int) uint64 {
	h := uint64(number)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
