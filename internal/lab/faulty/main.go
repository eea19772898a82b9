// Command faulty is the relay with a fault injected, for tests in the lab alone. It runs the unmodified relay behind
// a proxy to discovery and the endpoints, or with modified settings, so that the whole violates a rule. $LAB_FAULT
// names the fault. It is not part of any release.
package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"milletsail/internal/compat"
	"milletsail/internal/journal"
	"milletsail/internal/lab/relays"
	"milletsail/internal/relay"
	"milletsail/internal/relay/config"
)

// The names of the faults.
const (
	secondCopy   = "second-copy"   // each call is sent twice, concurrently
	lateEnd      = "late-end"      // notifications arrive a second late
	ignoredDrain = "ignored-drain" // the relay sees draining and deleted endpoints as serving
	ignoredWait  = "ignored-wait"  // the relay does not see the retry interval in refusals
	ignoredError = "ignored-error" // the relay sees an error after which a message may have run as a refusal
	lostEntry    = "lost-entry"    // each process starts with an empty state directory
	noSync       = "no-sync"       // a power loss also loses synced data
	// The following are versions that a rollout has to stop; they need not violate a rule.
	diesAtStart  = "dies-at-start"
	diesLate     = "dies-late"     // the process exits after 3 s
	neverHealthy = "never-healthy" // the process runs but accepts no clients
	slow         = "slow"          // answers are delayed by 400 ms
	oneClass     = "one-class"     // the last class has a deadline of 20 ms, so that its messages fail
	leak         = "leak"          // memory grows by 2 MB each 100 ms, up to 200 MB
	none         = "none"          // no fault; syncs are recorded, so that the relay can lose power
)

var faults = []string{secondCopy, lateEnd, ignoredDrain, ignoredWait, ignoredError, lostEntry, noSync, none, diesAtStart, diesLate, neverHealthy, slow, oneClass, leak}

// planted is the fault of a build, set by -ldflags "-X main.planted=..." so that each faulty version has its own
// checksum. If it is empty, LAB_FAULT counts.
var planted string

func main() {
	if slices.Contains(os.Args[1:], "-"+compat.VersionsFlag) {
		_ = json.NewEncoder(os.Stdout).Encode(relay.FormatVersions())
		return
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "faulty:", err)
		os.Exit(1)
	}
}

func run() error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	b := &proxy{fault: cmp.Or(planted, os.Getenv("LAB_FAULT")), proxied: map[string]string{}}
	if !slices.Contains(faults, b.fault) {
		return fmt.Errorf("LAB_FAULT: unknown fault %q, want one of %v", b.fault, faults)
	}
	switch b.fault {
	case diesAtStart:
		return errors.New("injected fault dies-at-start: exiting")
	case diesLate:
		time.AfterFunc(3*time.Second, func() { os.Exit(3) })
	case neverHealthy:
		time.Sleep(time.Minute)
		return nil
	case leak:
		go leakMemory()
	}
	state := os.Getenv("NODE_STATE")
	if b.fault == lostEntry {
		old, err := filepath.Glob(filepath.Join(state, "*"))
		if err != nil {
			return err
		}
		for _, path := range old {
			if err := os.RemoveAll(path); err != nil {
				return err
			}
		}
	}
	given, path := os.Getenv("NODE_CONFIG"), filepath.Join(os.Getenv("TMPDIR"), fmt.Sprintf("faulty-%d.json", os.Getpid()))
	if err := b.rewriteConfig(given, path); err != nil {
		return err
	}
	cfg, err := config.Read(path)
	if err != nil {
		return err
	}
	if b.fault == none || b.fault == noSync {
		// These relays lose power, so each start counts as a boot of the machine. For the other faults the boot id
		// stays, since a process that hands over runs on the same machine as its successor.
		cfg.Files, cfg.Boot = &syncRecorder{FS: journal.Disk, path: filepath.Join(os.Getenv("TMPDIR"), relays.SyncedFile), ignoreSyncs: b.fault == noSync}, fmt.Sprint(os.Getpid())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	passed := make(chan os.Signal)
	go func() {
		for s := range hup {
			if err := b.rewriteConfig(given, path); err != nil {
				fmt.Fprintln(os.Stderr, "faulty:", err)
				continue
			}
			passed <- s
		}
	}()
	return relay.Run(ctx, cfg, state, config.Reloads(ctx, path, passed))
}

// leakMemory allocates memory that is never freed, up to a bound.
func leakMemory() {
	var kept [][]byte
	for range 100 {
		chunk := make([]byte, 2<<20)
		for i := 0; i < len(chunk); i += 4096 {
			chunk[i] = 1
		}
		kept = append(kept, chunk)
		time.Sleep(100 * time.Millisecond)
	}
	runtime.KeepAlive(kept)
	select {}
}

// proxy intercepts the connections of the relay to discovery and the endpoints.
type proxy struct {
	fault string

	mu      sync.Mutex
	proxied map[string]string // proxy addresses by endpoint address
}

// rewriteConfig copies the configuration, with the addresses replaced by those of the proxy.
func (b *proxy) rewriteConfig(given, to string) error {
	text, err := os.ReadFile(given)
	if err != nil {
		return err
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	address, _ := c["discovery"].(string)
	if c["discovery"], err = b.proxyDiscovery(address); err != nil {
		return err
	}
	if known, ok := c["known"].(map[string]any); ok {
		if err := b.rewriteMembers(known); err != nil {
			return err
		}
	}
	if settings, ok := c["settings"].(map[string]any); ok && b.fault == oneClass {
		if classes, _ := settings["categories"].([]any); len(classes) > 0 {
			last, _ := classes[len(classes)-1].(map[string]any)
			last["deadline_s"], last["aim_s"] = 0.02, 0.01
		}
	}
	if text, err = json.Marshal(c); err != nil {
		return err
	}
	return os.WriteFile(to, text, 0o600)
}

// rewriteMembers applies the fault to a list of endpoints, or to changes of one.
func (b *proxy) rewriteMembers(list map[string]any) error {
	hosts, _ := list["hosts"].([]any)
	for _, entry := range hosts {
		h, _ := entry.(map[string]any)
		if b.fault == ignoredDrain {
			h["health"] = "SERVING"
		}
		if !slices.Contains([]string{secondCopy, ignoredWait, ignoredError, slow}, b.fault) {
			continue
		}
		dial, _ := h["dial"].(string)
		proxyAddr, err := b.proxyEndpoint(dial)
		if err != nil {
			return err
		}
		h["dial"] = proxyAddr
	}
	return nil
}

// proxyDiscovery starts a proxy for a discovery address and returns the proxy's address.
func (b *proxy) proxyDiscovery(address string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && b.fault == lateEnd {
				time.Sleep(time.Second)
			}
			if err := b.forward(w, r, address); err != nil && !errors.Is(err, context.Canceled) {
				fmt.Fprintln(os.Stderr, "faulty: discovery:", err)
			}
		}))
	}()
	return l.Addr().String(), nil
}

// forward sends a request on to the discovery at address, and returns the reply with the fault applied to its lists. A POST
// continues even if the relay gives it up.
func (b *proxy) forward(w http.ResponseWriter, r *http.Request, address string) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	ctx := r.Context()
	if r.Method == http.MethodPost {
		ctx = context.WithoutCancel(ctx)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return err
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		line := lines.Bytes()
		var list map[string]any
		if json.Unmarshal(line, &list) == nil {
			if err := b.rewriteMembers(list); err != nil {
				return err
			}
			if line, err = json.Marshal(list); err != nil {
				return err
			}
		}
		if _, err := w.Write(append(line, '\n')); err != nil {
			return err
		}
		w.(http.Flusher).Flush()
	}
	return lines.Err()
}

// proxyEndpoint starts a proxy for an endpoint, unless there is one, and returns the proxy's address.
func (b *proxy) proxyEndpoint(address string) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if proxyAddr, ok := b.proxied[address]; ok {
		return proxyAddr, nil
	}
	l, err := net.Listen("tcp", endpointProxyAddress(address))
	if err != nil { // during an upgrade, the old process still listens there
		l, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.forwardConn(c, address)
		}
	}()
	b.proxied[address] = l.Addr().String()
	return b.proxied[address], nil
}

// endpointProxyAddress is the proxy's address for an endpoint. It is the same after a restart, since the relay stores
// its list.
func endpointProxyAddress(address string) string {
	host, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	return net.JoinHostPort(host, strconv.Itoa(n+20000))
}

// forwardConn forwards a connection of the relay to an endpoint and applies the fault to the data.
func (b *proxy) forwardConn(c net.Conn, address string) {
	defer c.Close()
	up, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer up.Close()
	var out io.Writer = up
	if b.fault == secondCopy {
		if duplicate, err := net.Dial("tcp", address); err == nil {
			defer duplicate.Close()
			go func() { _, _ = io.Copy(io.Discard, duplicate) }()
			out = io.MultiWriter(duplicate, up)
		}
	}
	go func() {
		_, _ = io.Copy(out, c)
		_ = up.Close()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := up.Read(buf)
		text := buf[:n]
		switch b.fault {
		case slow:
			time.Sleep(400 * time.Millisecond)
		case ignoredWait:
			text = bytes.ReplaceAll(text, []byte("X-Retry-In-Ms"), []byte("X-Retry-On-Ms"))
		case ignoredError:
			text = bytes.ReplaceAll(text, []byte("HTTP/1.1 500"), []byte("HTTP/1.1 503"))
		}
		if _, failed := c.Write(text); err != nil || failed != nil {
			return
		}
	}
}
