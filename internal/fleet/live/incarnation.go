package live

import (
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"milletsail/internal/atomicfile"
	"milletsail/internal/clock"
)

// incarnationFile keeps the last incarnation in a relay's folder.
const incarnationFile = "incarnation"

// NextIncarnation gives the number of a process that starts: above that of the process before in the folder, whatever the
// wall clock says, and where the folder was lost by the wall clock, which other relays have seen pass.
func NextIncarnation(dir string) uint32 {
	path := filepath.Join(dir, incarnationFile)
	next := uint32(clock.ReadWall().Seconds())
	if text, err := os.ReadFile(path); err == nil {
		if last, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 32); err == nil {
			next = max(next, uint32(last)+1)
		}
	}
	if err := atomicfile.Replace(path, []byte(strconv.FormatUint(uint64(next), 10)+"\n")); err != nil {
		slog.Warn("incarnation not kept: after a step back of the wall clock others may not hear the next process", "err", err)
	}
	return next
}
