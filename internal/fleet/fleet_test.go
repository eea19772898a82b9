package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// facts draws facts that often speak of the same registers.
func facts(t *rapid.T) []Fact {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Fact {
		return Fact{FactID: FactID{Kind(rapid.IntRange(1, int(kindEnd)-1).Draw(t, "kind")), uint16(rapid.IntRange(0, 2).Draw(t, "origin")), rapid.SampledFrom([]string{"7", "h1"}).Draw(t, "key")},
			FactVersion: FactVersion{uint32(rapid.IntRange(1, 2).Draw(t, "incarnation")), uint32(rapid.IntRange(0, 2).Draw(t, "seq"))},
			Value:       uint64(rapid.IntRange(0, 2).Draw(t, "value")), ObservedAt: time.Duration(rapid.IntRange(0, 3).Draw(t, "seen")) * time.Second, Via: uint16(rapid.IntRange(0, 2).Draw(t, "via"))}
	}), 0, 12).Draw(t, "facts")
}

// Merging is commutative, associative and idempotent, whatever the order and however often facts come, and monotone:
// no register goes back to an earlier stamp, and no fact grows younger.
func TestMerge(t *testing.T) {
	const now = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		all := facts(t)
		a, b := NewStore(), NewStore()
		for _, f := range all {
			before, had := a.facts[f.FactID]
			a.Merge(f, now)
			after := a.facts[f.FactID]
			if c := after.FactVersion.Compare(before.FactVersion); had && (c < 0 || c == 0 && after.ObservedAt > before.ObservedAt) {
				t.Fatalf("%+v becomes %+v by %+v", before, after, f)
			}
		}
		again := append(slices.Clone(all), rapid.SliceOf(rapid.SampledFrom(append(all, Fact{}))).Draw(t, "repeated")...)
		for _, f := range rapid.Permutation(again).Draw(t, "order") {
			b.Merge(f, now)
		}
		if !reflect.DeepEqual(a.facts, b.facts) {
			t.Fatalf("%v and %v", a.facts, b.facts)
		}
	})
}

// No value is read past its bound by the reader's clock, whatever the sender claims and however often it comes again.
func TestBound(t *testing.T) {
	for kind, bound := range Lifetimes {
		n := NewNode(1, 3, 1, "v", 0, 1, 0)
		f := Fact{FactID: FactID{kind, 0, "7"}, FactVersion: FactVersion{1, 1}}
		for at := time.Duration(0); at < 2*bound.ExpiresAfter; at += 100 * time.Millisecond {
			claim, _ := encodeMessage(0, 0, []Fact{{FactID: f.FactID, FactVersion: f.FactVersion, ObservedAt: at}}, at) // always new, it says
			n.Receive(0, claim, at)
			a, ok := n.Get(f.FactID, at)
			if ok != (at < bound.ExpiresAfter) || ok && (a.Age != at || a.Fading != (at >= bound.FadesAfter)) {
				t.Fatalf("%s at %v: %v, %+v", bound.Name, at, ok, a)
			}
		}
	}
}

// A note holds what fits, and is read as it was written, but for ages, which are rounded up to milliseconds.
func TestNote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 5 * time.Second
		all := facts(t)
		note, n := encodeMessage(flagDigest, 77, all, now)
		m, err := decodeMessage(note)
		if len(note) > MaxMessageSize || err != nil || m.digest != 77 || len(m.facts) != n || n < min(len(all), 8) {
			t.Fatalf("%d bytes, %v, %d of %d facts", len(note), err, n, len(all))
		}
		for i, f := range m.facts {
			if f.ObservedAt, f.Via = f.ObservedAt+now, all[i].Via; f != all[i] {
				t.Fatalf("%+v is read as %+v", all[i], f)
			}
		}
	})
}

// Any bytes are read or are not; what is read can be written again.
func FuzzNote(f *testing.F) {
	note, _ := encodeMessage(flagDigest, 7, []Fact{{FactID: FactID{KindDestinationClosed, 3, "7"}, FactVersion: FactVersion{5, 6}, Value: 100}}, time.Second)
	for n := range note {
		f.Add(note[:n])
	}
	f.Add(note)
	f.Fuzz(func(t *testing.T, note []byte) {
		m, err := decodeMessage(note)
		if err != nil {
			return
		}
		again, n := encodeMessage(m.flags, m.digest, m.facts, 0)
		if back, err := decodeMessage(again); err != nil || n != len(m.facts) && len(note) <= MaxMessageSize-10 || len(back.facts) != n {
			t.Fatalf("%x is read, and written as %x", note, again)
		}
		node := NewNode(1, 10, 1, "v", 0, 1, 0)
		node.Receive(0, note, time.Hour)
		for _, a := range node.Facts(0, time.Hour) {
			if a.Age < 0 || a.Age >= Lifetimes[a.Kind].ExpiresAfter {
				t.Fatalf("%+v", a)
			}
		}
	})
}

// Duties are shared evenly, and a member that goes changes no order among the others.
func TestRank(t *testing.T) {
	var live []int
	for m := range 60 {
		live = append(live, m)
	}
	count := map[int]int{}
	for k := range 3000 {
		key := fmt.Sprint(k)
		last := Rank(key, live, 59)
		for _, m := range live[:59] {
			rank := Rank(key, live, m)
			if rank == 0 {
				count[m]++
			}
			if less := Rank(key, live[:59], m); rank > last && less != rank-1 || rank < last && less != rank {
				t.Fatalf("key %s: member %d goes from rank %d to %d as %d leaves", key, m, rank, less, last)
			}
		}
	}
	for m, n := range count { // fifty each; five deviations
		if n < 15 || n > 85 {
			t.Errorf("member %d carries %d duties", m, n)
		}
	}
}

// model is a fleet in virtual time, with the same code that relays run.
type model struct {
	nodes        []*Node
	rng          *rand.Rand
	loss         float64
	cut          func(a, b int) bool
	now          time.Duration
	flying       []flight
	notes, bytes int // sent, one for each receiver
	sent         int // bytes, a note to all counting once
}

type flight struct {
	at       time.Duration
	from, to int
	note     []byte
}

func newModel(n int, loss float64, seed uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 0)), loss: loss, cut: func(int, int) bool { return false }}
	for i := range n {
		m.nodes = append(m.nodes, NewNode(i, n, 1, "v", i%3, seed, 0))
	}
	return m
}

func (m *model) send(from int, out []Outgoing) {
	for _, s := range out {
		m.sent += len(s.Message)
		for to := range m.nodes {
			if to == from || s.To != Everyone && s.To != to {
				continue
			}
			m.notes, m.bytes = m.notes+1, m.bytes+len(s.Message)
			if m.rng.Float64() >= m.loss && !m.cut(from, to) {
				m.flying = append(m.flying, flight{m.now + time.Duration(1+m.rng.IntN(20))*time.Millisecond, from, to, s.Message})
			}
		}
	}
}

// run lets time go on by steps of 5 ms until something is so, or the time is up.
func (m *model) run(until time.Duration, so func() bool) (at time.Duration, ok bool) {
	for ; m.now < until; m.now += 5 * time.Millisecond {
		left := m.flying[:0]
		var come []flight
		for _, f := range m.flying {
			if f.at <= m.now {
				come = append(come, f)
			} else {
				left = append(left, f)
			}
		}
		m.flying = left
		for _, f := range come {
			out, _ := m.nodes[f.to].Receive(f.from, f.note, m.now)
			m.send(f.to, out)
		}
		for i, n := range m.nodes {
			if n.NextTick() <= m.now {
				m.send(i, n.Tick(m.now))
			}
		}
		if so != nil && so() {
			return m.now, true
		}
	}
	return m.now, false
}

// know is the share of the fleet that knows a thing.
func (m *model) know(kind Kind, key string) float64 {
	n := 0
	for _, node := range m.nodes {
		if origins, _ := node.CountReporters(kind, key, m.now); origins > 0 {
			n++
		}
	}
	return float64(n) / float64(len(m.nodes))
}

// A closing is known to 99% of 200 relays within 300 ms with a tenth of all notes lost, and within 1 s with three tenths.
func TestSpread(t *testing.T) {
	for _, c := range []struct {
		loss   float64
		within time.Duration
	}{{0, 300 * time.Millisecond}, {0.1, 300 * time.Millisecond}, {0.3, time.Second}, {0.5, 8 * time.Second}} {
		for seed := range uint64(5) {
			m := newModel(200, c.loss, seed)
			m.run(3*time.Second, nil)
			for _, n := range m.nodes { // which takes some beats of each: see TestLoss
				n.losses.rate = c.loss
			}
			m.nodes[17].Observe(KindDestinationClosed, "7", 500, false, m.now, m.now)
			begun := m.now
			at, ok := m.run(begun+c.within, func() bool { return m.know(KindDestinationClosed, "7") >= 0.99 })
			if !ok {
				t.Errorf("loss %v, seed %d: %.1f%% know it after %v", c.loss, seed, 100*m.know(KindDestinationClosed, "7"), at-begun)
			}
			t.Logf("loss %v, seed %d: 99%% know it after %v", c.loss, seed, at-begun)
		}
	}
}

// A closing goes round a fleet of a thousand, and of ten thousand, as it does round one of two hundred, and a relay
// there sends no more at rest.
func TestLarge(t *testing.T) {
	for _, c := range []struct {
		relays int
		loss   float64
	}{{1000, 0.1}, {1000, 0.3}, {10_000, 0.1}} {
		if c.relays > 1000 && testing.Short() {
			continue
		}
		m := newModel(c.relays, c.loss, 1)
		m.run(time.Second, nil)
		for _, n := range m.nodes {
			n.losses.rate = c.loss
		}
		rest := m.sent
		m.run(m.now+time.Second, nil)
		rate := float64(m.sent-rest) / float64(c.relays)
		m.nodes[17].Observe(KindDestinationClosed, "7", 500, false, m.now, m.now)
		begun := m.now
		at, ok := m.run(begun+time.Second, func() bool { return m.know(KindDestinationClosed, "7") >= 0.99 })
		if !ok || rate > 40 {
			t.Errorf("%d relays, %v lost: %.1f%% know it after %v; %.1f bytes a second each at rest", c.relays, c.loss, 100*m.know(KindDestinationClosed, "7"), at-begun, rate)
		}
		t.Logf("%d relays, %v lost: 99%% know it after %v; %.1f bytes a second each at rest", c.relays, c.loss, at-begun, rate)
	}
}

// Relays come to know how many notes get lost, and tell new facts as often as that asks for.
func TestLoss(t *testing.T) {
	for _, c := range []struct {
		loss     float64
		tellings int
	}{{0, 1}, {0.3, 3}} {
		m := newModel(30, c.loss, 1)
		m.run(60*time.Second, nil)
		for i, n := range m.nodes {
			if math.Abs(n.losses.rate-c.loss) > 0.15 || n.losses.transmitLimit() < c.tellings || c.loss == 0 && n.losses.transmitLimit() > 1 {
				t.Errorf("with %v lost, relay %d takes it for %.2f and tells %d times", c.loss, i, n.losses.rate, n.losses.transmitLimit())
			}
		}
	}
}

// At rest each relay sends under 40 bytes a second, also where the fleet is large.
func TestRest(t *testing.T) {
	for _, n := range []int{10, 60, 300} {
		m := newModel(n, 0.1, 1)
		m.run(10*time.Second, nil)
		from := m.sent
		m.run(70*time.Second, nil)
		rate := float64(m.sent-from) / 60 / float64(n)
		t.Logf("%d relays: %.1f bytes a second each", n, rate)
		if rate > 40 {
			t.Errorf("%d relays send %.1f bytes a second each at rest", n, rate)
		}
		for _, node := range m.nodes {
			if live := node.LiveMembers(m.now); len(live) != n {
				t.Fatalf("of %d relays one counts %d", n, len(live))
			}
		}
	}
}

// A fleet that was cut in two, with both sides learning, has one view some time after it is healed; and a newcomer
// learns by asking one, not all.
func TestCutAndHeal(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		m := newModel(60, loss, 3)
		m.run(2*time.Second, nil)
		m.cut = func(a, b int) bool { return (a < 30) != (b < 30) }
		for i := range 10 {
			m.nodes[i].Observe(KindEndpointEjected, fmt.Sprint("left", i), 1, false, m.now, m.now)
			m.nodes[50+i].Observe(KindEndpointEjected, fmt.Sprint("right", i), 1, false, m.now, m.now)
		}
		m.run(m.now+3*time.Second, nil)
		if m.know(KindEndpointEjected, "left0") > 0.5 || m.know(KindEndpointEjected, "right0") > 0.5 {
			t.Fatal("the cut lets notes through")
		}
		m.cut = func(int, int) bool { return false }
		m.nodes[44] = NewNode(44, 60, 2, "v", 0, 9, m.now)
		healed := m.now
		at, ok := m.run(m.now+20*time.Second, func() bool {
			for _, n := range m.nodes {
				if n.Digest(m.now) != m.nodes[0].Digest(m.now) {
					return false
				}
			}
			return true
		})
		if !ok || m.know(KindEndpointEjected, "left3") < 1 || m.know(KindEndpointEjected, "right3") < 1 {
			t.Errorf("loss %v: no one view %v after the heal", loss, at-healed)
		}
		t.Logf("loss %v: one view after %v", loss, at-healed)
	}
}

// A relay that has ended is suspected and then counts no more, and one that wakes after a long time has no old view.
func TestMembers(t *testing.T) {
	m := newModel(20, 0.1, 1)
	m.run(10*time.Second, nil)
	m.nodes[3].Observe(KindDestinationClosed, "7", 0, false, m.now, m.now)
	m.run(m.now+time.Second, nil)
	m.cut = func(a, b int) bool { return a == 5 || b == 5 }
	m.run(m.now+5*minHeartbeatInterval+3*time.Second, nil)
	if live := m.nodes[0].LiveMembers(m.now); slices.Contains(live, 5) || len(live) != 19 || !m.nodes[0].Suspected(5, m.now) {
		t.Errorf("live %v", live)
	}
	if a := m.nodes[5].Facts(KindDestinationClosed, m.now); len(a) > 0 {
		t.Errorf("one that was alone still holds %+v", a)
	}
}
