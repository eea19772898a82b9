package rollout

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Indexes into the values of Metrics.Outcomes.
const (
	outcomeCompleted = iota
	outcomeRejected
	outcomeFailed
	outcomeCount
)

// Metrics is a sample of a relay's metrics. Counts are totals since the relay's process started.
type Metrics struct {
	Outcomes       map[string][outcomeCount]int64 `json:"ends"` // by class: numbers of messages completed, rejected and failed
	Pending        int64                          `json:"pending"`
	MemoryMB       float64                        `json:"memory_mb"`
	Crashes        int                            `json:"crashes"` // unexpected exits of the process since the last update
	EvacuatedZones []string                       `json:"left,omitempty"`
}

// Beginnings of the names of the relay's metrics that ParseCounters reads.
const (
	requestsMetric = "relay_downstream_requests{lane="
	pendingMetric  = "relay_pending"
)

// outcomeIndexes maps the values of the label "result" of relay_downstream_requests to indexes of outcomes.
var outcomeIndexes = map[string]int{"completed": outcomeCompleted, "rejected": outcomeRejected, "failed": outcomeFailed}

// ParseCounters parses the reply of a relay's admin endpoint to "counters". A reply without a counter of requests is an error.
func ParseCounters(text string) (metrics Metrics, err error) {
	metrics.Outcomes = map[string][outcomeCount]int64{}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		count, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			continue
		}
		if labels, ok := strings.CutPrefix(name, requestsMetric); ok {
			var class, result string
			if _, err := fmt.Sscanf(labels, "%q,result=%q}", &class, &result); err != nil {
				return metrics, fmt.Errorf("%q: %w", line, err)
			}
			outcomes := metrics.Outcomes[class]
			outcomes[outcomeIndexes[result]] = count
			metrics.Outcomes[class] = outcomes
		}
		if name == pendingMetric {
			metrics.Pending = count
		}
	}
	if len(metrics.Outcomes) == 0 {
		return metrics, fmt.Errorf("no counters in %q", text)
	}
	return metrics, nil
}

// ParseZones parses the reply of a relay's admin endpoint to "zone status" and returns the zones that the relay has evacuated. It
// returns none for a reply that is not JSON, such as that of a relay without the command.
func ParseZones(text string) (evacuated []string) {
	var status struct {
		Zones []struct{ Zone, State string }
	}
	if json.Unmarshal([]byte(text), &status) != nil {
		return nil
	}
	for _, zone := range status.Zones {
		if strings.HasPrefix(zone.State, "evacuated") {
			evacuated = append(evacuated, zone.Zone)
		}
	}
	return evacuated
}
