package fleet

import (
	"cmp"
	"slices"
	"time"
)

// joinState is the progress of a relay that has just started and asks others for their state.
type joinState struct {
	requests int // sent
	answers  int // messages of state that were received
}

// joining reports whether this relay still asks for state.
func (n *Node) joining() bool {
	return n.join.answers < wantedJoinAnswers && n.join.requests < maxJoinRequests && n.size > 1
}

// nextJoinRequestAt returns the time of the next join request.
func (n *Node) nextJoinRequestAt() time.Duration {
	return n.startedAt + time.Duration(n.join.requests)*joinRetryInterval
}

// joinRequest returns a request for the state of one random relay.
func (n *Node) joinRequest(now time.Duration) (out []Outgoing) {
	n.join.requests++
	peer, ok := n.randomPeer()
	if !ok {
		return nil
	}
	data, _ := encodeMessage(flagJoin, 0, nil, now)
	return []Outgoing{{peer, data}}
}

// joinAnswer returns the state for a joining member: the youngest facts about each subject, as far as they fit.
func (n *Node) joinAnswer(to int, now time.Duration) (out []Outgoing) {
	all := n.Facts(0, now)
	slices.SortStableFunc(all, func(a, b AgedFact) int { return cmp.Compare(a.Age, b.Age) })
	included := map[subject]int{}
	var facts []Fact
	for _, fact := range all {
		about := subject{fact.Kind, fact.Key}
		if fact.Kind == KindMember || fact.Origin == uint16(to) || included[about] >= maxJoinFactsPerSubject {
			continue
		}
		included[about]++
		facts = append(facts, fact.Fact)
	}
	// An empty state is answered too: the joining member counts answers.
	for len(out) < maxAnswerMessages && (len(facts) > 0 || len(out) == 0) {
		data, sent := encodeMessage(flagJoinAnswer, 0, facts, now)
		out = append(out, Outgoing{to, data})
		facts = facts[sent:]
	}
	return out
}
