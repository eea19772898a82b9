package endpoints

// chunked is an array that grows by chunks, so that it never moves what it holds and has little unused room.
type chunked[T any] struct {
	chunks [][]T
	count  int
}

func (c *chunked[T]) len() int { return c.count }

func (c *chunked[T]) at(slot uint32) *T {
	return &c.chunks[slot>>chunkRecordsBits][slot&(chunkRecords-1)]
}

// add gives the slot of a further element.
func (c *chunked[T]) add() uint32 {
	if c.count == len(c.chunks)*chunkRecords {
		c.chunks = append(c.chunks, make([]T, chunkRecords))
	}
	c.count++
	return uint32(c.count - 1)
}

// attributes are what many entries have in common.
type attributes struct{ site, class, health string }

// attributeSet keeps one copy of each combination of attributes in use.
type attributeSet struct {
	ids       map[attributes]uint32
	values    []attributes
	useCounts []int // uses
	freeIDs   []uint32
}

func newAttributeSet() attributeSet { return attributeSet{ids: map[attributes]uint32{}} }

func (s *attributeSet) get(id uint32) attributes { return s.values[id] }

// acquire gives the number of a combination, and counts a use of it.
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

// release counts a use less, and forgets a combination without any.
func (s *attributeSet) release(id uint32) {
	s.useCounts[id]--
	if s.useCounts[id] == 0 {
		delete(s.ids, s.values[id])
		s.values[id] = attributes{}
		s.freeIDs = append(s.freeIDs, id)
	}
}
