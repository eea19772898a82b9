package relay

import (
	"fmt"
	"testing"
	"time"

	"milletsail/internal/clock"
)

// Guards against remembered ids that take up memory without bound, or that are forgotten before their time although there is room.
func TestEndedIDsAreBounded(t *testing.T) {
	const kept = 3
	size := endedID{id: "m0"}.memorySize()
	ids := endedIDs{capacity: kept * size}
	until := clock.Now().Add(time.Minute)
	for i := range 2 * kept {
		ids.add(endedID{id: fmt.Sprint("m", i), until: until, delivered: i%2 == 1})
	}
	for i := range 2 * kept {
		ended, known := ids.get(fmt.Sprint("m", i))
		if known != (i >= kept) || known && ended.delivered != (i%2 == 1) {
			t.Errorf("id m%d: remembered %v as delivered %v", i, known, ended.delivered)
		}
	}
	if ids.size != kept*size || len(ids.byID) != kept || len(ids.order) != kept {
		t.Errorf("%d bytes for %d ids, want %d for %d", ids.size, len(ids.byID), kept*size, kept)
	}
	ids.expire(until)
	if ids.size != 0 || len(ids.byID) != 0 {
		t.Errorf("%d bytes for %d ids are left after their time", ids.size, len(ids.byID))
	}
}
