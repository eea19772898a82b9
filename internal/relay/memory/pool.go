package memory

import "sync"

// Pool counts the memory of one holder against its share. Nobody waits for a pool: whoever gets no memory answers or closes its
// peer at once. Unlike the semaphore of golang.org/x/sync, its size can change, and what was restored from disk may exceed it. A
// Pool is safe for concurrent use. The zero value has no memory to give; a nil Pool has no limit.
type Pool struct {
	mu   sync.Mutex
	size int64
	used int64
}

// Resize sets the size of the pool. What is in use stays so, even if it exceeds the new size.
func (p *Pool) Resize(size int64) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.size = size
}

// TryAcquire takes n bytes and reports true, or reports false if the pool has less left.
func (p *Pool) TryAcquire(n int64) bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used+n > p.size {
		return false
	}
	p.used += n
	return true
}

// Has reports whether the pool has n bytes left.
func (p *Pool) Has(n int64) bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used+n <= p.size
}

// Acquire takes n bytes even if they exceed the size of the pool.
func (p *Pool) Acquire(n int64) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used += n
}

// Release gives n bytes back.
func (p *Pool) Release(n int64) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= n
}

// Used returns the number of bytes in use.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}
