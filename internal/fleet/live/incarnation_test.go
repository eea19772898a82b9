package live

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"
)

// Each process has a higher incarnation than the one before with the same state directory, even if the wall clock was set back.
// A file that can't be parsed is ignored.
func TestNextIncarnation(t *testing.T) {
	dir := t.TempDir()
	first := NextIncarnation(dir)
	if second := NextIncarnation(dir); second <= first {
		t.Errorf("%d comes after %d", second, first)
	}
	ahead := first + 3600
	path := filepath.Join(dir, incarnationFile)
	if err := os.WriteFile(path, []byte(strconv.FormatUint(uint64(ahead), 10)), 0o600); err != nil {
		t.Fatal(err)
	}
	if next := NextIncarnation(dir); next != ahead+1 {
		t.Errorf("%d comes after %d", next, ahead)
	}
	if err := os.WriteFile(path, []byte("nonsense"), 0o600); err != nil {
		t.Fatal(err)
	}
	if next := NextIncarnation(dir); next < first {
		t.Errorf("%d comes after an invalid file, after %d", next, first)
	}
}
