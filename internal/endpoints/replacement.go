package endpoints

// BeginReplacement starts the replacement of the list by a complete list: the entries that are not put after this call are
// later removed by Sweep. A replacement in progress is aborted.
func (t *Table) BeginReplacement() {
	t.generation++
	t.replacing = true
	t.sweepSlot = 0
}

// AbortReplacement aborts a replacement, for example because the response was cut off or is an update: Sweep removes no further
// entries.
func (t *Table) AbortReplacement() { t.replacing = false }

// Sweep removes entries that have not been put since BeginReplacement, and returns them. It is called repeatedly after the end
// of the complete list. Each call examines at most maxRecords records, so that the caller can do other work between the calls;
// entries put between the calls are kept. done is true if all records have been examined or no replacement is in progress.
func (t *Table) Sweep(maxRecords int) (removed []Entry, done bool) {
	if !t.replacing {
		return nil, true
	}
	end := min(int(t.sweepSlot)+maxRecords, t.records.len())
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
