// Command milletsail is for operators and developers: it runs scenarios on the fleet lab, checks histories, compares versions
// of the relay, rolls versions out, and inspects relays' state directories. The relay itself is cmd/relay.
//
// Errors are printed on standard error as "milletsail: ERROR". The exit status is 0 for success, 1 if the command was carried
// out and found a problem, 2 for an error, and 3 if a lab run is invalid or was interrupted.
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

// Exit statuses of the program other than 0.
const (
	exitProblem    = 1 // a rule is broken, a directory is damaged, or a relay rejects an order or does not answer
	exitError      = 2 // wrong usage, or the command can't be carried out
	exitInvalidRun = 3 // the lab was too late or the history is incomplete, so that the run proves nothing
)

// exitStatusError ends the program with an exit status. The command has printed its messages already.
type exitStatusError struct{ status int }

func (e *exitStatusError) Error() string { return fmt.Sprintf("exit status %d", e.status) }

// Errors that commands return for their exit status.
var (
	errProblemFound = &exitStatusError{exitProblem}
	errInvalidRun   = &exitStatusError{exitInvalidRun}
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	exit := new(exitStatusError)
	switch {
	case err == nil:
	case errors.As(err, &exit):
		os.Exit(exit.status)
	default:
		fmt.Fprintln(os.Stderr, "milletsail:", err)
		os.Exit(exitError)
	}
}

func rootCommand() *cobra.Command {
	var format, level string
	root := &cobra.Command{
		Use:           "milletsail",
		Short:         "Run, check, compare and operate fleets of relays",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(command *cobra.Command, _ []string) error {
			return configureLog(command, format, level)
		},
	}
	root.SetOut(os.Stdout)
	root.PersistentFlags().StringVar(&format, "log-format", "text", "format of the log on standard error: text or json")
	root.PersistentFlags().StringVar(&level, "log-level", "warn", "minimum level of the log: debug, info, warn or error")
	root.AddCommand(labCommand(), scaleCommand(), demoCommand(), fleetCommand(), zoneCommand(), rolloutCommand(), agentCommand(),
		journalCommand(), versionCommand())
	return root
}

// configureLog sets the default logger to one with the given format and minimum level, which writes to standard error.
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
	return &cobra.Command{Use: "version", Short: "Print the revision and the Go version that this program was built from", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			revision := programRevision()
			if revision == "" {
				return errors.New("this program was built without version information")
			}
			command.Printf("milletsail %s, %s\n", revision, runtime.Version())
			return nil
		}}
}

// programRevision returns the revision that this program was built from, or "" if it is unknown.
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
			modified = ", modified"
		}
	}
	return revision + modified
}
