package scale

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"milletsail/internal/procfs"
)

// The room that a run is taken to need, from trials, with a reserve. What it uses is watched as well.
const (
	testBedMB          = 200   // of the test bed itself
	relayMB            = 60    // of a real relay with a short list
	hollowMB           = 2.0   // of a hollow relay
	entryMB            = 0.006 // of an entry of the list, at the relay and the stand-in together
	heldMB             = 0.004 // of a message that is held
	testBedDescriptors = 2*listeners + maxInFlight + maxHeldInFlight
	fleetDescriptors   = 8 // of a relay, at the stand-ins
	hollowDescriptors  = 4 // of a process of hollow relays, at the test bed
)

// requirements is what a run is taken to requirements.
type requirements struct {
	memoryMB    float64
	descriptors int
	processes   int
}

func (p *Plan) need() (n requirements) {
	last := p.Points[len(p.Points)-1]
	if p.Sweep == SweepRelays {
		real := min(p.Fleet.Real, last)
		hollow := last - real
		n.memoryMB = testBedMB + relayMB*float64(real) + hollowMB*float64(hollow)
		n.processes = real + hollowProcesses(hollow)
		n.descriptors = fleetDescriptors*last + hollowDescriptors*n.processes
		return n
	}
	s := p.sizeAt(last)
	n.memoryMB = testBedMB + relayMB + entryMB*float64(s.destinations) + heldMB*float64(s.held)
	n.processes, n.descriptors = 1, testBedDescriptors
	return n
}

// checkRoom tells why a plan can't be run on this machine.
func (p *Plan) checkRoom() error {
	n := p.need()
	allowed := p.allowedMB()
	if n.memoryMB > allowed {
		return fmt.Errorf("the plan needs about %.0f MB of memory, and may use %.0f MB on this machine", n.memoryMB, allowed)
	}
	if available := availableMB(); available > 0 && n.memoryMB > available {
		return fmt.Errorf("the plan needs about %.0f MB of memory, and %.0f MB are free", n.memoryMB, available)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("limit of open files: %w", err)
	}
	if uint64(n.descriptors) > limit.Cur {
		return fmt.Errorf("the plan needs about %d open files, and the limit is %d", n.descriptors, limit.Cur)
	}
	if n.processes > p.Bounds.Processes {
		return fmt.Errorf("the plan needs %d processes, and may have %d", n.processes, p.Bounds.Processes)
	}
	return nil
}

// allowedMB is the memory that the run may use.
func (p *Plan) allowedMB() float64 { return p.Bounds.MemoryShare.Part() * describeMachine().MemoryMB }

// availableMB is the memory that processes may still take on this machine; 0 where that is not known.
func availableMB() float64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "MemAvailable:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}

// errMemory says that a point was ended since it used too much memory.
var errMemory = errors.New("relays and test bed together use more memory than the plan allows")

// usedMB is the memory of this process and of others.
func usedMB(pids []int) float64 {
	used, _ := procfs.ResidentMB(os.Getpid())
	for _, pid := range pids {
		resident, _ := procfs.ResidentMB(pid) // 0 for one that has ended
		used += resident
	}
	return used
}

// children lists the processes that a process has started and that have not ended.
func children(parent int) (pids []int) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", parent))
	if err != nil {
		return nil
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		for _, word := range strings.Fields(string(text)) {
			if pid, err := strconv.Atoi(word); err == nil {
				pids = append(pids, pid)
			}
		}
	}
	return pids
}
