package endpoints

// BeginReplacement begins a whole list: entries that are not put from here on are removed by Sweep. One that was in
// progress is given up.
func (t *Table) BeginReplacement() {
	t.generation++
	t.replacing = true
	t.sweepSlot = 0
}

// AbortReplacement gives up a whole list that was cut off or could not be read: nothing is removed, or nothing more.
func (t *Table) AbortReplacement() { t.replacing = false }

// Sweep removes entries that the whole list did not name, once it has ended. It looks at no more than max records, so
// that the caller can do other work between the steps; entries put meanwhile stay. It is done when all records have been
// looked at, or if no whole list is in progress.
func (t *Table) Sweep(max int) (removed []Entry, done bool) {
	if !t.replacing {
		return nil, true
	}
	end := min(int(t.sweepSlot)+max, t.records.len())
	for slot := t.sweepSlot; slot < uint32(end); slot++ {
		r := t.records.at(slot)
		if r.destination != none && r.generation != t.generation {
			removed = append(removed, t.remove(slot))
		}
	}
	t.sweepSlot = uint32(end)
	t.replacing = end < t.records.len()
	return removed, !t.replacing
}
