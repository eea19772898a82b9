package fleet

import (
	"cmp"
	"slices"
	"time"
)

// joinState counts the join requests and answers of a relay that has just started and asks other relays for their facts.
type joinState struct {
	requests int // number of requests sent
	answers  int // number of answer messages received
}

// joining reports whether this relay still sends join requests.
func (n *Node) joining() bool {
	return n.join.answers < wantedJoinAnswers && n.join.requests < maxJoinRequests && n.size > 1
}

// nextJoinRequestAt returns the time of the next join request.
func (n *Node) nextJoinRequestAt() time.Duration {
	return n.startedAt + time.Duration(n.join.requests)*joinRetryInterval
}

// joinRequest returns a message that asks one random relay for its facts.
func (n *Node) joinRequest(now time.Duration) (out []Outgoing) {
	n.join.requests++
	peer, ok := n.randomPeer()
	if !ok {
		return nil
	}
	data, _ := encodeMessage(flagJoin, 0, nil, now)
	return []Outgoing{{peer, data}}
}

// joinAnswer returns the answer to a joining member: the youngest facts of each kind and key, as many as fit into
// maxAnswerMessages messages. Heartbeats and the member's own facts are left out.
func (n *Node) joinAnswer(to int, now time.Duration) (out []Outgoing) {
	all := n.Facts(0, now)
	slices.SortStableFunc(all, func(a, b AgedFact) int { return cmp.Compare(a.Age, b.Age) })
	included := map[subject]int{}
	var facts []Fact
	for _, fact := range all {
		factSubject := subject{fact.Kind, fact.Key}
		if fact.Kind == KindMember || fact.Origin == uint16(to) || included[factSubject] >= maxJoinFactsPerSubject {
			continue
		}
		included[factSubject]++
		facts = append(facts, fact.Fact)
	}
	// A relay without facts sends an empty answer, because the joining member stops asking after enough answers.
	for len(out) < maxAnswerMessages && (len(facts) > 0 || len(out) == 0) {
		data, sent := encodeMessage(flagJoinAnswer, 0, facts, now)
		out = append(out, Outgoing{to, data})
		facts = facts[sent:]
	}
	return out
}
