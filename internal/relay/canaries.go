package relay

import (
	"encoding/json"

	"milletsail/internal/clock"
)

// CanaryStatus is the reply to "servers" at the admin endpoint: the canary analysis of endpoints that are new on the list.
type CanaryStatus struct {
	Self      int            `json:"self"`
	Endpoints []CanaryReport `json:"servers"`
}

// CanaryReport is the part of it about one endpoint.
type CanaryReport struct {
	Endpoint         string  `json:"endpoint"`
	Destination      int     `json:"destination"`
	Stage            int     `json:"stage"` // from 0
	Share            float64 `json:"share"` // of its destination's calls
	HasBaseline      bool    `json:"proving"`
	StageSeconds     float64 `json:"for_s"`            // how long the stage has lasted
	SuspendedSeconds float64 `json:"held_s,omitempty"` // how long it still gets nothing
	Suspensions      int     `json:"holds"`
	RegressionScore  float64 `json:"doubt"` // 1 suspends it
}

// canaryStatus returns the reply to "servers".
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
