package frontend

import (
	"testing"
	"time"

	"milletsail/internal/clock"
)

func TestLeastPromise(t *testing.T) {
	now := clock.Now()
	ago := func(s state, d time.Duration) *Connection { return &Connection{state: s, lastActive: now.Add(-d)} }
	tests := []struct {
		name string
		open []*Connection // the first one goes, if any does
		none bool
	}{
		{"the oldest that sent nothing", []*Connection{ago(stateIdle, 3*time.Second), ago(stateIdle, time.Second)}, false},
		{"one that sent nothing before one that stalls", []*Connection{ago(stateIdle, time.Millisecond), ago(stateReading,
			2*time.Second)}, false},
		{"the one stalled longest", []*Connection{ago(stateReading, 2*time.Second), ago(stateReading, time.Second),
			ago(stateResponsePending, time.Minute)}, false},
		{"one whose last answer is out before one that stalls", []*Connection{ago(stateLingering, minLinger), ago(stateReading,
			2*time.Second)}, false},
		{"none whose answer is on its way", []*Connection{ago(stateLingering, minLinger/2), ago(stateResponsePending, time.Minute)},
			true},
		{"none that writes on or is owed its answer", []*Connection{ago(stateReading, stallTimeout/2), ago(stateResponsePending,
			time.Minute)}, true},
	}
	for _, tt := range tests {
		g := &ConnectionLimiter{connections: map[*Connection]bool{}}
		for _, c := range tt.open {
			g.connections[c] = true
		}
		want := tt.open[0]
		if tt.none {
			want = nil
		}
		if got := g.evictionCandidate(now); got != want {
			t.Errorf("%s: got %+v", tt.name, got)
		}
	}
}

// Clients get what is left beside calls, idle connections and another process, within their share.
func TestCapacity(t *testing.T) {
	for _, tt := range []struct{ sockets, slots, want int }{{1024, 33, 512}, {224, 33, 85}, {192, 33, 64}, {192, 100, 64}, {3, 9,
		1}} {
		if got := capacityFor(tt.sockets, tt.slots); got != tt.want {
			t.Errorf("%d descriptors, %d slots: room %d, want %d", tt.sockets, tt.slots, got, tt.want)
		}
	}
}
