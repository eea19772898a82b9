package relay

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"milletsail/internal/relay/discovery"
)

// maxPlannedHosts is the number of hosts that operators plan for.
const maxPlannedHosts = 490_000

// memoryOf gives a figure of a process's memory in 10^6 bytes: VmRSS, what is resident, or VmHWM, the most that was.
func memoryOf(b *testing.B, c *child, figure string) (mb float64) {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		var kb float64
		if _, err := fmt.Sscanf(line, figure+": %f kB", &kb); err == nil {
			mb = kb * 1024 / 1e6
		}
	}
	return mb
}

// BenchmarkLongListStart is the start of a process with a list of full size in its configuration, and of the next one,
// which has it on disk: the time until it serves, the memory then, and the most until then.
func BenchmarkLongListStart(b *testing.B) {
	for range b.N {
		p := newPlatform(b)
		p.diskMB, p.admin, p.hosts = 1000, closedAddress(b), fillerHosts(maxPlannedHosts)
		p.serveWatch = func(a *watchResponse) { a.keepAlive() }
		for _, from := range []string{"configuration", "disk"} {
			begun := time.Now()
			c := p.start()
			b.ReportMetric(time.Since(begun).Seconds(), from+"-s")
			if n := p.memberCount(); n != maxPlannedHosts {
				b.Fatalf("%d hosts are listed", n)
			}
			b.ReportMetric(memoryOf(b, c, "VmRSS"), from+"-MB")
			b.ReportMetric(memoryOf(b, c, "VmHWM"), from+"-most-MB")
			p.kill(c)
		}
		b.ReportMetric(float64(directorySize(b, p.stateDir))/1e6, "folder-MB")
	}
}

// BenchmarkLongListInTheLoop is how long the loop is busy at once with a list of full size: with a batch of a whole list
// that brings all of it, that changes nothing and that removes most, with a change of one host, and with the store's own
// work.
func BenchmarkLongListInTheLoop(b *testing.B) {
	for range b.N {
		l := newListLoop(b, b.TempDir(), 1000)
		hosts := fillerHosts(maxPlannedHosts)
		seq := int64(50)
		for _, step := range []struct {
			name  string
			whole bool
			hosts []Member
		}{{"fresh", true, hosts}, {"same", true, hosts}, {"change", false, []Member{{Host: "new", Block: 7}}}, {"few", true,
			hosts[:1000]}} {
			seq++
			text, err := json.Marshal(Members{Seq: seq, Whole: step.whole, Hosts: step.hosts})
			if err != nil {
				b.Fatal(err)
			}
			var longest, all time.Duration
			timed := func(work func()) {
				begun := time.Now()
				work()
				took := time.Since(begun)
				all += took
				longest = max(longest, took)
			}
			version := deliverObjects(b, text, func(batch discovery.Batch) {
				timed(func() {
					l.handleEvent(batchReceived{batch})
					l.step(b.Context())
				})
				for l.endpoints.sweeping != nil {
					timed(func() { l.step(b.Context()) })
				}
			})
			if version != seq {
				b.Fatal("the list was not applied")
			}
			for l.endpoints.compacting {
				timed(func() { l.step(b.Context()) })
			}
			b.ReportMetric(longest.Seconds()*1e3, step.name+"-longest-ms")
			b.ReportMetric(all.Seconds()*1e3, step.name+"-all-ms")
		}
	}
}
