package policy

import "math"

// latencyWeight is the weight of a new outcome in a moving average: about the last ten calls count.
const latencyWeight = 0.1

// latencyEstimate holds moving averages of latencies in seconds; 0 for unknown.
type latencyEstimate struct {
	outcomes int     // counted
	mean     float64 // of all classes
	byClass  []float64
}

// record adds a latency to the averages. The first ones weigh more, as what was there is a prior.
func (l *latencyEstimate) record(class int, latency float64) {
	l.outcomes++
	weight := math.Max(latencyWeight, 1/float64(l.outcomes+1))
	for _, mean := range []*float64{&l.mean, &l.byClass[class]} {
		if *mean == 0 {
			*mean = latency
		}
		*mean += weight * (latency - *mean)
	}
}

// applyPrior fills in what is unknown from a prior.
func (l *latencyEstimate) applyPrior(prior *latencyEstimate) {
	if prior.outcomes == 0 {
		return
	}
	if l.outcomes == 0 {
		l.mean = prior.mean
	}
	for class, mean := range l.byClass {
		if mean == 0 || l.outcomes == 0 {
			l.byClass[class] = prior.byClass[class]
		}
	}
}

// latencyPriors holds the estimates over all destinations of each kind.
type latencyPriors struct {
	byKind  map[int]*latencyEstimate
	classes int
}

// get returns the estimate of a kind.
func (p *latencyPriors) get(kind int) *latencyEstimate {
	if p.byKind[kind] == nil {
		p.byKind[kind] = &latencyEstimate{byClass: make([]float64, p.classes)}
	}
	return p.byKind[kind]
}
