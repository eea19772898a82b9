// Package procfs reads the resource usage of processes from the proc file system.
package procfs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// kilobytesPerMegabyte converts from kilobytes, the unit of memory sizes in /proc/PID/status.
const kilobytesPerMegabyte = 1024

// ResidentMB returns the resident memory of a process in megabytes of 1024 kilobytes. It returns 0 for a zombie process (one that
// has exited but has not been waited for), whose status file has no VmRSS line.
func ResidentMB(pid int) (float64, error) {
	path := fmt.Sprintf("/proc/%d/status", pid)
	status, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		value, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 64)
		if err != nil {
			return 0, fmt.Errorf("%s: VmRSS: %w", path, err)
		}
		return kilobytes / kilobytesPerMegabyte, nil
	}
	return 0, nil
}
