// Package metrics counts what a relay does, for its admin endpoint. Everything in it is safe for concurrent use, and no
// reader waits for the event loop.
package metrics

import (
	"bytes"
	"fmt"
	"sync/atomic"

	"milletsail/policy"
)

// Result is how a message ended, as operators see it.
type Result int

const (
	// Completed counts a message that was delivered.
	Completed Result = iota
	// Rejected counts a message that was rejected, or handed back to its client.
	Rejected
	// Failed counts a message that was finally given up.
	Failed

	// resultCount is the number of results.
	resultCount
)

// resultNames are the label values of the results.
var resultNames = [resultCount]string{"completed", "rejected", "failed"}

// Metrics are the counters and gauges of one process, from its start on.
type Metrics struct {
	classes []string
	results [][resultCount]atomic.Int64 // by class

	// UpstreamRequests counts the messages that were written completely to endpoints.
	UpstreamRequests atomic.Int64
	// Pending is the number of messages that were accepted and have not ended.
	Pending atomic.Int64
	// Endpoints is the length of the endpoint list.
	Endpoints atomic.Int64
	// UnavailableEndpoints is how many of the listed endpoints get no requests now.
	UnavailableEndpoints atomic.Int64
	// Serving tells whether this process accepts clients.
	Serving atomic.Bool
	// Reasons counts events by their reason.
	Reasons ReasonCounters
	// StorageError is why the journal can't be written; nil while it can.
	StorageError atomic.Pointer[string]
}

// New returns zero metrics for the classes of the settings.
func New(classes []policy.Class) *Metrics {
	m := &Metrics{results: make([][resultCount]atomic.Int64, len(classes))}
	for _, c := range classes {
		m.classes = append(m.classes, c.Name)
	}
	return m
}

// CountResult counts the end of a message by the index of its class. A negative index stands for a class that the
// settings no longer have, and counts nowhere.
func (m *Metrics) CountResult(class int, result Result) {
	if class >= 0 {
		m.results[class][result].Add(1)
	}
}

// Text returns the metrics in the format of the admin endpoint, one a line.
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
