// Command standin-2 plays the cases of the second review: it starts the relay by the command of the deploy file, and stands in
// for its clients, endpoints and platform. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"time"
)

// bench is what a case has at hand.
type bench struct {
	rec       *record
	platform  *platform
	endpoints *endpoints
	clients   *clients
	relay     *relay
	trouble   bool // whether the disruption takes place
	root      string
}

var cases = map[string]func(*bench) []string{}

func main() {
	log.SetFlags(0)
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		log.Print("usage: standin-2 CASE ROOT FOLDER, with TROUBLE=0 for a run without the disruption")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, folder string) (status int) {
	defer func() {
		if r := recover(); r != nil {
			log.Print(r)
			status = 2
		}
	}()
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	temporary, err := os.MkdirTemp("", "review-2-")
	check(err)
	rec := &record{file: file, start: time.Now()}
	b := &bench{rec: rec, trouble: os.Getenv("TROUBLE") != "0", root: root}
	b.platform = newPlatform(rec)
	b.endpoints = &endpoints{rec: rec}
	b.relay = &relay{rec: rec, root: root, dir: temporary, listen: freeAddr()}
	b.clients = newClients(rec, b.relay.listen)
	b.relay.config = map[string]any{"name": "n1", "listen": b.relay.listen, "discovery": b.platform.addr, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 384, "disk_mb": 3}, "settings": settings()}
	defer func() {
		b.relay.endAll()
		if os.Getenv("KEEP") != "" {
			log.Print("kept: ", temporary)
		} else {
			_ = os.RemoveAll(temporary)
		}
		_ = file.Close()
	}()
	broken := cases[name](b)
	for _, text := range broken {
		rec.add("BROKEN: %s", text)
	}
	if len(broken) > 0 {
		log.Printf("%s: rule broken %d times, first: %s", name, len(broken), broken[0])
		return 1
	}
	log.Printf("%s: rule held", name)
	return 0
}

// known makes the list of the platform the relay's last known list.
func (b *bench) known() { b.relay.config["known"] = b.platform.whole() }

// limits changes limits of the deployment.
func (b *bench) limits(key string, value any) { b.relay.config["limits"].(map[string]any)[key] = value }

// inherit makes the platform hold the clients' listening socket.
func (b *bench) inherit() {
	l, err := net.Listen("tcp", b.relay.listen)
	check(err)
	b.relay.socket, err = l.(*net.TCPListener).File()
	check(err)
	_ = l.Close()
}

// settings are those of the example of the simulator's page, with one relay.
func settings() map[string]any {
	class := func(name, effect string, deadline, late, window, points float64) map[string]any {
		return map[string]any{"aim_s": 3.0, "deadline_s": deadline, "group": "all", "idempotency": effect, "late_share": late,
			"memory_span_s": window, "name": name, "points": points, "stream": false}
	}
	return map[string]any{
		"az":            0,
		"blend":         map[string]any{"whole": 0.45, "worst_class": 0.3, "worst_tenant": 0.0, "worst_window": 0.25},
		"categories":    []any{class("cobro", "dedup", 28, 0.3, 15, 1), class("resultado", "retryable", 24, 0.4, 5, 3)},
		"client_habits": map[string]any{"marks_retry": true},
		"discovery":     "automatic", "family": "deliver", "layer": 0, "layers": []any{"destinos-externos"},
		"limits": map[string]any{"cancel": true, "conn_idle_s": 10.0, "connect_timeout_s": 1.5, "cpu_us_per_request": 0.0,
			"cpu_us_per_s": 520000, "max_attempts": 8, "max_open": 293, "max_retry_after_s": 3.0, "max_streams": 1, "peers": true,
			"probing": false, "retry_after": true, "second_copies": false},
		"localities": []any{"lima-miraflores"}, "n_instances": 1, "ordinal": 0, "over_share_worth": 0.1, "quantum_s": 0.005,
		"report": map[string]any{"columns": []any{}, "via": "off"},
		"rules": map[string]any{"answer_slack_s": 0.02, "ask_within_s": 10.0, "cold_share": 0.29, "drain_grace_s": 2.0,
			"overload_factor": 1.5, "overload_for_s": 3.0, "ramp_time_s": 12.0},
		"shapes": []any{"grosskunde", "kleinkunde"},
		"specifics": map[string]any{"bundle_max": []any{10, 1}, "loses_worth": "linear", "max_calls": 27,
			"notes": "full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free", "refusal_cost": 0.03,
			"route_fee": []any{0.0}, "separate_routes": []any{false, false}},
		"tariffs": map[string]any{"connection": 0.0, "handshake": 0.06, "late_fail": 0.03, "peer": 0.01, "waste": 0.05},
		"tenants": []any{}, "weights": "rough", "worth_by": "request",
	}
}

// newID returns a fresh id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
