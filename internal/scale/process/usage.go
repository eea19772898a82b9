package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"milletsail/internal/procfs"
)

// UsageOf reads the resource usage of a process from the proc file system, without its live heap and state directory.
func UsageOf(pid int) (usage Usage, err error) {
	usage.At = time.Now()
	if usage.CPU, err = cpuTime(pid); err != nil {
		return usage, err
	}
	if usage.ResidentMB, err = procfs.ResidentMB(pid); err != nil {
		return usage, err
	}
	const kilobytesOfMB = 1024
	usage.ProportionalMB = accountField(pid, "smaps_rollup", "Pss:") / kilobytesOfMB
	usage.StorageBytes = int64(accountField(pid, "io", "write_bytes:"))
	usage.WrittenBytes = int64(accountField(pid, "io", "wchar:"))
	usage.WriteCalls = int64(accountField(pid, "io", "syscw:"))
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	usage.Descriptors = len(descriptors)
	return usage, err
}

// cpuTime reads the CPU-time clock of a process, which has a resolution of nanoseconds; /proc/PID/stat counts in
// hundredths of a second.
func cpuTime(pid int) (time.Duration, error) {
	// The clock id is built like MAKE_PROCESS_CPUCLOCK of the kernel's linux/posix-timers.h, with CPUCLOCK_SCHED.
	const scheduled = 2
	clock := int32(^uint32(pid)<<3 | scheduled)
	var now unix.Timespec
	if err := unix.ClockGettime(clock, &now); err != nil {
		return 0, fmt.Errorf("read the CPU-time clock of process %d: %w", pid, err)
	}
	return time.Duration(now.Nano()), nil
}

// accountField reads a number from a file under /proc/PID; it returns 0 if the file or the field is missing.
func accountField(pid int, file, name string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			value, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return value
		}
	}
	return 0
}
