package endpoints

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// exampleEntry returns entry i of a list with one endpoint for each destination. Its texts have typical lengths.
func exampleEntry(i int) Entry {
	return Entry{Host: fmt.Sprintf("s-%08x", uint32(i)*2654435761), Dial: fmt.Sprintf("10.%d.%d.%d:8443", 1+i>>16, i>>8&255, i&255),
		Site: string(rune('a' + i%4)), Class: "m2", Block: i, Health: "SERVING", Share: 1}
}

func exampleTable(n int) *Table {
	t := NewTable()
	for i := range n {
		t.Put(exampleEntry(i))
	}
	return t
}

// tableModel is a simple reference implementation of Table.
type tableModel struct {
	entries  map[string]Entry // entries by host
	order    map[int][]string // hosts of each destination, in the order in which they were added to it
	known    map[int]bool     // destinations that have ever had an entry
	replaced map[string]bool  // hosts put since BeginReplacement; nil if no replacement is in progress
}

func (m *tableModel) drop(host string) {
	e := m.entries[host]
	delete(m.entries, host)
	m.order[e.Block] = slices.DeleteFunc(m.order[e.Block], func(h string) bool { return h == host })
}

func (m *tableModel) put(e Entry) {
	if old, ok := m.entries[e.Host]; !ok || old.Block != e.Block {
		if ok {
			m.drop(e.Host)
		}
		m.order[e.Block] = append(m.order[e.Block], e.Host)
	}
	m.entries[e.Host] = e
	m.known[e.Block] = true
	if m.replaced != nil {
		m.replaced[e.Host] = true
	}
}

func (m *tableModel) check(t *rapid.T, table *Table) {
	if table.Len() != len(m.entries) {
		t.Fatalf("Len() = %d, want %d", table.Len(), len(m.entries))
	}
	draining := 0
	for host, want := range m.entries {
		if got, ok := table.Get(host); !ok || got != want {
			t.Fatalf("Get(%q) = %+v, %v; want %+v", host, got, ok, want)
		}
		if want.Health == Draining {
			draining++
		}
	}
	if table.Draining() != draining {
		t.Fatalf("Draining() = %d, want %d", table.Draining(), draining)
	}
	for number := -1; number < 6; number++ {
		var hosts []string
		for e := range table.ByDestination(number) {
			if e != m.entries[e.Host] {
				t.Fatalf("ByDestination(%d) yields %+v, want %+v", number, e, m.entries[e.Host])
			}
			hosts = append(hosts, e.Host)
		}
		if !slices.Equal(hosts, m.order[number]) {
			t.Fatalf("ByDestination(%d) yields hosts %q, want %q", number, hosts, m.order[number])
		}
		if table.SeenDestination(number) != m.known[number] {
			t.Fatalf("SeenDestination(%d) = %v, want the opposite", number, !m.known[number])
		}
	}
	seen := 0
	for from, done := 0, false; !done; {
		part, next, end := table.All(from, 3)
		for e := range part {
			if e != m.entries[e.Host] {
				t.Fatalf("All yields %+v, want %+v", e, m.entries[e.Host])
			}
			seen++
		}
		from, done = next, end
	}
	if seen != len(m.entries) {
		t.Fatalf("All yields %d entries, want %d", seen, len(m.entries))
	}
}

func drawEntry(t *rapid.T) Entry {
	long := string(make([]byte, rapid.SampledFrom([]int{0, 0, 0, 1, 7, 200, 70_000}).Draw(t, "length")))
	return Entry{Host: drawHost(t), Dial: rapid.SampledFrom([]string{"", "10.1.0.18:8443", "[::1]:1"}).Draw(t, "dial") + long,
		Site: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "site"), Class: "m2", Block: rapid.IntRange(-1, 5).Draw(t, "block"),
		Health: rapid.SampledFrom([]string{"SERVING", Draining}).Draw(t, "health"),
		Share:  rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "share"), BornMS: rapid.Int64().Draw(t, "born")}
}

func drawHost(t *rapid.T) string { return fmt.Sprint("host-", rapid.IntRange(0, 30).Draw(t, "host")) }

// Guards against a Table that differs from its reference implementation after any sequence of operations.
func TestTableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		m := &tableModel{entries: map[string]Entry{}, order: map[int][]string{}, known: map[int]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				e := drawEntry(t)
				want, had := m.entries[e.Host]
				if old, existed := table.Put(e); old != want || existed != had {
					t.Fatalf("Put returned %+v, %v; want %+v, %v", old, existed, want, had)
				}
				m.put(e)
			},
			"delete": func(t *rapid.T) {
				host := drawHost(t)
				want, had := m.entries[host]
				if old, existed := table.Delete(host); old != want || existed != had {
					t.Fatalf("Delete returned %+v, %v; want %+v, %v", old, existed, want, had)
				}
				if had {
					m.drop(host)
				}
			},
			"begin": func(*rapid.T) {
				table.BeginReplacement()
				m.replaced = map[string]bool{}
			},
			"abort": func(*rapid.T) {
				table.AbortReplacement()
				m.replaced = nil
			},
			"sweep": func(t *rapid.T) { sweep(t, table, m) },
			"":      func(t *rapid.T) { m.check(t, table) },
		})
	})
}

// sweep calls Table.Sweep once, compares the removed entries with the model, and removes them there too.
func sweep(t *rapid.T, table *Table, m *tableModel) {
	limit := rapid.IntRange(1, 10).Draw(t, "most")
	removed, done := table.Sweep(limit)
	if len(removed) > limit {
		t.Fatalf("Sweep removed %d entries, limit %d", len(removed), limit)
	}
	for _, e := range removed {
		if m.replaced == nil || m.replaced[e.Host] || e != m.entries[e.Host] {
			t.Fatalf("Sweep removed %+v outside a replacement, or although it was put since BeginReplacement", e)
		}
		m.drop(e.Host)
	}
	if !done {
		return
	}
	for host := range m.entries {
		if m.replaced != nil && !m.replaced[host] {
			t.Fatalf("Sweep is done but left host %q, which the complete list does not contain", host)
		}
	}
	m.replaced = nil
}

// heapGrowth calls make and returns its result and the resulting growth of the heap in bytes.
func heapGrowth[T any](make func() T) (T, uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	made := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return made, after.HeapAlloc - before.HeapAlloc
}

// maxBytesPerEntry is the maximum memory of a table per entry, in bytes. It is the goal for 490,000 entries; the tests apply it
// to shorter lists.
const maxBytesPerEntry = 110

// Guards against a growth of the memory per entry.
func TestTableIsCompact(t *testing.T) {
	const entries = 50_000
	table, size := heapGrowth(func() *Table { return exampleTable(entries) })
	perEntry := float64(size) / entries
	t.Logf("%.1f bytes per entry at %d entries", perEntry, entries)
	if perEntry > maxBytesPerEntry {
		t.Errorf("%.1f bytes per entry, want at most %d", perEntry, maxBytesPerEntry)
	}
	runtime.KeepAlive(table)
}

// Guards against a memory leak: a table whose hosts are all replaced many times must reuse the memory of removed entries.
func TestTableReusesMemory(t *testing.T) {
	const entries, rounds = 5_000, 20
	table := exampleTable(entries)
	_, grown := heapGrowth(func() *Table {
		for round := 1; round <= rounds; round++ {
			for i := range entries {
				table.Delete(exampleEntry((round-1)*entries + i).Host)
				e := exampleEntry(round*entries + i)
				e.Block = i
				table.Put(e)
			}
		}
		return table
	})
	if grown := int64(grown); grown > entries*maxBytesPerEntry/4 {
		t.Errorf("heap grew by %d bytes, want at most a quarter of maxBytesPerEntry for each entry", grown)
	}
	if table.Len() != entries {
		t.Errorf("Len() = %d after the replacements, want 5000", table.Len())
	}
}

// Guards against a leak of attribute combinations that no entry uses any more.
func TestTableForgetsAttributes(t *testing.T) {
	table := NewTable()
	e := exampleEntry(1)
	for i := range 1000 {
		e.Site = fmt.Sprint("site-", i)
		table.Put(e)
	}
	if kept := len(table.attributes.values); kept > 2 {
		t.Errorf("%d attribute combinations stored for one entry, want at most 2", kept)
	}
	table.Delete(e.Host)
	if len(table.attributes.ids) != 0 {
		t.Errorf("%d attribute combinations in use for an empty table, want none", len(table.attributes.ids))
	}
}

func BenchmarkTableBytesPerEntry(b *testing.B) {
	const entries = 490_000
	for b.Loop() {
		table, size := heapGrowth(func() *Table { return exampleTable(entries) })
		b.ReportMetric(float64(size)/entries, "B/entry")
		runtime.KeepAlive(table)
	}
}

func BenchmarkTablePut(b *testing.B) {
	for _, entries := range []int{1_000, 490_000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			table := exampleTable(entries)
			changed := make([]Entry, 1024)
			for i := range changed {
				changed[i] = exampleEntry(i * 479 % entries)
			}
			b.ResetTimer()
			for i := range b.N {
				e := changed[i%len(changed)]
				e.Share = float64(i)
				table.Put(e)
			}
		})
	}
}
