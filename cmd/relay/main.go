// Command relay is a relay on sockets: it takes messages from clients, holds them in a journal, and
// delivers them to their destinations' hosts as package policy decides.
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

	"milletsail/internal/compat"
	"milletsail/internal/relay"
	"milletsail/internal/relay/config"
)

// heapShare of the memory limit is the runtime's soft limit: in a takeover two processes share the limit, and the
// journal's files count as memory too.
const heapShare = 0.4

func main() {
	configPath := flag.String("config", os.Getenv("NODE_CONFIG"), "configuration `file` (default $NODE_CONFIG)")
	state := flag.String("state", os.Getenv("NODE_STATE"), "`folder` that outlasts the process (default $NODE_STATE)")
	show := flag.Bool(compat.VersionsFlag, false, "print which formats of journals and of gossip between relays this version reads and writes, and exit")
	debugLog := flag.Bool("debug", os.Getenv("NODE_LOG") == "debug", "log each message that arrives, and each request that is rejected (default on where $NODE_LOG is \"debug\")")
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
	if err := run(*configPath, *state); err != nil {
		fmt.Fprintln(os.Stderr, "relay:", err)
		os.Exit(1)
	}
}

func run(configPath, state string) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first of all: unhandled it ends the process
	if state == "" {
		return fmt.Errorf("no folder for the journal: set NODE_STATE or -state")
	}
	cfg, err := config.ReadAtStart(configPath)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(heapShare * cfg.Limits.MemoryMB * (1 << 20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return relay.Run(ctx, cfg, state, config.Reloads(context.Background(), configPath, hup)) // to the end of the process
}
