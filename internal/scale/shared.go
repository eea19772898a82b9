package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"milletsail/internal/lab/platform"
	"milletsail/internal/scale/hollow"
	"milletsail/internal/scale/process"
)

const (
	// hollowPerProcess is the number of hollow relays in one process.
	hollowPerProcess = 100
	// HollowCommand is the subcommand of "scale" that runs hollow relays.
	HollowCommand = "hollow"
	// hollowStartTimeout is the time within which all processes of hollow relays must have started their relays.
	hollowStartTimeout = 30 * time.Second
)

// hollowProcesses returns the number of processes for a number of hollow relays.
func hollowProcesses(count int) int { return (count + hollowPerProcess - 1) / hollowPerProcess }

// hollowGroup is the test bed's side of one process of hollow relays, which have count consecutive numbers from
// first.
type hollowGroup struct {
	first, count int
	process      *process.Process
	input        *os.File
}

// hollowFleet controls all hollow relays of a point, over their processes' standard input and output.
type hollowFleet struct {
	groups []*hollowGroup
	events chan hollow.Event
	done   sync.WaitGroup
	closed chan struct{}
}

// startHollow starts the hollow relays with the numbers first to size-1 and waits until all run.
func startHollow(ctx context.Context, self, dir string, first, size, zones int, seed uint64, subnet *platform.Subnet) (*hollowFleet, error) {
	f := &hollowFleet{events: make(chan hollow.Event, 1024), closed: make(chan struct{})}
	config := hollow.Config{Size: size, Zones: zones, All: subnet.PeersAll(), Seed: seed}
	for i := range size {
		config.Peers = append(config.Peers, subnet.Peer(i))
	}
	for at := first; at < size; at += hollowPerProcess {
		config.First, config.Listen = at, nil
		for i := at; i < min(size, at+hollowPerProcess); i++ {
			config.Listen = append(config.Listen, subnet.PeerListen(i))
		}
		if err := f.start(self, dir, config); err != nil {
			f.close()
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, hollowStartTimeout)
	defer cancel()
	for range f.groups {
		if _, err := f.await(ctx, hollow.Ready); err != nil {
			f.close()
			return nil, fmt.Errorf("start hollow relays: %w", err)
		}
	}
	return f, nil
}

// start starts one process of hollow relays and sends it its configuration.
func (f *hollowFleet) start(self, dir string, config hollow.Config) error {
	input, toProcess, err := os.Pipe()
	if err != nil {
		return err
	}
	defer input.Close()
	fromProcess, output, err := os.Pipe()
	if err != nil {
		return err
	}
	defer output.Close()
	p, err := process.Start(process.Options{Binary: self, Args: []string{"scale", HollowCommand}, Dir: dir, State: dir, Stdin: input, Stdout: output})
	if err != nil {
		return err
	}
	g := &hollowGroup{first: config.First, count: len(config.Listen), process: p, input: toProcess}
	f.groups = append(f.groups, g)
	f.done.Go(func() { f.readEvents(fromProcess) })
	return json.NewEncoder(toProcess).Encode(config)
}

// readEvents forwards the events of one process until its output ends or the fleet is closed.
func (f *hollowFleet) readEvents(from *os.File) {
	defer from.Close()
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		var e hollow.Event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		select {
		case f.events <- e:
		case <-f.closed:
			return
		}
	}
}

// close kills all processes and waits until they have exited.
func (f *hollowFleet) close() {
	close(f.closed)
	for _, g := range f.groups {
		_ = g.input.Close()
		g.process.End(syscall.SIGKILL, stopTimeout)
	}
	f.done.Wait()
}

// await returns the next event of a kind and discards events of other kinds.
func (f *hollowFleet) await(ctx context.Context, what string) (hollow.Event, error) {
	for {
		select {
		case e := <-f.events:
			if e.What == what {
				return e, nil
			}
		case <-ctx.Done():
			return hollow.Event{}, ctx.Err()
		}
	}
}

// broadcast sends a command to all processes.
func (f *hollowFleet) broadcast(c hollow.Command) error {
	line, err := json.Marshal(c)
	if err != nil {
		return err
	}
	for _, g := range f.groups {
		if _, err := g.input.Write(append(line, '\n')); err != nil {
			return fmt.Errorf("send command %q to hollow relays: %w", c.Do, err)
		}
	}
	return nil
}

// count returns the datagrams that all hollow relays have sent and received.
func (f *hollowFleet) count(ctx context.Context) (sum hollow.Traffic, err error) {
	if err := f.broadcast(hollow.Command{Do: hollow.Count}); err != nil {
		return sum, err
	}
	for range f.groups {
		e, err := f.await(ctx, hollow.Counted)
		if err != nil {
			return sum, err
		}
		sum.Sent, sum.SentBytes = sum.Sent+e.Sent, sum.SentBytes+e.SentBytes
		sum.Received, sum.ReceivedBytes = sum.Received+e.Received, sum.ReceivedBytes+e.ReceivedBytes
	}
	return sum, nil
}

// usage returns the CPU time and resident memory of all processes of hollow relays together.
func (f *hollowFleet) usage() (cpu time.Duration, residentMB float64, err error) {
	for _, g := range f.groups {
		usage, err := g.process.Usage()
		if err != nil {
			return 0, 0, err
		}
		cpu, residentMB = cpu+usage.CPU, residentMB+usage.ResidentMB
	}
	return cpu, residentMB, nil
}

// relays returns the number of hollow relays.
func (f *hollowFleet) relays() (count int) {
	for _, g := range f.groups {
		count += g.count
	}
	return count
}
