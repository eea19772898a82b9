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

// maxPlannedHosts is the number of endpoints on the longest list that operators plan for.
const maxPlannedHosts = 490_000

// memoryOf returns a figure of a process's memory in 10^6 bytes: VmRSS is the resident memory, VmHWM its highest value so far.
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

// BenchmarkLongListStart measures the start of a process with a list of maxPlannedHosts endpoints, first from its configuration
// and then from disk: the time until it serves, its resident memory at that point and the highest value up to then.
func BenchmarkLongListStart(b *testing.B) {
	for range b.N {
		p := newPlatform(b)
		p.diskMB, p.admin, p.hosts = 1000, closedAddress(b), fillerHosts(maxPlannedHosts)
		p.serveWatch = func(a *watchResponse) { a.keepAlive() }
		for _, from := range []string{"configuration", "disk"} {
			start := time.Now()
			c := p.start()
			b.ReportMetric(time.Since(start).Seconds(), from+"-s")
			if n := p.memberCount(); n != maxPlannedHosts {
				b.Fatalf("relay has %d endpoints on its list, want all", n)
			}
			b.ReportMetric(memoryOf(b, c, "VmRSS"), from+"-MB")
			b.ReportMetric(memoryOf(b, c, "VmHWM"), from+"-most-MB")
			p.kill(c)
		}
		b.ReportMetric(float64(directorySize(b, p.stateDir))/1e6, "folder-MB")
	}
}

// BenchmarkLongListInTheLoop measures how long a list of maxPlannedHosts endpoints keeps the event loop busy, in total and at
// most without interruption: with a complete list of which all entries are new, the same list again, a change of one endpoint,
// and a complete list that removes most endpoints. The compaction of the store is included.
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
			var longest, total time.Duration
			timed := func(work func()) {
				start := time.Now()
				work()
				elapsed := time.Since(start)
				total += elapsed
				longest = max(longest, elapsed)
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
				b.Fatal("not all batches of the list were applied")
			}
			for l.endpoints.compacting {
				timed(func() { l.step(b.Context()) })
			}
			b.ReportMetric(longest.Seconds()*1e3, step.name+"-longest-ms")
			b.ReportMetric(total.Seconds()*1e3, step.name+"-all-ms")
		}
	}
}
