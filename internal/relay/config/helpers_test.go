package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"milletsail/internal/endpoints"
)

// testSettings are valid settings with one class of each idempotency: retryable, dedup and fragile.
const testSettings = `{"az":0,"categories":[
	 {"name":"status","aim_s":2,"deadline_s":30,"idempotency":"retryable","group":"all","points":1},
	 {"name":"payment","aim_s":2,"deadline_s":30,"idempotency":"dedup","group":"all","memory_span_s":15,"points":2},
	 {"name":"order","aim_s":2,"deadline_s":30,"idempotency":"fragile","group":"all","points":1}],
	 "discovery":"subscribe","limits":{"cancel":true,"conn_idle_s":10,"connect_timeout_s":1,"max_attempts":12,
	 "max_open":50,"max_retry_after_s":3,"retry_after":true},"localities":["a"],"n_instances":1,"quantum_s":0.002,
	 "rules":{"cold_share":0.2,"overload_factor":2.5,"overload_for_s":1.5,"ramp_time_s":10},"shapes":["m2"],
	 "specifics":{"bundle_max":[1],"loses_worth":"linear","max_calls":8,"separate_routes":[false]},
	 "tenants":[{"name":"acme"}],"weights":"nominal"}`

// endpointListJSON returns an endpoint list in JSON. Each entry has a destination of its own, numbered from 1000.
func endpointListJSON(t *testing.T, version int64, entries int) string {
	t.Helper()
	var hosts []endpoints.Entry
	for i := range entries {
		hosts = append(hosts, endpoints.Entry{Host: fmt.Sprintf("host-%06d", i), Dial: fmt.Sprintf("127.0.0.1:%d", 10_000+i),
			Site: "a", Class: "m2",
			Block: 1000 + i, Health: "SERVING", Share: 1})
	}
	text, err := json.Marshal(map[string]any{"seq": version, "whole": true, "hosts": hosts})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
