// Package metrics holds the counters and gauges that the admin endpoint of a relay reports. All its types are safe for concurrent
// use, so that reading them does not wait for the relay's event loop.
package metrics

import (
	"bytes"
	"fmt"
	"sync/atomic"

	"milletsail/policy"
)

// Result is the result label under which the end of a message is counted.
type Result int

const (
	// Completed counts a message that was delivered.
	Completed Result = iota
	// Rejected counts a message that was rejected, or returned to its client to be sent again.
	Rejected
	// Failed counts a message that was given up as undeliverable.
	Failed

	// resultCount is the number of results.
	resultCount
)

// resultNames are the values of the result label.
var resultNames = [resultCount]string{"completed", "rejected", "failed"}

// Metrics are the counters and gauges of one process since its start.
type Metrics struct {
	classes []string                    // class names, by index
	results [][resultCount]atomic.Int64 // ended messages by class index and result

	// UpstreamRequests counts messages whose request was written completely to an endpoint. Each message of a batch counts.
	UpstreamRequests atomic.Int64
	// Pending is the number of accepted messages that have not ended.
	Pending atomic.Int64
	// Endpoints is the number of endpoints in the endpoint list.
	Endpoints atomic.Int64
	// UnavailableEndpoints is the number of listed endpoints that the relay currently sends no calls to.
	UnavailableEndpoints atomic.Int64
	// Serving reports whether this process accepts clients.
	Serving atomic.Bool
	// Reasons counts events by name and reason.
	Reasons ReasonCounters
	// StorageError is the error for which the journal cannot be written; nil while it can be written.
	StorageError atomic.Pointer[string]
}

// New returns zero metrics for the classes of the settings, whose order defines the class indexes.
func New(classes []policy.Class) *Metrics {
	m := &Metrics{results: make([][resultCount]atomic.Int64, len(classes))}
	for _, c := range classes {
		m.classes = append(m.classes, c.Name)
	}
	return m
}

// CountResult counts the end of a message of the class with an index. A negative index stands for a class that is no longer in
// the settings; such a message is not counted.
func (m *Metrics) CountResult(class int, result Result) {
	if class >= 0 {
		m.results[class][result].Add(1)
	}
}

// Text returns the metrics in the format of the admin endpoint, one on each line.
func (m *Metrics) Text() []byte {
	var b bytes.Buffer
	for i, class := range m.classes {
		for result, name := range resultNames {
			fmt.Fprintf(&b, "relay_downstream_requests{lane=%q,result=%q} %d\n", class, name, m.results[i][result].Load())
		}
	}
	fmt.Fprintf(&b, "relay_upstream_requests %d\n", m.UpstreamRequests.Load())
	fmt.Fprintf(&b, "relay_pending %d\n", m.Pending.Load())
	fmt.Fprintf(&b, "relay_members %d\n", m.Endpoints.Load())
	fmt.Fprintf(&b, "relay_members_unavailable %d\n", m.UnavailableEndpoints.Load())
	return b.Bytes()
}
