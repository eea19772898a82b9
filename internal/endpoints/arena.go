package endpoints

import "encoding/binary"

const (
	// arenaUnit is the allocation granularity of an arena, in bytes. It is the size of a textRef, so that every free block can
	// hold the reference to the next free block of its size.
	arenaUnit = 4
	// chunkUnits is the number of units of one chunk of an arena: 64 KiB.
	chunkUnits     = 1 << chunkUnitsBits
	chunkUnitsBits = 14
	// noTextRef terminates a free list.
	noTextRef textRef = 1<<32 - 1
)

// textRef locates a pair of texts in an arena: the upper bits are the index of a chunk, the lower chunkUnitsBits bits the
// index of a unit in that chunk.
type textRef uint32

// arena stores pairs of short texts in large chunks, which the garbage collector need not scan, and reuses the blocks of
// released pairs. A pair is stored as the two lengths (uvarint) followed by the two texts.
type arena struct {
	chunks       [][]byte
	usedUnits    int             // number of units allocated from the current chunk
	currentChunk int             // index of the chunk from which new blocks are allocated; -1 if there is none
	freeBlocks   map[int]textRef // heads of the free lists, by block size in units
	freeChunks   []int           // indices in chunks that can be reused: their chunk held one oversized pair that was released
}

func newArena() arena { return arena{currentChunk: -1, freeBlocks: map[int]textRef{}} }

// pairUnits is the size of a stored pair in units.
func pairUnits(first, second string) int {
	var scratch [2 * binary.MaxVarintLen64]byte
	head := binary.AppendUvarint(scratch[:0], uint64(len(first)))
	head = binary.AppendUvarint(head, uint64(len(second)))
	return (len(head) + len(first) + len(second) + arenaUnit - 1) / arenaUnit
}

// put stores a pair of texts and returns its reference. A pair larger than a regular chunk gets a chunk of its own.
func (a *arena) put(first, second string) textRef {
	units := pairUnits(first, second)
	ref := a.allocate(units)
	block := a.block(ref)[:0]
	block = binary.AppendUvarint(block, uint64(len(first)))
	block = binary.AppendUvarint(block, uint64(len(second)))
	block = append(block, first...)
	_ = append(block, second...)
	return ref
}

// get returns the two texts of a pair. The slices are valid until the pair is released.
func (a *arena) get(ref textRef) (first, second []byte) {
	block := a.block(ref)
	firstLen, n := binary.Uvarint(block)
	block = block[n:]
	secondLen, n := binary.Uvarint(block)
	block = block[n:]
	return block[:firstLen], block[firstLen : firstLen+secondLen]
}

// release frees the block of a pair for reuse. The chunk of an oversized pair is left to the garbage collector.
func (a *arena) release(ref textRef) {
	first, second := a.get(ref)
	units := pairUnits(string(first), string(second))
	if units > chunkUnits {
		index := int(ref >> chunkUnitsBits)
		a.chunks[index] = nil
		a.freeChunks = append(a.freeChunks, index)
		return
	}
	next, ok := a.freeBlocks[units]
	if !ok {
		next = noTextRef
	}
	binary.LittleEndian.PutUint32(a.block(ref), uint32(next))
	a.freeBlocks[units] = ref
}

// block returns the bytes from a reference to the end of its chunk.
func (a *arena) block(ref textRef) []byte {
	return a.chunks[ref>>chunkUnitsBits][int(ref&(chunkUnits-1))*arenaUnit:]
}

func (a *arena) allocate(units int) textRef {
	if units > chunkUnits {
		return textRef(a.addChunk(units)) << chunkUnitsBits
	}
	if ref, ok := a.freeBlocks[units]; ok && ref != noTextRef {
		a.freeBlocks[units] = textRef(binary.LittleEndian.Uint32(a.block(ref)))
		return ref
	}
	if a.currentChunk < 0 || a.usedUnits+units > chunkUnits {
		a.currentChunk = a.addChunk(chunkUnits)
		a.usedUnits = 0
	}
	ref := textRef(a.currentChunk)<<chunkUnitsBits | textRef(a.usedUnits)
	a.usedUnits += units
	return ref
}

// addChunk allocates a chunk of the given number of units and returns its index.
func (a *arena) addChunk(units int) int {
	chunk := make([]byte, units*arenaUnit)
	if n := len(a.freeChunks); n > 0 {
		index := a.freeChunks[n-1]
		a.freeChunks = a.freeChunks[:n-1]
		a.chunks[index] = chunk
		return index
	}
	a.chunks = append(a.chunks, chunk)
	return len(a.chunks) - 1
}
