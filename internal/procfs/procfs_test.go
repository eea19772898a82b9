package procfs

import (
	"os"
	"testing"
)

// ResidentMB must return the memory of a running process, and an error for a process that does not exist.
func TestResidentMB(t *testing.T) {
	if resident, err := ResidentMB(os.Getpid()); err != nil || resident <= 0 {
		t.Errorf("own process: got %v MB, error %v, want more than 0 MB", resident, err)
	}
	if resident, err := ResidentMB(-1); err == nil {
		t.Errorf("process -1, which does not exist: got %v MB, want an error", resident)
	}
}
