package policy

import (
	"time"

	"milletsail/internal/instant"
)

// moment gives the moment so long after the zero one.
func moment(d time.Duration) instant.Time { return instant.Time(d) }
