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

// incarnationFile is the name of the file in a relay's state directory that holds the incarnation of its last process.
const incarnationFile = "incarnation"

// NextIncarnation returns the incarnation of a starting process and stores it in dir, the relay's state directory. It is the
// wall time in seconds since 1970, or one more than the stored incarnation if that is higher, so that incarnations increase even
// if the wall clock is set back. Without a readable stored incarnation, it is the wall time.
func NextIncarnation(dir string) uint32 {
	path := filepath.Join(dir, incarnationFile)
	next := uint32(clock.ReadWall().Seconds())
	if text, err := os.ReadFile(path); err == nil {
		if last, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 32); err == nil {
			next = max(next, uint32(last)+1)
		}
	}
	if err := atomicfile.Replace(path, []byte(strconv.FormatUint(uint64(next), 10)+"\n")); err != nil {
		// If the wall clock is set back before the next start, other relays will ignore the facts of the next process as old.
		slog.Warn("incarnation not stored", "incarnation", next, "error", err)
	}
	return next
}
