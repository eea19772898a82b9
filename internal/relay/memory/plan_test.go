package memory

import (
	"math"
	"testing"
)

// testedLimits are the memory limits of the operators' pages, with their halves, and the size of the state directory there.
var testedLimits = []float64{16, 24, 32, 40, 48, 64, 96, 128, 192, 256}

const testedDiskMB = 3

// Guards against shares that add up to more than the limit: with every holder at its limit, the processes of a relay, alone and
// twice in a handover, and the files of its state directory have to stay under the memory limit.
func TestSharesStayUnderLimit(t *testing.T) {
	for _, memoryMB := range testedLimits {
		limits := Limits{MemoryMB: memoryMB, DiskMB: testedDiskMB}
		alone, paired := Alone(limits), InHandover(limits)
		if used := alone.Process() + startingProcess + int64(limits.folder()); used > int64(limits.memory()) {
			t.Errorf("%v MB, one process and the start of another: %d bytes", memoryMB, used)
		}
		if used := 2*paired.Process() + int64(limits.folder()); used > int64(limits.memory()) {
			t.Errorf("%v MB, two processes: %d bytes", memoryMB, used)
		}
		for _, plan := range []Plan{alone, paired} {
			if plan.Live() > plan.SoftLimit {
				t.Errorf("%v MB: %d bytes in use exceed the runtime's soft limit of %d", memoryMB, plan.Live(), plan.SoftLimit)
			}
		}
	}
}

// Guards against the same with the largest endpoint list that is read, at the limits of scored days.
func TestSharesStayUnderLimitWithLongestList(t *testing.T) {
	for _, memoryMB := range testedLimits {
		limits := Limits{MemoryMB: memoryMB, DiskMB: testedDiskMB}
		if limits.ListBytes = limits.MaxListBytes(); memoryMB < 32 {
			continue
		}
		if used := Alone(limits).Process() + startingProcess + int64(limits.folder()); used > int64(limits.memory()) {
			t.Errorf("%v MB, one process and the start of another: %d bytes", memoryMB, used)
		}
		if used := 2*InHandover(limits).Process() + int64(limits.folder()); used > int64(limits.memory()) {
			t.Errorf("%v MB, two processes: %d bytes", memoryMB, used)
		}
	}
}

// Guards against shares that do not divide the whole budget.
func TestSharesAddUp(t *testing.T) {
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	if math.Abs(sum-1) > 1e-9 {
		t.Errorf("the shares add up to %v, want 1", sum)
	}
}

// Guards against memory that a pool gives out beyond its size, or does not take back.
func TestPool(t *testing.T) {
	var p Pool
	if p.TryAcquire(1) {
		t.Error("a pool without size gave memory")
	}
	p.Resize(10)
	if !p.TryAcquire(6) || p.TryAcquire(5) || !p.TryAcquire(4) {
		t.Error("a pool of 10 did not give exactly 10")
	}
	p.Acquire(5)
	p.Release(10)
	if p.Used() != 5 || p.TryAcquire(6) || !p.TryAcquire(5) {
		t.Errorf("after more was taken and 10 given back: %d in use", p.Used())
	}
}
