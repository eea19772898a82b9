package endpoints

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

const (
	// chunkRecords is the number of records of one chunk of a table, and of destinations.
	chunkRecords     = 1 << chunkRecordsBits
	chunkRecordsBits = 11
)

// record is an entry as a table holds it, 40 bytes without pointers. A free record has no destination.
type record struct {
	share       float64
	born        int64
	text        textRef // host and dial
	attributes  uint32
	destination uint32 // slot; none for a free record
	next        uint32 // record of the same destination, or the next free one
	previous    uint32 // record of the same destination
	generation  uint32 // of the replacement that last named it
}

// destination is one that some entry has named.
type destination struct {
	number      int
	first, last uint32 // records
}

// Table holds the entries of the list by host and by destination. It belongs to one goroutine, and must not change while
// an iteration over it is on. Its memory grows with the most entries it has held, and with the destinations ever named.
type Table struct {
	records          chunked[record]
	destinations     chunked[destination]
	texts            arena
	attributes       attributeSet
	hostIndex        *index
	destinationIndex *index
	freeRecord       uint32 // first free record
	count            int
	draining         int
	generation       uint32
	replacing        bool   // a whole list is coming, or entries that it did not name are being removed
	sweepSlot        uint32 // records that the sweep has passed
}

// NewTable gives an empty table.
func NewTable() *Table {
	t := &Table{texts: newArena(), attributes: newAttributeSet(), freeRecord: none}
	t.hostIndex = newIndex(t.hostHash)
	t.destinationIndex = newIndex(func(slot uint32) uint64 { return numberHash(t.destinations.at(slot).number) })
	return t
}

// Len is the number of entries.
func (t *Table) Len() int { return t.count }

// Draining is the number of entries whose health is Draining.
func (t *Table) Draining() int { return t.draining }

// Get gives the entry of a host.
func (t *Table) Get(host string) (Entry, bool) {
	slot := t.find(host)
	if slot == none {
		return Entry{}, false
	}
	return t.entry(slot), true
}

// Put adds an entry, or puts it in the place of that of the same host, which it returns. An entry whose destination
// changes moves to the end of those of the new one.
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

// Delete removes the entry of a host, and returns it.
func (t *Table) Delete(host string) (old Entry, existed bool) {
	slot := t.find(host)
	if slot == none {
		return Entry{}, false
	}
	return t.remove(slot), true
}

// ByDestination gives the entries of a destination in the order in which they were put first, which stays the same while the
// table lives. A table that a Store has restored may have another order.
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

// Named tells whether any entry has named a destination since the table was made, though none may be left.
func (t *Table) Named(destination int) bool { return t.findDestination(destination) != none }

// All gives the entries at the next max places from a place on, beginning with 0, and the place to go on from; done says
// that this was the last part. An entry that stays while the parts are read is in exactly one of them.
func (t *Table) All(from, max int) (entries iter.Seq[Entry], next int, done bool) {
	next = min(from+max, t.records.len())
	entries = func(yield func(Entry) bool) {
		for slot := from; slot < next; slot++ {
			if t.records.at(uint32(slot)).destination != none && !yield(t.entry(uint32(slot))) {
				return
			}
		}
	}
	return entries, next, next == t.records.len()
}

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

// setAttributes takes over all of an entry but its host, dial and destination.
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

// remove frees the record at a slot.
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

// link adds a record at the end of those of a destination.
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

// unlink takes a record from those of its destination.
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

// entry gives the entry at a slot.
func (t *Table) entry(slot uint32) Entry {
	r := t.records.at(slot)
	host, dial := t.texts.get(r.text)
	shared := t.attributes.get(r.attributes)
	return Entry{Host: string(host), Dial: string(dial), Site: shared.site, Class: shared.class, Health: shared.health,
		Block: t.destinations.at(r.destination).number, Share: r.share, BornMS: r.born}
}

func (t *Table) find(host string) uint32 {
	return t.hostIndex.find(xxhash.Sum64String(host), func(slot uint32) bool {
		stored, _ := t.texts.get(t.records.at(slot).text)
		return string(stored) == host
	})
}

func (t *Table) hostHash(slot uint32) uint64 {
	host, _ := t.texts.get(t.records.at(slot).text)
	return xxhash.Sum64(host)
}

func (t *Table) findDestination(number int) uint32 {
	return t.destinationIndex.find(numberHash(number), func(slot uint32) bool { return t.destinations.at(slot).number == number })
}

// destination gives the slot of a destination, and adds it if need be.
func (t *Table) destination(number int) uint32 {
	slot := t.findDestination(number)
	if slot == none {
		slot = t.destinations.add()
		*t.destinations.at(slot) = destination{number: number, first: none, last: none}
		t.destinationIndex.add(numberHash(number), slot)
	}
	return slot
}

// numberHash spreads the numbers of destinations, which are often consecutive (the finalizer of MurmurHash3).
func numberHash(number int) uint64 {
	h := uint64(number)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
