package endpoints

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"testing"
)

// newCompactedStore returns a store on disk whose list has been compacted to a snapshot, and its table.
func newCompactedStore(b *testing.B, dir string, entries int) (*Store, *Table) {
	b.Helper()
	s, table, _, _, err := Open(dir, testBudget)
	if err != nil {
		b.Fatal(err)
	}
	for i := range entries {
		e := exampleEntry(i)
		table.Put(e)
		s.Append([]Entry{e}, nil)
	}
	if err := s.Commit(1); err != nil {
		b.Fatal(err)
	}
	s.startCompaction()
	for s.compaction != nil {
		s.CompactStep(table)
	}
	return s, table
}

// BenchmarkChange measures the change of one entry: Table.Put, Store.Append, Store.Commit and Store.CompactStep.
func BenchmarkChange(b *testing.B) {
	for _, entries := range []int{1_000, 490_000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			s, table := newCompactedStore(b, b.TempDir(), entries)
			b.Cleanup(func() { _ = s.Close() })
			b.ResetTimer()
			for i := range b.N {
				e := exampleEntry(i * 479 % entries)
				e.BornMS = int64(i)
				table.Put(e)
				s.Append([]Entry{e}, nil)
				if err := s.Commit(int64(i + 2)); err != nil {
					b.Fatal(err)
				}
				s.CompactStep(table)
			}
		})
	}
}

// BenchmarkCompactStep measures one step of the compaction of a list of 490,000 entries.
func BenchmarkCompactStep(b *testing.B) {
	s, table := newCompactedStore(b, b.TempDir(), 490_000)
	b.Cleanup(func() { _ = s.Close() })
	b.ResetTimer()
	for range b.N {
		if s.compaction == nil {
			s.startCompaction()
		}
		s.CompactStep(table)
	}
}

func BenchmarkOpen(b *testing.B) {
	const entries = 490_000
	dir := b.TempDir()
	s, _ := newCompactedStore(b, dir, entries)
	b.ReportMetric(float64(s.Bytes())/entries, "disk-B/entry")
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		_, table, _, _, err := Open(dir, testBudget)
		if err != nil || table.Len() != entries {
			b.Fatal("entries and error after Open:", table.Len(), err)
		}
	}
}

func BenchmarkReader(b *testing.B) {
	const entries = 490_000
	text, _ := json.Marshal(object{Seq: 1, Complete: true, Hosts: exampleEntries(entries)})
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if got, err := NewReader(bytes.NewReader(text)).count(); !errors.Is(err, io.EOF) || got != entries {
			b.Fatal("entries read and error:", got, err)
		}
	}
}

// count reads all batches and returns the number of entries, with the error that ended the stream.
func (r *Reader) count() (entries int, err error) {
	for {
		batch, err := r.Next()
		if err != nil {
			return entries, err
		}
		entries += len(batch.Entries)
	}
}
