package upstream

import "milletsail/internal/relay/protocol"

// headLimit counts the head of a response as it is read, before net/http parses it. The zero value counts nothing.
type headLimit struct {
	active   bool // whether the end of the head has not been read yet
	size     int  // bytes of the head so far
	lines    int  // lines of the head so far
	lineSize int  // bytes of the current line without carriage returns
}

// exceeded reports whether the head is too large and goes on.
func (h *headLimit) exceeded() bool {
	return h.active && (h.size > protocol.MaxHeadSize || h.lines > protocol.MaxHeadLines)
}

// add counts bytes that were read, up to the end of the head.
func (h *headLimit) add(b []byte) {
	for _, char := range b {
		if !h.active {
			return
		}
		h.size++
		switch char {
		case '\n':
			h.active = h.lineSize > 0
			h.lines++
			h.lineSize = 0
		case '\r':
		default:
			h.lineSize++
		}
	}
}
