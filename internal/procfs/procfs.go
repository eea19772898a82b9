// Package procfs reads what a process uses from the system's own accounts.
package procfs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ResidentMB is the memory that a process holds; 0 where the account does not say.
func ResidentMB(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024, nil
		}
	}
	return 0, nil
}
