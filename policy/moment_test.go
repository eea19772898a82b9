package policy

import (
	"time"

	"milletsail/internal/instant"
)

// moment returns the time that lies d after the zero time.
func moment(d time.Duration) instant.Time { return instant.Time(d) }
