package frontend

import (
	"testing"
	"time"

	"milletsail/internal/clock"
)

// Guards against evicting the wrong connection for a new one: one with a pending or recent response, or an active client, must
// stay.
func TestEvictionCandidate(t *testing.T) {
	now := clock.Now()
	ago := func(s state, d time.Duration) *Connection {
		c := &Connection{state: s, lastActive: now.Add(-d)}
		if s == stateIdle { // after a response
			c.lastWrite = c.lastActive
		}
		return c
	}
	unused := func(d time.Duration) *Connection { return &Connection{state: stateIdle, lastActive: now.Add(-d)} }
	tests := []struct {
		name string
		open []*Connection // the first one is expected to be evicted, unless none is set
		none bool
	}{
		{"the idle connection inactive for longest",
			[]*Connection{ago(stateIdle, 3*time.Second), ago(stateIdle, time.Second)}, false},
		{"an idle connection before a stalled one", []*Connection{ago(stateIdle, time.Millisecond), ago(stateReading,
			2*time.Second)}, false},
		{"the connection stalled for longest", []*Connection{ago(stateReading, 2*time.Second), ago(stateReading, time.Second),
			ago(stateResponsePending, time.Minute)}, false},
		{"a lingering connection before a stalled one", []*Connection{ago(stateLingering, minLinger), ago(stateReading,
			2*time.Second)}, false},
		{"no connection with a recent or pending response",
			[]*Connection{ago(stateLingering, minLinger/2), ago(stateResponsePending, time.Minute)},
			true},
		{"no connection with an active client or a pending response",
			[]*Connection{ago(stateReading, stallTimeout/2), ago(stateResponsePending,
				time.Minute)}, true},
		{"no new connection without a request", []*Connection{unused(stallTimeout / 2)}, true},
		{"a connection without a request for as long as a stalled one", []*Connection{unused(stallTimeout), ago(stateReading,
			2*stallTimeout)}, false},
		{"a client that sends too little before an active one", []*Connection{
			{state: stateReading, lastActive: now, progress: progress{slow: true}}, ago(stateReading, stallTimeout/2)}, false},
	}
	for _, tt := range tests {
		limiter := &ConnectionLimiter{connections: map[*Connection]bool{}}
		for _, c := range tt.open {
			limiter.connections[c] = true
		}
		want := tt.open[0]
		if tt.none {
			want = nil
		}
		if got := limiter.evictionCandidate(now, func(*Connection) bool { return true }); got != want {
			t.Errorf("%s: wrong candidate %+v", tt.name, got)
		}
	}
}

// Guards against a capacity for clients that leaves too few descriptors for calls, idle connections and a second process, or
// that is below the third that the platform guarantees.
func TestCapacity(t *testing.T) {
	for _, tt := range []struct{ sockets, slots, want int }{{1024, 33, 512}, {224, 33, 85}, {192, 33, 64}, {192, 100, 64}, {3, 9,
		1}} {
		if got := capacityFor(tt.sockets, tt.slots); got != tt.want {
			t.Errorf("%d descriptors, %d slots: capacity %d, want %d", tt.sockets, tt.slots, got, tt.want)
		}
	}
}
