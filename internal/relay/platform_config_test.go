package relay

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// testSettings returns settings with one class of each idempotency. The parameter memory is the time in seconds for which
// endpoints remember the keys of the class "payment", bundle the maximum number of messages in a call.
func testSettings(memory float64, bundle int, discovery string) string {
	return fmt.Sprintf(`{"az":0,"categories":[
	 {"name":"status","aim_s":2,"deadline_s":30,"idempotency":"retryable","group":"all","points":1},
	 {"name":"payment","aim_s":2,"deadline_s":30,"idempotency":"dedup","group":"all","memory_span_s":%v,"points":2},
	 {"name":"order","aim_s":2,"deadline_s":30,"idempotency":"fragile","group":"all","points":1}],
	 "discovery":%q,"limits":{"cancel":true,"conn_idle_s":10,"connect_timeout_s":1,"max_attempts":12,
	 "max_open":50,"max_retry_after_s":3,"retry_after":true},"localities":["a"],"n_instances":1,"quantum_s":0.002,
	 "rules":{"cold_share":0.2,"overload_factor":2.5,"overload_for_s":1.5,"ramp_time_s":10},"shapes":["m2"],
	 "specifics":{"bundle_max":[%v],"loses_worth":"linear","max_calls":8,"separate_routes":[false]},
	 "tenants":[{"name":"acme"}],"weights":"nominal"}`, memory, discovery, bundle)
}

// writeConfig writes the relay's configuration to a new file and returns its path.
func (p *platform) writeConfig() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := Members{Seq: 40, Whole: true, Hosts: p.hosts}
	if p.omitEndpoints {
		list.Hosts = nil
	}
	known, err := json.Marshal(list)
	if err != nil {
		p.t.Fatal(err)
	}
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"admin":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
	 "limits":{"cores":1,"memory_mb":192,"sockets":%d,"disk_mb":%d},"known":%s,"settings":%s}`,
		p.addr, p.admin, strings.TrimPrefix(p.discovery.URL, "http://"), p.sockets, p.diskMB, known,
		testSettings(p.idempotencyWindow, p.maxBatch, p.discoveryMode))
	path := filepath.Join(p.t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return path
}
