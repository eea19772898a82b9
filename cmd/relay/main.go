// Command relay accepts messages from clients over HTTP, stores them in a journal, and delivers them to the endpoints of their
// destinations. Package policy decides when and where each message is sent.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"milletsail/internal/clock"
	"milletsail/internal/compat"
	"milletsail/internal/relay"
	"milletsail/internal/relay/config"
)

func main() {
	configPath := flag.String("config", os.Getenv("NODE_CONFIG"), "configuration `file` (default $NODE_CONFIG)")
	state := flag.String("state", os.Getenv("NODE_STATE"), "`folder` for the journal and other state, which has to survive the process (default $NODE_STATE)")
	show := flag.Bool(compat.VersionsFlag, false, "print the journal and gossip formats that this version reads and writes, and exit")
	debugLog := flag.Bool("debug", os.Getenv("NODE_LOG") == "debug", "log each received message and each rejected request (default true if $NODE_LOG is \"debug\")")
	flag.Parse()
	if *debugLog {
		slog.SetLogLoggerLevel(slog.LevelDebug)
	}
	if *show {
		if err := json.NewEncoder(os.Stdout).Encode(relay.FormatVersions()); err != nil {
			fmt.Fprintln(os.Stderr, "relay:", err)
			os.Exit(1)
		}
		return
	}
	started := clock.Now()
	if err := run(*configPath, *state); err != nil {
		fmt.Fprintln(os.Stderr, "relay:", err)
		os.Exit(1)
	}
	slog.Info("relay ended", "after", clock.Since(started))
}

func run(configPath, state string) error {
	signal.Ignore(syscall.SIGPIPE) // the reader of the log may go away, which must not end the process
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before all else: an unhandled SIGHUP ends the process
	if state == "" {
		return fmt.Errorf("no directory for the journal: set NODE_STATE or -state")
	}
	cfg, err := config.ReadAtStart(configPath)
	if err != nil {
		return err
	}
	slog.Info("relay started", "pid", os.Getpid(), "memory_mb", cfg.Limits.MemoryMB, "descriptors", cfg.Limits.Sockets,
		"disk_mb", cfg.Limits.DiskMB, "cores", cfg.Limits.Cores)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	cfg.SetSoftMemoryLimit = setSoftMemoryLimit
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Reloads does not get ctx: the configuration is reloaded on SIGHUP even during the shutdown, until the process ends.
	return relay.Run(ctx, cfg, state, config.Reloads(context.Background(), configPath, hup))
}

// releasedShare is the share of the soft memory limit that a new limit has to take away for memory to be returned at once.
const releasedShare = 0.2

// setSoftMemoryLimit sets the runtime's soft memory limit. When that shrinks by much, as in a handover, memory that is no longer used
// is returned at once, since another process needs it.
func setSoftMemoryLimit(bytes int64) {
	if previous := float64(debug.SetMemoryLimit(bytes)); float64(bytes) < (1-releasedShare)*previous {
		debug.FreeOSMemory()
	}
}
