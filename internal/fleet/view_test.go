package fleet

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
)

// say has origin's note with a fact heard by n, from via.
func say(n *Node, kind Kind, origin, via int, key string, value uint64, seq uint32, at, now time.Duration) {
	note, _ := encodeMessage(0, 0, []Fact{{FactID: FactID{kind, uint16(origin), key}, FactVersion: FactVersion{1, seq}, Value: value, ObservedAt: at}}, now)
	n.Receive(via, note, now)
}

// A word counts who finds a thing bad that nobody has found good since. One relay speaks for itself alone, however many
// it names, and those that are not near do not count where nearness is asked for.
func TestWord(t *testing.T) {
	const now = 8 * time.Second
	n := NewNode(0, 9, 1, "v", 0, 1, 0)
	for origin := 1; origin <= 3; origin++ {
		say(n, KindEndpointEjected, origin, origin, "h", uint64(origin%2), 1, time.Duration(origin)*time.Second, now)
	}
	for origin := 5; origin <= 8; origin++ { // a liar, or one that passes on what others said
		say(n, KindEndpointEjected, origin, 4, "h", 1, 1, 4*time.Second, now)
	}
	near := func(f Fact) bool { return f.Value == 1 }
	for _, c := range []struct {
		name string
		near func(Fact) bool
		good time.Duration // when relay 5 finds it good; 0 for never
		want Assessment
	}{
		{"all", nil, 0, Assessment{4, 0, 7 * time.Second, 4 * time.Second, 26 * time.Second}},
		{"near", near, 0, Assessment{3, 0, 7 * time.Second, 4 * time.Second, 26 * time.Second}},
		{"one has found it good since the second", nil, 2500 * time.Millisecond, Assessment{2, 0, 5 * time.Second, 4 * time.Second, 26 * time.Second}},
		{"one has found it good since the last", near, 5 * time.Second, Assessment{}},
	} {
		if c.good > 0 {
			say(n, KindEndpointRecovered, 5, 5, "h", 1, uint32(c.good/time.Millisecond), c.good, now)
		}
		if got := n.Assess(KindEndpointEjected, KindEndpointRecovered, "h", c.near, now); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	say(n, KindEndpointEjected, 6, 6, "h", 1, 9000, now-time.Second, now)
	if got := n.Assess(KindEndpointEjected, KindEndpointRecovered, "h", nil, now); got.RecentObservers != 1 || got.Observers != 1 {
		t.Errorf("one of them fresh: %+v", got)
	}
	if got := n.Assess(KindEndpointEjected, KindEndpointRecovered, "h", nil, now+Lifetimes[KindEndpointEjected].ExpiresAfter); got != (Assessment{}) {
		t.Errorf("past its bound: %+v", got)
	}
}

// Paces are told with beats, summed up without this relay's own, and no longer used when they fade.
func TestPaces(t *testing.T) {
	m := newModel(10, 0, 1)
	for i, n := range m.nodes {
		n.ObserveRate("3", EncodeRate(float64(i)/4, float64(i), i%3))
	}
	m.run(8*time.Second, nil)
	p := m.nodes[9].SummarizeRates("3", 9, m.now)
	if p.Reporters != 9 || p.RateShare != 1 || p.ArrivalRate != 4 || math.Abs(p.ArrivalRateError-math.Sqrt(7.5)/3) > 1e-9 || p.ValidFor <= 0 || p.ArrivalRateByZone[0] != 3 || p.ArrivalRateByZone[1] != 4 || p.ArrivalRateByZone[2] != 5 {
		t.Errorf("%+v", p)
	}
	if p := m.nodes[9].SummarizeRates("3", 9, m.now+Lifetimes[KindSendRate].FadesAfter); !reflect.DeepEqual(p, RateSummary{}) {
		t.Errorf("past its use: %+v", p)
	}
	for _, v := range []float64{-1, 0, 65, 1e12, math.Inf(1)} { // numbers at their ends
		if pace, traffic := decodeRate(EncodeRate(v, v, 2)); pace < 0 || pace > 66 || traffic < 0 || traffic > 5e6 {
			t.Errorf("%v is told as %v and %v", v, pace, traffic)
		}
	}
}

// A newcomer asks one relay, another where that does not answer, never all; and knows the fleet's paces soon.
func TestNewcomer(t *testing.T) {
	for _, loss := range []float64{0, 0.3, 1} {
		m := newModel(60, 0, 1)
		for i := range 60 {
			m.nodes[i].ObserveRate(fmt.Sprint(i%10), EncodeRate(0.5, 1, 0))
		}
		m.run(12*time.Second, nil)
		m.nodes[1].Observe(KindDestinationClosed, "7", 500, false, m.now, m.now)
		m.run(m.now+500*time.Millisecond, nil)
		m.loss = loss
		n := NewNode(44, 60, 2, "v", 0, 9, m.now)
		m.nodes[44] = n
		asked := map[int]bool{}
		begun := m.now
		for m.now < begun+2*time.Second {
			if n.NextTick() <= m.now {
				out := n.Tick(m.now)
				for _, s := range out {
					if len(s.Message) > 2 && s.Message[2]&flagJoin != 0 {
						asked[s.To] = true
					}
				}
				m.send(44, out)
			}
			m.run(m.now+5*time.Millisecond, nil)
		}
		if len(asked) < 1 || len(asked) > maxJoinRequests || asked[Everyone] || loss == 0 && len(asked) > 2 {
			t.Errorf("loss %v: asked %v", loss, asked)
		}
		known := 0
		for k := range 10 {
			if n.SummarizeRates(fmt.Sprint(k), 44, m.now).Reporters > 0 {
				known++
			}
		}
		if closed, _ := n.CountReporters(KindDestinationClosed, "7", m.now); loss < 1 && (known < 10 || closed == 0) {
			t.Errorf("loss %v: knows %d paces of 10, and of %d closings", loss, known, closed)
		}
	}
}
