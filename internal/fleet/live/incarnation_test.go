package live

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"
)

// Each process must get a higher incarnation than the one before with the same state directory, even if the wall clock was set
// back: otherwise other relays would ignore its facts. A file that can't be parsed is ignored.
func TestNextIncarnation(t *testing.T) {
	dir := t.TempDir()
	first := NextIncarnation(dir)
	if second := NextIncarnation(dir); second <= first {
		t.Errorf("got incarnation %d after %d, want a higher one", second, first)
	}
	ahead := first + 3600
	path := filepath.Join(dir, incarnationFile)
	if err := os.WriteFile(path, []byte(strconv.FormatUint(uint64(ahead), 10)), 0o600); err != nil {
		t.Fatal(err)
	}
	if next := NextIncarnation(dir); next != ahead+1 {
		t.Errorf("got incarnation %d after %d, want the next higher one", next, ahead)
	}
	if err := os.WriteFile(path, []byte("nonsense"), 0o600); err != nil {
		t.Fatal(err)
	}
	if next := NextIncarnation(dir); next < first {
		t.Errorf("got incarnation %d with an unparsable file, want at least the first one, %d", next, first)
	}
}
