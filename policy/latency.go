package policy

import "math"

// latencyWeight is the weight of a new outcome in a moving average: about the last ten outcomes count.
const latencyWeight = 0.1

// latencyEstimate holds moving averages of the latency, in seconds; 0 means unknown.
type latencyEstimate struct {
	outcomes int       // number of outcomes counted
	mean     float64   // mean over all classes
	byClass  []float64 // mean of each class
}

// record adds a latency to the averages. The first outcomes weigh more, since the averages then hold only a
// prior.
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

// applyPrior sets the unknown averages to those of a prior. Before the first outcome, it replaces all of
// them.
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

// latencyPriors holds one latency estimate for each kind of destination, used as a prior for destinations
// that have none of their own yet.
type latencyPriors struct {
	byKind  map[int]*latencyEstimate
	classes int
}

// get returns the estimate of a kind, which it creates if needed.
func (p *latencyPriors) get(kind int) *latencyEstimate {
	if p.byKind[kind] == nil {
		p.byKind[kind] = &latencyEstimate{byClass: make([]float64, p.classes)}
	}
	return p.byKind[kind]
}
