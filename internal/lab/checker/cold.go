package checker

import (
	"fmt"
	"math"
	"slices"
)

// coldReading is a reading of the rule on cold destinations. What is overloaded, and where a failed call tells a relay of the
// outage, can be an endpoint or its whole destination.
type coldReading struct {
	name               string
	overloads, informs coldScope
}

// coldScope is an endpoint or its whole destination.
type coldScope int

const (
	scopeEndpoint coldScope = iota
	scopeDestination
)

// coldReadings are the readings that have to hold. Names start with what is overloaded.
var coldReadings = []coldReading{
	{"endpoint by endpoint", scopeEndpoint, scopeEndpoint},
	{"endpoint by destination", scopeEndpoint, scopeDestination},
	{"destination by destination", scopeDestination, scopeDestination},
}

// ColdReadings returns the names of the readings of the rule on cold destinations.
func ColdReadings() (names []string) {
	for _, reading := range coldReadings {
		names = append(names, reading.name)
	}
	return names
}

// ColdWindow is a window of OverloadFor in which a cold endpoint or destination got calls.
type ColdWindow struct {
	Reading       string  `json:"reading"`
	Overloaded    string  `json:"overloaded"` // endpoint, or "destination N"
	Calls         int     `json:"calls"`
	FromObservers int     `json:"from_observers"` // calls from relays that had seen the outage
	Budget        float64 `json:"budget"`         // calls that the settings allow
	Threshold     float64 `json:"threshold"`      // calls above which the operators' rule is broken
}

// Load returns the calls as a share of the operators' threshold, or 0 if too few of them came from relays that had seen the
// outage to break the rule.
func (w *ColdWindow) Load() float64 {
	if float64(w.FromObservers) < observerShare*float64(w.Calls) || w.Threshold == 0 {
		return 0
	}
	return float64(w.Calls) / w.Threshold
}

// coldReturn is the return of an endpoint, or of several endpoints of a destination, after an outage that they shared.
type coldReturn struct {
	name                 string
	hosts                []string
	observers            map[int]bool // relays that had seen the outage
	restored, overloaded micros
	capacity             float64 // calls per second of all of them together
}

// hostOutage is one outage of one endpoint.
type hostOutage struct {
	endpointOutage
	host string
}

// checkReturns reports endpoints and destinations that got more calls than their budget and its margin after coming back cold,
// if at least observerShare of these calls came from relays that had seen the outage.
func (c *checker) checkReturns() {
	callsAt := map[string][]*call{}
	for _, k := range c.callsInOrder {
		callsAt[k.Host] = append(callsAt[k.Host], k)
	}
	for _, reading := range coldReadings {
		worst := ColdWindow{Reading: reading.name}
		for _, outages := range c.sharedOutages() {
			for _, r := range c.returnsFrom(reading, outages, callsAt) {
				if w := c.checkReturn(reading, r, callsAt); w.Load() > worst.Load() {
					worst = w
				}
			}
		}
		if worst.Calls > 0 {
			c.verdict.ColdWindows = append(c.verdict.ColdWindows, worst)
		}
	}
}

// sharedOutages returns the outages that have ended, with those of one destination that overlap together.
func (c *checker) sharedOutages() (shared [][]hostOutage) {
	var all []hostOutage
	for host, outages := range c.endpointOutages {
		for _, o := range outages {
			if o.restored != forever && o.capacity > 0 {
				all = append(all, hostOutage{o, host})
			}
		}
	}
	slices.SortFunc(all, func(a, b hostOutage) int {
		if order := c.parameters.Hosts[a.host].Dest - c.parameters.Hosts[b.host].Dest; order != 0 {
			return order
		}
		return int(a.from - b.from)
	})
	var end micros
	for _, o := range all {
		last := len(shared) - 1
		if last >= 0 && c.parameters.Hosts[shared[last][0].host].Dest == c.parameters.Hosts[o.host].Dest && o.from < end {
			shared[last] = append(shared[last], o)
			end = max(end, o.restored)
			continue
		}
		shared = append(shared, []hostOutage{o})
		end = o.restored
	}
	return shared
}

// returnsFrom returns what comes back, in a reading, from outages that overlap.
func (c *checker) returnsFrom(reading coldReading, outages []hostOutage, callsAt map[string][]*call) []coldReturn {
	everywhere := map[int]bool{}
	var each []coldReturn
	destination := c.parameters.Hosts[outages[0].host].Dest
	whole := coldReturn{name: fmt.Sprint("destination ", destination), observers: everywhere, overloaded: forever}
	for _, o := range outages {
		there := observers(o, callsAt[o.host])
		for relay := range there {
			everywhere[relay] = true
		}
		if reading.informs == scopeDestination {
			there = everywhere
		}
		each = append(each, coldReturn{o.host, []string{o.host}, there, o.restored, o.overloaded, o.capacity})
		whole.hosts = append(whole.hosts, o.host)
		whole.restored, whole.overloaded = max(whole.restored, o.restored), min(whole.overloaded, o.overloaded)
		if !c.parameters.Hosts[o.host].Replaces { // a replacement adds no capacity to the destination
			whole.capacity += o.capacity
		}
	}
	if reading.overloads == scopeDestination && whole.capacity > 0 {
		return []coldReturn{whole}
	}
	return each
}

// observers returns the relays at which a call to an endpoint failed during an outage.
func observers(o hostOutage, calls []*call) map[int]bool {
	seen := map[int]bool{}
	for _, k := range calls {
		failedWithin := k.Time >= o.from && k.Time < o.restored && replyStatus(k) != "200" && k.finished < forever
		failedByOutage := k.Time < o.from && k.finished >= o.from && k.finished < o.restored && k.replied == 0
		if failedWithin || failedByOutage {
			seen[relayOf(&k.Event)] = true
		}
	}
	return seen
}

// checkReturn reports a violation for the first window in which the calls exceed the budget and its margin, and returns the
// window that came closest to breaking the operators' rule.
func (c *checker) checkReturn(reading coldReading, r coldReturn, callsAt map[string][]*call) (worst ColdWindow) {
	f := c.parameters
	var window []*call
	for _, k := range c.callsAfter(r, callsAt) {
		window = append(window, k)
		for window[0].Time < k.Time-f.OverloadFor {
			window = window[1:]
		}
		w, lines := c.coldWindow(reading, r, window, k.Time)
		if w.Load() > worst.Load() {
			worst = w
		}
		margin := coldSigmas * math.Sqrt(w.Budget)
		if float64(w.Calls) > w.Budget+margin && float64(w.FromObservers) >= observerShare*float64(w.Calls) {
			c.addViolation(PushedOver, relayOf(&k.Event), "", fmt.Sprintf("%s got %d calls within %s (budget %.0f plus a margin for chance, "+
				"the rule's threshold is %.0f) %s after its return; %d came from relays that had seen it fail (%s)", r.name, w.Calls,
				formatDuration(f.OverloadFor), w.Budget, w.Threshold, formatDuration(k.Time-r.restored), w.FromObservers, reading.name), lines...)
			return worst
		}
	}
	return worst
}

// callsAfter returns the calls to what came back while it was cold, in order.
func (c *checker) callsAfter(r coldReturn, callsAt map[string][]*call) (calls []*call) {
	until := min(r.restored+c.parameters.RampTime, r.overloaded)
	for _, host := range r.hosts {
		for _, k := range callsAt[host] {
			if k.Time >= r.restored && k.Time <= until {
				calls = append(calls, k)
			}
		}
	}
	slices.SortStableFunc(calls, func(a, b *call) int { return int(a.Time - b.Time) })
	return calls
}

// coldWindow returns the window of the given calls, which ends at a time, and their lines in the history.
func (c *checker) coldWindow(reading coldReading, r coldReturn, calls []*call, at micros) (w ColdWindow, lines []int) {
	f := c.parameters
	warmth := math.Min(1, f.ColdShare+(1-f.ColdShare)*float64(at-r.restored)/float64(f.RampTime))
	budget := f.OverloadFactor * r.capacity * warmth * f.OverloadFor.Duration().Seconds()
	w = ColdWindow{Reading: reading.name, Overloaded: r.name, Calls: len(calls), Budget: budget, Threshold: withstoodCalls(budget)}
	for _, k := range calls {
		lines = append(lines, k.lines[0])
		if r.observers[relayOf(&k.Event)] {
			w.FromObservers++
		}
	}
	return w, lines
}

// withstoodCalls returns the calls above which the operators' rule on cold destinations is broken, where the settings allow n.
func withstoodCalls(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}
