// Command milletsail is for operators and experimenters: it plays scenarios on the fleet lab, judges histories,
// compares versions of the relay, and looks after relays' folders. The relay itself is cmd/relay.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
)

// The exit statuses.
const (
	kept   = 0
	broken = 1 // a rule is broken
	usage  = 2 // bad usage, or what was asked for can't be done
	void   = 3 // the lab was late, or the history has no end: nothing is shown
)

// exit is an error that has said all it has to say, but for the status.
type exit int

func (e exit) Error() string { return fmt.Sprintf("exit status %d", int(e)) }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root().ExecuteContext(ctx)
	status := new(exit)
	switch {
	case err == nil:
	case errors.As(err, status):
		stop()
		os.Exit(int(*status))
	default:
		fmt.Fprintln(os.Stderr, "milletsail:", err)
		stop()
		os.Exit(usage)
	}
}

func root() *cobra.Command {
	var format, level string
	c := &cobra.Command{Use: "milletsail", Short: "Play, judge and compare fleets of relays",
		SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(c *cobra.Command, _ []string) error { return logTo(c, format, level) }}
	c.PersistentFlags().StringVar(&format, "log-format", "text", "form of the log on standard error: text or json")
	c.PersistentFlags().StringVar(&level, "log-level", "warn", "least level of the log: debug, info, warn or error")
	c.AddCommand(labCommand(), scaleCommand(), demoCommand(), fleetCommand(), zoneCommand(), rolloutCommand(), agentCommand(), journalCommand(), versionCommand())
	return c
}

// logTo sets the log up.
func logTo(c *cobra.Command, format, level string) error {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		return fmt.Errorf("--log-level: %q is not debug, info, warn or error", level)
	}
	options := &slog.HandlerOptions{Level: least}
	switch format {
	case "text":
		slog.SetDefault(slog.New(slog.NewTextHandler(c.ErrOrStderr(), options)))
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(c.ErrOrStderr(), options)))
	default:
		return fmt.Errorf("--log-format: %q is not text or json", format)
	}
	return nil
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print what this program was built from", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			revision := programRevision()
			if revision == "" {
				return errors.New("built without information about its version")
			}
			fmt.Fprintf(c.OutOrStdout(), "milletsail %s, %s\n", revision, runtime.Version())
			return nil
		}}
}

// programRevision is what this program was built from; empty where that is not known.
func programRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	revision, changed := info.Main.Version, ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = ", changed since"
		}
	}
	return revision + changed
}
