// Command milletsail is for operators and experimenters: it runs scenarios on the fleet lab, checks histories, compares
// versions of the relay, rolls versions out, and inspects relays' state directories. The relay itself is cmd/relay.
//
// Errors are printed on standard error as "milletsail: ERROR". The exit status is 0 for success, 1 where what was asked for
// was done and found something wrong, 2 for an error, and 3 where a lab run is invalid or was cut off.
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

// The exit statuses of the program.
const (
	statusFailed  = 1 // a rule is broken, a directory is damaged, a relay rejects an order or does not answer
	statusUnable  = 2 // bad usage, or what was asked for can't be done
	statusInvalid = 3 // the lab was late, or the history has no end: the run shows nothing
)

// statusError ends the program with an exit status. Whatever there is to say has been printed by then.
type statusError struct{ status int }

func (e *statusError) Error() string { return fmt.Sprintf("exit status %d", e.status) }

var (
	errFailed  = &statusError{statusFailed}
	errInvalid = &statusError{statusInvalid}
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	exit := new(statusError)
	switch {
	case err == nil:
	case errors.As(err, &exit):
		os.Exit(exit.status)
	default:
		fmt.Fprintln(os.Stderr, "milletsail:", err)
		os.Exit(statusUnable)
	}
}

func rootCommand() *cobra.Command {
	var format, level string
	root := &cobra.Command{
		Use:           "milletsail",
		Short:         "Play, judge and compare fleets of relays",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(command *cobra.Command, _ []string) error {
			return configureLog(command, format, level)
		},
	}
	root.SetOut(os.Stdout)
	root.PersistentFlags().StringVar(&format, "log-format", "text", "form of the log on standard error: text or json")
	root.PersistentFlags().StringVar(&level, "log-level", "warn", "least level of the log: debug, info, warn or error")
	root.AddCommand(labCommand(), scaleCommand(), demoCommand(), fleetCommand(), zoneCommand(), rolloutCommand(), agentCommand(),
		journalCommand(), versionCommand())
	return root
}

// configureLog makes the log of the given format and level the default one.
func configureLog(command *cobra.Command, format, level string) error {
	var minimum slog.Level
	if err := minimum.UnmarshalText([]byte(level)); err != nil {
		return fmt.Errorf("--log-level: %q is not debug, info, warn or error", level)
	}
	options := &slog.HandlerOptions{Level: minimum}
	switch format {
	case "text":
		slog.SetDefault(slog.New(slog.NewTextHandler(command.ErrOrStderr(), options)))
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(command.ErrOrStderr(), options)))
	default:
		return fmt.Errorf("--log-format: %q is not text or json", format)
	}
	return nil
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print what this program was built from", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			revision := programRevision()
			if revision == "" {
				return errors.New("built without information about its version")
			}
			command.Printf("milletsail %s, %s\n", revision, runtime.Version())
			return nil
		}}
}

// programRevision is the revision that this program was built from; empty where that is not known.
func programRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	revision, modified := info.Main.Version, ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = ", changed since"
		}
	}
	return revision + modified
}
