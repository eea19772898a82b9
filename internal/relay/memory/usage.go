// Package memory divides a relay's memory limit among all that holds memory on behalf of peers, and reports what is used.
package memory

import (
	"log/slog"
	"runtime"
	"runtime/metrics"
)

// The runtime's metrics that make up a Usage.
const (
	mappedMetric   = "/memory/classes/total:bytes"
	releasedMetric = "/memory/classes/heap/released:bytes"
	liveMetric     = "/gc/heap/live:bytes"
)

// minLoggedGrowth is the growth of the peak, as a factor, from which on it is logged again. It bounds the number of lines.
const minLoggedGrowth = 1.25

// Usage is the memory that the Go runtime has obtained and not returned, and the part that the last collection found in use.
type Usage struct {
	// Mapped is the memory in bytes that the runtime holds.
	Mapped int64
	// Live is the part of the heap, in bytes, that was in use at the end of the last collection.
	Live int64
}

// ReadUsage returns the current usage.
func ReadUsage() Usage {
	samples := []metrics.Sample{{Name: mappedMetric}, {Name: releasedMetric}, {Name: liveMetric}}
	metrics.Read(samples)
	value := func(i int) int64 {
		if samples[i].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return int64(samples[i].Value.Uint64())
	}
	return Usage{Mapped: value(0) - value(1), Live: value(2)}
}

// PeakLogger logs the usage whenever it has grown well beyond the largest one that was logged. It is not safe for concurrent use.
type PeakLogger struct{ logged int64 }

// Check reads the usage and logs it, with the given attributes, if it is a new peak.
func (l *PeakLogger) Check(attributes ...any) {
	usage := ReadUsage()
	if float64(usage.Mapped) < minLoggedGrowth*float64(l.logged) {
		return
	}
	l.logged = usage.Mapped
	slog.Info("memory peak", append([]any{"mapped_bytes", usage.Mapped, "live_bytes", usage.Live, "goroutines", runtime.NumGoroutine()},
		attributes...)...)
}
