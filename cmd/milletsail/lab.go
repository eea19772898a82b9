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

// defaultBake is how long each stage of a rollout beside a run lasts at least, where no time is given.
const defaultBake = 3 * time.Second

func labCommand() *cobra.Command {
	command := &cobra.Command{Use: "lab", Short: "Play scenarios: real relay processes against stand-ins of the platform"}
	command.AddCommand(runCommand(), checkCommand(), compareCommand(), campaignCommand(), listCommand())
	return command
}

func runCommand() *cobra.Command {
	var run scenarioRun
	command := &cobra.Command{Use: "run SCENARIO", Short: "Play a scenario (a file, or the name of one that comes with the program)", Args: cobra.ExactArgs(1),
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
	command := &cobra.Command{Use: "demo", Short: "See relays, endpoints and clients at work for 20 s, with two faults, and the verdict", Args: cobra.NoArgs,
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
	flags.StringVar(&r.relay, "relay", "", "the relay's `binary` (default the file relay beside this program, else built from the source here)")
	flags.StringVar(&r.report, "report", "", "`folder` for figures.json, service.svg and index.html")
	flags.StringVar(&r.history, "history", "", "`file` for the history")
	flags.StringVar(&r.logs, "logs", "", "`folder` for the relays' logs")
	flags.StringArrayVar(&r.environment, "relay-env", nil, "`NAME=VALUE` for the relays' environment; may be given more than once")
	flags.Uint64Var(&r.seed, "seed", 0, "seed in place of the scenario's; 0 for that one")
	flags.BoolVar(&r.quiet, "quiet", false, "no progress")
	flags.StringVar(&r.rollout, "roll", "", "`binary` to roll out over the relays beside the play, in stages of 1, 5%, 25% and all")
	flags.DurationVar(&r.bake, "roll-bake", defaultBake, "how long each stage runs at least")
	flags.BoolVar(&r.rollback, "roll-back", false, "take the version back at the end, whatever it is")
}

func checkCommand() *cobra.Command {
	run := scenarioRun{quiet: true}
	command := &cobra.Command{Use: "check FILE", Short: "Judge a history", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			events, outcome, err := lab.Check(bufio.NewReader(file))
			_ = file.Close() // nothing was written to it
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
