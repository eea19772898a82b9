package live

import (
	"encoding/json"

	"milletsail/internal/fleet"
)

// FactView is one fact in a View.
type FactView struct {
	Kind          string  `json:"kind"` // name of the kind, from fleet.Lifetime.Name
	Key           string  `json:"key"`
	Origin        int     `json:"origin"`
	Value         uint64  `json:"value"`
	AgeS          float64 `json:"age_s"`
	ExpiresAfterS float64 `json:"bound_s"` // age in seconds at which the fact expires
	Fading        bool    `json:"fading,omitempty"`
	KnownForS     float64 `json:"known_s"` // time in seconds since this relay first had a fact of the kind and key
	Via           int     `json:"via"`     // number of the relay from which the fact was received
	Incarnation   uint32  `json:"incarnation"`
}

// View is the state of a relay's gossip, which operators read as JSON at the admin endpoint.
type View struct {
	Self      int        `json:"self"`
	Live      []int      `json:"live"`                // numbers of the live relays, this relay included
	Suspected []int      `json:"suspected,omitempty"` // those of Live from which no message arrived within the suspicion timeout
	Digest    uint32     `json:"digest"`
	Facts     []FactView `json:"beliefs"`
}

// View returns the state of this relay's gossip.
func (s *Service) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	view := View{Self: s.options.Self, Live: s.node.LiveMembers(now), Digest: s.node.Digest(now), Facts: []FactView{}}
	for _, member := range view.Live {
		if member != s.options.Self && s.node.Suspected(member, now) {
			view.Suspected = append(view.Suspected, member)
		}
	}
	for _, fact := range s.node.Facts(0, now) {
		lifetime := fleet.Lifetimes[fact.Kind]
		view.Facts = append(view.Facts, FactView{
			Kind:          lifetime.Name,
			Key:           fact.Key,
			Origin:        int(fact.Origin),
			Value:         fact.Value,
			AgeS:          fact.Age.Seconds(),
			ExpiresAfterS: lifetime.ExpiresAfter.Seconds(),
			Fading:        fact.Fading,
			KnownForS:     s.node.KnownFor(fact.Kind, fact.Key, now).Seconds(),
			Via:           int(fact.Via),
			Incarnation:   fact.Incarnation,
		})
	}
	return view
}

// JSON returns the view as one line of JSON.
func (s *Service) JSON() string {
	text, err := json.Marshal(s.View())
	if err != nil {
		return "{}" // unreachable: all values of a View can be encoded
	}
	return string(text)
}
