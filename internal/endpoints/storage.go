package endpoints

// chunked is an array that grows in chunks of chunkRecords elements. It never moves its elements, and leaves less than one chunk
// unused.
type chunked[T any] struct {
	chunks [][]T
	count  int
}

func (c *chunked[T]) len() int { return c.count }

func (c *chunked[T]) at(slot uint32) *T {
	return &c.chunks[slot>>chunkRecordsBits][slot&(chunkRecords-1)]
}

// add appends an element and returns its slot.
func (c *chunked[T]) add() uint32 {
	if c.count == len(c.chunks)*chunkRecords {
		c.chunks = append(c.chunks, make([]T, chunkRecords))
	}
	c.count++
	return uint32(c.count - 1)
}

// attributes is a combination of the Entry fields that many entries share.
type attributes struct{ site, class, health string }

// attributeSet interns attributes: it stores one copy of each combination in use, with a reference count.
type attributeSet struct {
	ids       map[attributes]uint32
	values    []attributes // combinations by ID
	useCounts []int        // reference counts by ID
	freeIDs   []uint32     // IDs without uses, which are assigned again
}

func newAttributeSet() attributeSet { return attributeSet{ids: map[attributes]uint32{}} }

func (s *attributeSet) get(id uint32) attributes { return s.values[id] }

// acquire returns the ID of a combination and increments its reference count.
func (s *attributeSet) acquire(a attributes) uint32 {
	id, ok := s.ids[a]
	if !ok {
		id = s.add(a)
	}
	s.useCounts[id]++
	return id
}

func (s *attributeSet) add(a attributes) uint32 {
	var id uint32
	if n := len(s.freeIDs); n > 0 {
		id = s.freeIDs[n-1]
		s.freeIDs = s.freeIDs[:n-1]
		s.values[id] = a
	} else {
		id = uint32(len(s.values))
		s.values = append(s.values, a)
		s.useCounts = append(s.useCounts, 0)
	}
	s.ids[a] = id
	return id
}

// release decrements the reference count of a combination, and removes the combination when the count reaches 0.
func (s *attributeSet) release(id uint32) {
	s.useCounts[id]--
	if s.useCounts[id] == 0 {
		delete(s.ids, s.values[id])
		s.values[id] = attributes{}
		s.freeIDs = append(s.freeIDs, id)
	}
}
