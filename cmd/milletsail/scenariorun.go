package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"milletsail/internal/lab"
	"milletsail/internal/lab/checker"
	"milletsail/internal/lab/history"
	"milletsail/internal/lab/report"
	"milletsail/internal/lab/scenario"
	"milletsail/internal/rollout"
)

const (
	// maxShownViolations is the maximum number of violations of a run, and of remarks on a result of a campaign, that are printed.
	maxShownViolations = 10
	// rolloutStart is the time from the start of a run to the start of a rollout during it.
	rolloutStart = 2 * time.Second
	// rolloutCheckInterval is the sampling interval of the canary analysis of a rollout during a run.
	rolloutCheckInterval = 250 * time.Millisecond
	// maxBakeFactor is the ratio of the maximum to the minimum bake time of a stage: too little traffic extends the stage up to it.
	maxBakeFactor = 20
)

// scenarioRun holds the flags of one run of a scenario.
type scenarioRun struct {
	relay, report, history, logs string
	environment                  []string
	seed                         uint64
	quiet                        bool
	rollout                      string // path of a version to roll out during the run; empty for none
	bake                         time.Duration
	rollback                     bool
}

// run runs a scenario, prints the report, and returns the exit status as an error.
func (r *scenarioRun) run(command *cobra.Command, s *scenario.Scenario) error {
	if r.seed != 0 {
		s.Seed = r.seed
	}
	relay, err := findRelay(command.Context(), r.relay)
	if err != nil {
		return err
	}
	defer relay.remove()
	options := lab.Options{Binary: relay.path, Env: r.environment, History: r.history, Logs: r.logs, KeepLogs: true}
	if !r.quiet {
		options.Progress = progressPrinter(command, s)
	}
	var rolled lab.RolloutResult
	if r.rollout != "" {
		options.DuringRun = lab.RunRollout(r.rollout, r.rolloutPlan(), rolloutStart, r.rollback, &rolled)
	}
	result, err := lab.Run(command.Context(), s, options)
	if err != nil {
		return err
	}
	if r.rollout != "" {
		if err := showRolledOut(command, &rolled); err != nil {
			return err
		}
	}
	if result.Logs != "" {
		command.Printf("logs of the relays in %s\n", result.Logs)
	}
	return r.showResult(command, result.Events, result.Verdict)
}

// rolloutPlan returns the plan of a rollout during a run.
func (r *scenarioRun) rolloutPlan() rollout.Plan {
	plan := rollout.DefaultPlan()
	plan.BakeTime = rollout.Duration(r.bake)
	plan.MaxBakeTime = rollout.Duration(maxBakeFactor * r.bake)
	plan.Gate.Interval = rollout.Duration(rolloutCheckInterval)
	return plan
}

// showRolledOut prints the result of a rollout during a run.
func showRolledOut(command *cobra.Command, rolled *lab.RolloutResult) error {
	command.Printf("rollout: ended in stage %d after %.1f s with at most %d relays updated at once; rollback took %.1f s (0 if none)\n",
		rolled.State.Stage+1, rolled.Duration.Seconds(), rolled.MaxUpdated, rolled.RollbackDuration.Seconds())
	if rolled.State.Plan == nil {
		return nil
	}
	return showRollout(command.OutOrStdout(), rolled.State)
}

// progressPrinter returns a function that prints the time in the run and the active faults on standard error. On a terminal each
// line overwrites the previous one.
func progressPrinter(command *cobra.Command, s *scenario.Scenario) func(time.Duration) {
	prefix, suffix := "", "\n"
	if isTerminal(command.ErrOrStderr()) {
		prefix, suffix = "\r\x1b[K", ""
	}
	return func(at time.Duration) {
		var active []string
		for _, fault := range s.Faults {
			if at >= fault.At.AsDuration() && at < fault.At.AsDuration()+max(fault.Duration.AsDuration(), time.Second) {
				active = append(active, fault.Kind)
			}
		}
		command.PrintErrf("%s%3.0f s of %v  %s%s", prefix, at.Seconds(), s.Length.AsDuration(), strings.Join(active, ", "), suffix)
	}
}

func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// showResult prints the report of a run and the broken rules, writes the report's files if --report is set, and returns the exit
// status as an error.
func (r *scenarioRun) showResult(command *cobra.Command, events []history.Event, outcome checker.Verdict) error {
	metrics := report.Compute(events, outcome)
	if !r.quiet {
		command.PrintErrln()
	}
	if err := metrics.Text(command.OutOrStdout()); err != nil {
		return err
	}
	showViolations(command, events, outcome)
	if r.report != "" {
		if err := metrics.Write(r.report); err != nil {
			return err
		}
		command.Printf("report in %s\n", filepath.Join(r.report, "index.html"))
	}
	return resultStatus(outcome)
}

// showViolations prints the broken rules, each with the events of the history that show it.
func showViolations(command *cobra.Command, events []history.Event, outcome checker.Verdict) {
	eventsByLine := map[int]*history.Event{}
	for i := range events {
		eventsByLine[events[i].Line] = &events[i]
	}
	for i, violation := range outcome.Violations {
		if i == maxShownViolations {
			command.Printf("and %d more\n", len(outcome.Violations)-i)
			return
		}
		command.Printf("BROKEN %s: relay %d, message %q: %s\n", violation.Rule, violation.Relay, violation.ID, violation.Text)
		for _, line := range violation.Lines {
			if event := eventsByLine[line]; event != nil {
				command.Printf("  %d: %s\n", line, event.JSON())
			}
		}
	}
}

// resultStatus returns the exit status for the result of a check as an error.
func resultStatus(outcome checker.Verdict) error {
	switch {
	case len(outcome.Violations) > 0:
		return errProblemFound
	case outcome.InvalidReason != "" || outcome.Truncated:
		return errInvalidRun
	}
	return nil
}
