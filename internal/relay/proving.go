package relay

import (
	"encoding/json"

	"milletsail/internal/clock"
)

// ServersStatus is what a relay says, at its admin endpoint, of endpoints that are new on the list.
type ServersStatus struct {
	Self    int            `json:"self"`
	Servers []ServerReport `json:"servers"`
}

// ServerReport is what a relay says of one of them.
type ServerReport struct {
	Endpoint    string  `json:"endpoint"`
	Destination int     `json:"destination"`
	Stage       int     `json:"stage"` // from 0
	Share       float64 `json:"share"` // of its destination's calls
	Proving     bool    `json:"proving"`
	ForS        float64 `json:"for_s"`            // how long the stage has lasted
	HeldS       float64 `json:"held_s,omitempty"` // how long it still gets nothing
	Holds       int     `json:"holds"`
	Doubt       float64 `json:"doubt"` // 1 has it held back
}

// servers says how new endpoints fare.
func (l *loop) servers() string {
	s, now := ServersStatus{Self: l.cfg.Settings.Ordinal, Servers: []ServerReport{}}, clock.Now()
	for _, n := range l.d.Canaries() {
		s.Servers = append(s.Servers, ServerReport{Endpoint: n.Endpoint, Destination: n.Destination, Stage: n.Stage, Share: n.Share,
			Proving: n.HasBaseline, ForS: max(0, now.Sub(n.StageStartedAt)).Seconds(), HeldS: max(0, n.SuspendedUntil.Sub(now)).Seconds(), Holds: n.Suspensions, Doubt: n.RegressionScore})
	}
	text, err := json.Marshal(s)
	if err != nil {
		return "ERR " + err.Error()
	}
	return string(text)
}
