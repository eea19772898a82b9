package report

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"milletsail/internal/lab/history"
)

// NewEndpoint describes an endpoint that replaced another one. Times are in seconds since it was listed; Listed is in seconds
// since the run began.
type NewEndpoint struct {
	Host   string  `json:"host"`
	Listed float64 `json:"at"`
	// HeldAfter is the median time at which relays held the endpoint back; nil if fewer than half of the relays that reported
	// on it did. ExposedShare is its share of its destination's calls until then, or over exposureWindow if it was not held
	// back.
	HeldAfter    *float64 `json:"held,omitempty"`
	ExposedShare float64  `json:"exposed"`
	FailedCalls  int      `json:"failed"` // calls to the endpoint that were answered with 500, over the whole run
	Calls        int      `json:"calls"`
	// FullAfter is when it first got fullTrafficShare of the calls that its predecessor had got, counted over callWindow; nil
	// if it never did.
	FullAfter *float64 `json:"full,omitempty"`
}

const (
	exposureWindow   = 20 * time.Second
	fullTrafficShare = 0.85
)

// computeNewEndpoints computes the figures of the endpoints that replaced others.
func (f *Figures) computeNewEndpoints(events []history.Event) {
	facts := events[0].Parameters
	calls, hostOfCall, failed := map[string][]float64{}, map[int]string{}, map[string]int{}
	listed, order := map[string]float64{}, []string(nil)
	heldAt, reporting := map[string]map[int]float64{}, map[string]map[int]bool{}
	for i := range events {
		e := &events[i]
		at := e.Time.Duration().Seconds()
		switch e.Kind {
		case history.List:
			for _, h := range e.Hosts {
				if _, ok := listed[h.Host]; !ok && !e.SentToRelay && h.Health == "SERVING" && strings.Contains(h.Host, "-n") {
					listed[h.Host] = at
					order = append(order, h.Host)
					heldAt[h.Host], reporting[h.Host] = map[int]float64{}, map[int]bool{}
				}
			}
		case history.Call:
			calls[e.Host] = append(calls[e.Host], at)
			hostOfCall[e.Call] = e.Host
		case history.Reply:
			if e.Status == "500" {
				failed[hostOfCall[e.Call]]++
			}
		case history.Servers:
			for host, t := range e.Trials {
				if reporting[host] == nil {
					continue
				}
				reporting[host][*e.Relay] = true
				if _, had := heldAt[host][*e.Relay]; !had && t.Holds > 0 {
					heldAt[host][*e.Relay] = at
				}
			}
		}
	}
	for _, host := range order {
		n := NewEndpoint{Host: host, Listed: listed[host], FailedCalls: failed[host], Calls: len(calls[host])}
		until := n.Listed + exposureWindow.Seconds()
		var times []float64
		for _, at := range heldAt[host] {
			times = append(times, at)
		}
		if len(times) > 0 && 2*len(times) >= len(reporting[host]) {
			until = median(times)
			held := until - n.Listed
			n.HeldAfter = &held
		}
		var own, all float64
		for other, at := range calls {
			if facts.Hosts[other].Dest == facts.Hosts[host].Dest {
				c := countWithin(at, n.Listed, until)
				all += c
				if other == host {
					own += c
				}
			}
		}
		n.ExposedShare = own / math.Max(1, all)
		before, _, _ := strings.Cut(host, "-n")
		if usual := baselineCalls(calls[before], n.Listed); usual > 0 {
			n.FullAfter = timeToReach(calls[host], fullTrafficShare*usual, n.Listed)
		}
		f.NewEndpoints = append(f.NewEndpoints, n)
	}
}

// median returns the upper median of the times, of which there must be at least one. It sorts them in place.
func median(times []float64) float64 {
	slices.Sort(times)
	return times[len(times)/2]
}

// newEndpointsText writes one line of a table per new endpoint.
func (f *Figures) newEndpointsText(line func(name, format string, args ...any)) {
	for _, n := range f.NewEndpoints {
		status := "never held back"
		if n.HeldAfter != nil {
			status = fmt.Sprintf("held back after %s", seconds(*n.HeldAfter))
		}
		if n.FullAfter != nil {
			status += fmt.Sprintf(", had %.0f%% of its predecessor's calls after %s", 100*fullTrafficShare, seconds(*n.FullAfter))
		}
		line("new endpoint "+n.Host, "at %.1f s, %s; %.1f%% of its destination's calls until held back, or in the first %v; %d of its %d calls failed", n.Listed, status, 100*n.ExposedShare, exposureWindow, n.FailedCalls, n.Calls)
	}
}
