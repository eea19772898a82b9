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

// Estimates of the resources that a run needs, taken from trial runs, with a reserve. The memory that is in use is
// also checked during the run. Memory is in MB.
const (
	testBedMB          = 200   // memory of the test bed's own process
	relayMB            = 60    // memory of a relay process with few destinations
	hollowMB           = 2.0   // memory of one simulated (hollow) relay
	entryMB            = 0.006 // memory of a list entry, in the relay and the discovery stand-in together
	heldMB             = 0.004 // memory of a message that the relay can't deliver
	testBedDescriptors = 2*listeners + maxInFlight + maxHeldInFlight
	fleetDescriptors   = 8 // open files of the stand-ins for each relay of a fleet
	hollowDescriptors  = 4 // open files of the test bed for each process of a fleet: a real relay or a group of hollow ones
)

// requirements is an estimate of the resources that a run needs.
type requirements struct {
	memoryMB    float64
	descriptors int
	processes   int
}

func (p *Plan) estimate() (n requirements) {
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

// checkRoom returns an error if the estimated requirements of the largest point exceed the plan's bounds or the
// resources of this machine.
func (p *Plan) checkRoom() error {
	n := p.estimate()
	allowed := p.allowedMB()
	if n.memoryMB > allowed {
		return fmt.Errorf("the plan needs about %.0f MB of memory; bounds.memory_share allows %.0f MB on this machine", n.memoryMB, allowed)
	}
	if available := availableMB(); available > 0 && n.memoryMB > available {
		return fmt.Errorf("the plan needs about %.0f MB of memory, but only %.0f MB are available", n.memoryMB, available)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("read the limit of open files: %w", err)
	}
	if uint64(n.descriptors) > limit.Cur {
		return fmt.Errorf("the plan needs about %d open files, but the process limit is %d", n.descriptors, limit.Cur)
	}
	if n.processes > p.Bounds.Processes {
		return fmt.Errorf("the plan needs %d processes, but bounds.processes allows %d", n.processes, p.Bounds.Processes)
	}
	return nil
}

// allowedMB is the memory in MB that the run may use: the plan's share of the machine's memory.
func (p *Plan) allowedMB() float64 { return p.Bounds.MemoryShare.Part() * describeMachine().MemoryMB }

// availableMB returns the available memory of this machine in MB, or 0 if it can't be read.
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

// errMemory is the cause for which a point is stopped that uses more memory than its plan allows.
var errMemory = errors.New("relays and test bed together use more memory than bounds.memory_share allows")

// usedMB returns the resident memory in MB of this process and of the given ones.
func usedMB(pids []int) float64 {
	used, _ := procfs.ResidentMB(os.Getpid())
	for _, pid := range pids {
		resident, _ := procfs.ResidentMB(pid) // 0 for a process that has exited
		used += resident
	}
	return used
}

// children returns the ids of the running child processes of a process.
func children(parent int) (pids []int) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", parent))
	if err != nil {
		return nil
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has exited since it was listed
		}
		for _, word := range strings.Fields(string(text)) {
			if pid, err := strconv.Atoi(word); err == nil {
				pids = append(pids, pid)
			}
		}
	}
	return pids
}
