package relay

import (
	"encoding/json"
	"time"
)

// doorWait bounds how long an operator's line waits for the loop.
const doorWait = time.Second

// serversCall asks how endpoints that are new on the list fare.
type serversCall struct {
	reply chan string // room for one
}

// ServersStatus is what a relay says, at its operators' door, of endpoints that are new on the list.
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

// askLoop has the loop answer an operator's line; for goroutines of the door.
func (l *loop) askLoop(question any, answer chan string) string {
	timer := time.NewTimer(doorWait)
	defer timer.Stop()
	select {
	case l.inbox <- question:
	case <-timer.C:
		return "ERR this relay is too busy"
	}
	select {
	case reply := <-answer:
		return reply
	case <-timer.C:
		return "ERR no answer in time: ask for the status"
	}
}

// askServers has the loop say how new endpoints fare; for goroutines of the door.
func (l *loop) askServers() string {
	c := serversCall{make(chan string, 1)}
	return l.askLoop(c, c.reply)
}

// servers says how new endpoints fare.
func (l *loop) servers() string {
	if l.heir != nil {
		return "ERR a newer process has taken over"
	}
	s, now := ServersStatus{Self: l.cfg.Settings.Ordinal, Servers: []ServerReport{}}, l.now()
	for _, n := range l.d.Newcomers() {
		s.Servers = append(s.Servers, ServerReport{Endpoint: n.Endpoint, Destination: n.Destination, Stage: n.Stage, Share: n.Share,
			Proving: n.Proving, ForS: max(0, now-n.Since).Seconds(), HeldS: max(0, n.Held-now).Seconds(), Holds: n.Holds, Doubt: n.Doubt})
	}
	text, err := json.Marshal(s)
	if err != nil {
		return "ERR " + err.Error()
	}
	return string(text)
}
