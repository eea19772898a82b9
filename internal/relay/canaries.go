package relay

import (
	"encoding/json"

	"milletsail/internal/clock"
)

// CanaryStatus is the reply to the "servers" command of the admin endpoint: the state of the canary analysis, which gives new
// endpoints on the list a growing share of the calls.
type CanaryStatus struct {
	Self      int            `json:"self"` // ordinal of this relay
	Endpoints []CanaryReport `json:"servers"`
}

// CanaryReport is the canary analysis of one endpoint, a part of CanaryStatus.
type CanaryReport struct {
	Endpoint         string  `json:"endpoint"`
	Destination      int     `json:"destination"`
	Stage            int     `json:"stage"`            // index of the rollout stage, from 0
	Share            float64 `json:"share"`            // of its destination's calls that it gets in this stage
	HasBaseline      bool    `json:"proving"`          // a healthy older endpoint exists to compare it with; else Share is no limit
	StageSeconds     float64 `json:"for_s"`            // time since the stage began
	SuspendedSeconds float64 `json:"held_s,omitempty"` // remaining time of a suspension; 0 if it is not suspended
	Suspensions      int     `json:"holds"`            // how often it was suspended
	RegressionScore  float64 `json:"doubt"`            // evidence that it performs worse than older endpoints; 1 suspends it
}

// canaryStatus returns the reply to the "servers" command: a CanaryStatus as JSON.
func (l *loop) canaryStatus() string {
	status, now := CanaryStatus{Self: l.cfg.Settings.Ordinal, Endpoints: []CanaryReport{}}, clock.Now()
	for _, n := range l.dispatcher.Canaries() {
		status.Endpoints = append(status.Endpoints, CanaryReport{
			Endpoint:         n.Endpoint,
			Destination:      n.Destination,
			Stage:            n.Stage,
			Share:            n.Share,
			HasBaseline:      n.HasBaseline,
			StageSeconds:     max(0, now.Sub(n.StageStartedAt)).Seconds(),
			SuspendedSeconds: max(0, n.SuspendedUntil.Sub(now)).Seconds(),
			Suspensions:      n.Suspensions,
			RegressionScore:  n.RegressionScore,
		})
	}
	text, err := json.Marshal(status)
	if err != nil {
		return "ERR " + err.Error()
	}
	return string(text)
}
