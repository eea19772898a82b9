package policy

import "math"

// latencyWeight is the weight of a new outcome in a moving average: about the last ten calls count.
const latencyWeight = 0.1

// latencyEstimate are mean latencies in seconds; 0 for unknown.
type latencyEstimate struct {
	outcomes int     // outcomes counted
	mean     float64 // of all classes
	byClass  []float64
}

// record adds a latency to the means; the first ones weigh more, as what was there is borrowed.
func (l *latencyEstimate) record(class int, took float64) {
	l.outcomes++
	gain := math.Max(latencyWeight, 1/float64(l.outcomes+1))
	for _, mean := range []*float64{&l.mean, &l.byClass[class]} {
		if *mean == 0 {
			*mean = took
		}
		*mean += gain * (took - *mean)
	}
}

// applyLatencyPrior fills what a queue does not know of its latencies from all destinations of its kind.
func (d *Dispatcher) applyLatencyPrior(q *queue) {
	pool := d.latencyPrior(q.kind)
	if pool.outcomes == 0 {
		return
	}
	if q.latency.outcomes == 0 {
		q.latency.mean = pool.mean
	}
	for i, mean := range q.latency.byClass {
		if mean == 0 || q.latency.outcomes == 0 {
			q.latency.byClass[i] = pool.byClass[i]
		}
	}
}

// latencyPrior gives what is known of a kind.
func (d *Dispatcher) latencyPrior(kind int) *latencyEstimate {
	if d.latencyPriors[kind] == nil {
		d.latencyPriors[kind] = &latencyEstimate{byClass: make([]float64, len(d.settings.Classes))}
	}
	return d.latencyPriors[kind]
}
