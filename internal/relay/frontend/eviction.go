package frontend

import (
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/internal/relay/memory"
	"milletsail/internal/relay/socket"
)

const (
	// stallTimeout is how long a client may send nothing in the middle of a request before it counts as stalled. Some clients
	// take 2 s to send a request, but never pause for as long as stallTimeout.
	stallTimeout = 500 * time.Millisecond
	// minProgress is the number of bytes of a request that a client has to send within each stallTimeout. One that sends less
	// counts as stalled: even a small request would take longer than ReadTimeout.
	minProgress = 32
	// minReadTime is how long a request may be read before its connection can be evicted although it has not stalled. A client
	// that sends its request at once needs less.
	minReadTime = 100 * time.Millisecond
)

// progress is how fast a client sends its current request.
type progress struct {
	began       instant.Time // when the first byte of the request arrived
	windowStart instant.Time // start of the current window of stallTimeout
	windowBytes int          // bytes that arrived in the current window
	slow        bool         // whether fewer than minProgress bytes arrived in the last complete window
}

// add records that bytes arrived.
func (p *progress) add(now instant.Time, count int) {
	if now.Sub(p.windowStart) >= stallTimeout {
		p.slow = p.windowBytes < minProgress
		p.windowStart, p.windowBytes = now, 0
	}
	p.windowBytes += count
}

// evictOne evicts one connection of those that eligible reports, and reports whether it could. The order is: those that have ended or
// stalled, those that linger, those that have sent nothing yet, and the one whose request began last. The caller holds the lock.
func (l *ConnectionLimiter) evictOne(eligible func(*Connection) bool) bool {
	for {
		now := clock.Now()
		candidate := l.evictionCandidate(now, eligible)
		if candidate == nil {
			candidate = l.longestInactive(func(c *Connection) bool { return c.state == stateLingering && eligible(c) })
		}
		if candidate == nil {
			candidate = l.longestInactive(func(c *Connection) bool { return c.state == stateIdle && eligible(c) })
		}
		if candidate == nil {
			break
		}
		tooSlow := candidate.state == stateReading && candidate.progress.slow
		if candidate.state == stateLingering || tooSlow || !socket.HasUnread(candidate.Conn) {
			return l.evict(candidate, evictionReasons[candidate.state])
		}
		// Input has arrived, but its goroutine has not read it yet.
		candidate.beginReading()
		candidate.lastActive = now
	}
	candidate := l.newestReading(clock.Now(), eligible)
	return candidate != nil && !socket.HasUnread(candidate.Conn) && l.evict(candidate, ReasonReading)
}

// evict closes a connection. Its memory counts as evicted until its goroutine has ended; evict reports false, and does nothing, if
// too much is evicted already. The caller holds the lock.
func (l *ConnectionLimiter) evict(c *Connection, reason CloseReason) bool {
	size := memory.ConnectionSize + c.input
	if !l.evicted.TryAcquire(size) {
		return false
	}
	l.countClosed(reason)
	c.evictedSize = size
	l.input.Release(c.input)
	c.input = 0
	c.closed = true
	delete(l.connections, c)
	_ = c.Conn.Close()
	return true
}

// evictionCandidate returns the connection to evict for another one, or nil if none has ended or stalled. Idle connections are
// evicted before lingering ones, and lingering ones before those that stalled in the middle of a request; within a state, the one
// inactive for longest is evicted first. It never returns a connection whose response is pending, that was active within
// stallTimeout while it is reading a request or has not sent one yet, or that is in the first minLinger of lingering. The caller
// holds the lock.
func (l *ConnectionLimiter) evictionCandidate(now instant.Time, eligible func(*Connection) bool) *Connection {
	return l.longestInactive(func(c *Connection) bool {
		silent := now.Sub(c.lastActive)
		switch c.state {
		case stateIdle:
			return (c.answered() || silent >= stallTimeout) && eligible(c)
		case stateLingering:
			return silent >= minLinger && eligible(c)
		case stateReading:
			return (silent >= stallTimeout || c.progress.slow) && eligible(c)
		}
		return false
	})
}

// longestInactive returns the connection in the lowest state of those that match, and of these the one inactive for longest; nil if
// none matches. The caller holds the lock.
func (l *ConnectionLimiter) longestInactive(matches func(*Connection) bool) (longest *Connection) {
	for c := range l.connections {
		if !matches(c) {
			continue
		}
		if longest == nil || c.state < longest.state || c.state == longest.state && c.lastActive < longest.lastActive {
			longest = c
		}
	}
	return longest
}

// newestReading returns the connection whose request began last of those that have been read for minReadTime, or nil if there is
// none. Earlier ones are nearer to their end. The caller holds the lock.
func (l *ConnectionLimiter) newestReading(now instant.Time, eligible func(*Connection) bool) (candidate *Connection) {
	for c := range l.connections {
		if c.state != stateReading || now.Sub(c.progress.began) < minReadTime || !eligible(c) {
			continue
		}
		if candidate == nil || c.progress.began > candidate.progress.began {
			candidate = c
		}
	}
	return candidate
}

// reserve takes memory for the current request of a connection, and evicts other connections with large requests for it if needed.
// It reports false if there is none. finishRequest and Close give the memory back.
func (c *Connection) reserve(size int64) bool {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return false
	}
	for !l.input.TryAcquire(size) {
		if !l.evictOne(func(other *Connection) bool { return other != c && other.input > 0 }) {
			return false
		}
	}
	c.input += size
	return true
}

// releaseInput gives back the memory of the current request, and that of an evicted connection. The caller holds the lock.
func (c *Connection) releaseInput() {
	c.limiter.input.Release(c.input)
	c.limiter.evicted.Release(c.evictedSize)
	c.input, c.evictedSize = 0, 0
}
