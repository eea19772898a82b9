package rollout

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Indexes of the outcomes of messages in Metrics.Outcomes.
const (
	outcomeCompleted = iota
	outcomeRejected
	outcomeFailed
	outcomeCount
)

// Metrics is a sample of a relay's metrics. Counts are totals since the relay's process started.
type Metrics struct {
	Outcomes       map[string][outcomeCount]int64 `json:"ends"` // by class: messages completed, rejected and failed
	Pending        int64                          `json:"pending"`
	MemoryMB       float64                        `json:"memory_mb"`
	Crashes        int                            `json:"crashes"` // unexpected exits since the last update
	EvacuatedZones []string                       `json:"left,omitempty"`
}

const (
	requestsMetric = "relay_downstream_requests{lane="
	pendingMetric  = "relay_pending"
)

// outcomeIndexes maps the label result of the relay's metric of requests.
var outcomeIndexes = map[string]int{"completed": outcomeCompleted, "rejected": outcomeRejected, "failed": outcomeFailed}

// ParseCounters parses the reply of a relay's admin endpoint to "counters". It is an error if there are none of requests.
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

// ParseZones parses the reply of a relay's admin endpoint to "zone status" and returns the zones that the relay has evacuated;
// none if the relay does not have the command.
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
