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

// incarnationFile is the file of the last incarnation in a relay's state directory.
const incarnationFile = "incarnation"

// NextIncarnation returns and stores the incarnation of a process that starts. It is higher than that of the process before
// with the same state directory, even if the wall clock was set back; if the directory was lost, it is the wall clock's time in
// seconds since 1970.
func NextIncarnation(dir string) uint32 {
	path := filepath.Join(dir, incarnationFile)
	next := uint32(clock.ReadWall().Seconds())
	if text, err := os.ReadFile(path); err == nil {
		if last, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 32); err == nil {
			next = max(next, uint32(last)+1)
		}
	}
	if err := atomicfile.Replace(path, []byte(strconv.FormatUint(uint64(next), 10)+"\n")); err != nil {
		// If the wall clock is set back before the next start, other relays take that process's facts for old ones.
		slog.Warn("incarnation not stored", "incarnation", next, "error", err)
	}
	return next
}
