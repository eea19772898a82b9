package procfs

import (
	"os"
	"testing"
)

// A running process has resident memory; one that does not exist is an error.
func TestResidentMB(t *testing.T) {
	if resident, err := ResidentMB(os.Getpid()); err != nil || resident <= 0 {
		t.Errorf("own process: %v MB, %v", resident, err)
	}
	if resident, err := ResidentMB(-1); err == nil {
		t.Errorf("no process: %v MB", resident)
	}
}
