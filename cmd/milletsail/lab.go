package main

import (
	"bufio"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"milletsail/internal/lab"
	"milletsail/scenarios"
)

// defaultBake is the default of --roll-bake, the minimum bake time of each stage of a rollout during a run.
const defaultBake = 3 * time.Second

func labCommand() *cobra.Command {
	command := &cobra.Command{Use: "lab", Short: "Run scenarios: real relay processes on a simulated platform"}
	command.AddCommand(runCommand(), checkCommand(), compareCommand(), campaignCommand(), listCommand())
	return command
}

func runCommand() *cobra.Command {
	var run scenarioRun
	command := &cobra.Command{Use: "run SCENARIO", Short: "Run a scenario (a file, or the name of one that comes with the program)",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			scenario, err := findScenario(args[0])
			if err != nil {
				return err
			}
			return run.run(command, scenario)
		}}
	run.addFlags(command)
	return command
}

func demoCommand() *cobra.Command {
	var run scenarioRun
	command := &cobra.Command{Use: "demo", Short: "Run relays, endpoints and clients for 20 s, with two faults, and print the result",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			scenario, err := findScenario("demo")
			if err != nil {
				return err
			}
			return run.run(command, scenario)
		}}
	run.addFlags(command)
	return command
}

func (r *scenarioRun) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&r.relay, "relay", "",
		"the relay's `binary` (default: the file relay next to this program, or else built from the source in the working directory)")
	flags.StringVar(&r.report, "report", "", "`folder` for figures.json, service.svg and index.html")
	flags.StringVar(&r.history, "history", "", "`file` for the history of the run")
	flags.StringVar(&r.logs, "logs", "", "`folder` for the relays' logs")
	flags.StringArrayVar(&r.environment, "relay-env", nil, "`NAME=VALUE` for the relays' environment; may be repeated")
	flags.Uint64Var(&r.seed, "seed", 0, "seed that replaces the scenario's; 0 keeps it")
	flags.BoolVar(&r.quiet, "quiet", false, "print no progress")
	flags.StringVar(&r.rollout, "roll", "", "`binary` to roll out to the relays during the run, in stages of one relay, 5%, 25% and all")
	flags.DurationVar(&r.bake, "roll-bake", defaultBake, "minimum bake time of each stage of the rollout")
	flags.BoolVar(&r.rollback, "roll-back", false, "roll the version back at the end, whatever the result")
}

func checkCommand() *cobra.Command {
	run := scenarioRun{quiet: true}
	command := &cobra.Command{Use: "check FILE", Short: "Check a history against the rules, and print the report", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			events, outcome, err := lab.Check(bufio.NewReader(file))
			_ = file.Close() // the file is only read
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return run.showResult(command, events, outcome)
		}}
	command.Flags().StringVar(&run.report, "report", "", "`folder` for figures.json, service.svg and index.html")
	return command
}

func listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the scenarios that come with the program", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			for _, name := range scenarios.Names() {
				scenario, err := findScenario(name)
				if err != nil {
					return err
				}
				command.Printf("%-12s %s\n", name, scenario.Title)
			}
			return nil
		}}
}
