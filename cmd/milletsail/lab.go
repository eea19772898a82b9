package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
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
	"milletsail/scenarios"
)

// relayPackage is what the relay is built from, where no binary of it is there.
const relayPackage = "milletsail/cmd/relay"

func labCommand() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "Play scenarios: real relay processes against stand-ins of the platform"}
	c.AddCommand(runCommand(), checkCommand(), compareCommand(), campaignCommand(), listCommand())
	return c
}

// play is the flags of one run.
type play struct {
	relay, report, history, logs string
	env                          []string
	seed                         uint64
	quiet                        bool
	roll                         string // a version to roll out beside the play
	bake                         time.Duration
	back                         bool
}

func (p *play) flags(c *cobra.Command) {
	c.Flags().StringVar(&p.relay, "relay", "", "the relay's `binary` (default the file relay beside this program, else built from the source here)")
	c.Flags().StringVar(&p.report, "report", "", "`folder` for figures.json, service.svg and index.html")
	c.Flags().StringVar(&p.history, "history", "", "`file` for the history")
	c.Flags().StringVar(&p.logs, "logs", "", "`folder` for the relays' logs")
	c.Flags().StringArrayVar(&p.env, "relay-env", nil, "`NAME=VALUE` for the relays' environment; may be given more than once")
	c.Flags().Uint64Var(&p.seed, "seed", 0, "seed in place of the scenario's; 0 for that one")
	c.Flags().BoolVar(&p.quiet, "quiet", false, "no progress")
	c.Flags().StringVar(&p.roll, "roll", "", "`binary` to roll out over the relays beside the play, in stages of 1, 5%, 25% and all")
	c.Flags().DurationVar(&p.bake, "roll-bake", 3*time.Second, "how long each stage runs at least")
	c.Flags().BoolVar(&p.back, "roll-back", false, "take the version back at the end, whatever it is")
}

func runCommand() *cobra.Command {
	var p play
	c := &cobra.Command{Use: "run SCENARIO", Short: "Play a scenario (a file, or the name of one that comes with the program)", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := find(args[0])
			if err != nil {
				return err
			}
			return p.run(c, s)
		}}
	p.flags(c)
	return c
}

func demoCommand() *cobra.Command {
	var p play
	c := &cobra.Command{Use: "demo", Short: "See relays, endpoints and clients at work for 20 s, with two faults, and the verdict", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := find("demo")
			if err != nil {
				return err
			}
			return p.run(c, s)
		}}
	p.flags(c)
	return c
}

func listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the scenarios that come with the program", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, name := range scenarios.Names() {
				s, err := find(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%-12s %s\n", name, s.Title)
			}
			return nil
		}}
}

// textOf gives a text: a file's, else one that comes with the program.
func textOf(name string, embedded func(string) ([]byte, error)) ([]byte, error) {
	if info, err := os.Stat(name); err == nil && info.Mode().IsRegular() {
		return os.ReadFile(name)
	}
	return embedded(name)
}

// figuresOf plays a scenario with a relay and gives the figures.
func figuresOf(ctx context.Context, s *scenario.Scenario, relay string) (*report.Figures, error) {
	r, err := lab.Play(ctx, s, lab.Options{Binary: relay})
	if err != nil {
		return nil, err
	}
	return report.Of(r.Events, r.Verdict), nil
}

// find gives a scenario: a file, else one that comes with the program.
func find(name string) (*scenario.Scenario, error) {
	if info, err := os.Stat(name); err == nil && info.Mode().IsRegular() {
		return scenario.LoadFile(name)
	}
	text, err := scenarios.Get(name)
	if err != nil {
		return nil, fmt.Errorf("there is no file %s, and no scenario of that name: they are %s", name, strings.Join(scenarios.Names(), ", "))
	}
	return scenario.Parse(name+".toml", text)
}

// namedBinary gives the absolute path of a binary that a flag names: relays are started in folders of their own.
func namedBinary(flag, named string) (string, error) {
	if _, err := os.Stat(named); err != nil {
		return "", fmt.Errorf("%s: %w", flag, err)
	}
	return filepath.Abs(named)
}

// binary finds the relay, or builds it into a folder that done removes.
func binary(ctx context.Context, named string) (path string, done func(), err error) {
	done = func() {}
	if named != "" {
		path, err = namedBinary("--relay", named)
		return path, done, err
	}
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), "relay")
		if _, err := os.Stat(beside); err == nil {
			return beside, done, nil
		}
	}
	dir, err := os.MkdirTemp("", "milletsail-relay-")
	if err != nil {
		return "", done, err
	}
	done = func() { _ = os.RemoveAll(dir) }
	path = filepath.Join(dir, "relay")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", path, relayPackage).CombinedOutput(); err != nil {
		return "", done, fmt.Errorf("no file relay beside this program, and it can't be built here: %w: %s", err, strings.TrimSpace(string(out)))
	}
	return path, done, nil
}

// run plays a scenario, reports, and gives the verdict as the exit status.
func (p *play) run(c *cobra.Command, s *scenario.Scenario) error {
	if p.seed != 0 {
		s.Seed = p.seed
	}
	path, done, err := binary(c.Context(), p.relay)
	defer done()
	if err != nil {
		return err
	}
	o := lab.Options{Binary: path, Env: p.env, History: p.history, Logs: p.logs}
	if !p.quiet {
		o.Progress = progress(c.ErrOrStderr(), s)
	}
	var rolled lab.Rolled
	if p.roll != "" {
		plan := rollout.DefaultPlan()
		plan.BakeTime, plan.MaxBakeTime, plan.Gate.Interval = rollout.Duration(p.bake), rollout.Duration(20*p.bake), rollout.Duration(250*time.Millisecond)
		o.Beside = lab.Roll(p.roll, plan, 2*time.Second, p.back, &rolled)
	}
	result, err := lab.Play(c.Context(), s, o)
	if err != nil {
		return err
	}
	if p.roll != "" {
		fmt.Fprintf(c.OutOrStdout(), "rollout: ended in stage %d after %.1f s with %d relays changed; taken back in %.1f s\n", rolled.State.Stage+1,
			rolled.Took.Seconds(), rolled.Most, rolled.Back.Seconds())
		if rolled.State.Plan != nil {
			showRollout(c.OutOrStdout(), rolled.State)
		}
	}
	return p.tell(c, result.Events, result.Verdict)
}

// progress writes a line a second, over the one before on a terminal.
func progress(to io.Writer, s *scenario.Scenario) func(time.Duration) {
	end, terminal := "\n", false
	if f, ok := to.(*os.File); ok {
		if info, err := f.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
			end, terminal = "", true
		}
	}
	return func(at time.Duration) {
		var now []string
		for _, f := range s.Faults {
			if at >= f.At.AsDuration() && at < f.At.AsDuration()+max(f.For.AsDuration(), time.Second) {
				now = append(now, f.Kind)
			}
		}
		if terminal {
			fmt.Fprint(to, "\r\x1b[K")
		}
		fmt.Fprintf(to, "%3.0f s of %v  %s%s", at.Seconds(), s.Length.AsDuration(), strings.Join(now, ", "), end)
	}
}

// tell writes the report and the broken rules.
func (p *play) tell(c *cobra.Command, events []history.Event, v checker.Verdict) error {
	out := c.OutOrStdout()
	f := report.Of(events, v)
	if !p.quiet {
		fmt.Fprintln(c.ErrOrStderr())
	}
	if err := f.Text(out); err != nil {
		return err
	}
	violations(out, events, v)
	if p.report != "" {
		if err := f.Write(p.report); err != nil {
			return err
		}
		fmt.Fprintf(out, "report in %s\n", filepath.Join(p.report, "index.html"))
	}
	return status(v)
}

// mostShown broken rules are shown in full.
const mostShown = 10

// violations prints broken rules with their lines of the history.
func violations(out io.Writer, events []history.Event, v checker.Verdict) {
	lines := map[int]*history.Event{}
	for i := range events {
		lines[events[i].Line] = &events[i]
	}
	for i, x := range v.Violations {
		if i == mostShown {
			fmt.Fprintf(out, "and %d more\n", len(v.Violations)-i)
			return
		}
		fmt.Fprintf(out, "BROKEN %s: relay %d, message %q: %s\n", x.Rule, x.Relay, x.ID, x.Text)
		for _, n := range x.Lines {
			if e := lines[n]; e != nil {
				fmt.Fprintf(out, "  %d: %s\n", n, e.JSON())
			}
		}
	}
}

// status is the exit status of a verdict.
func status(v checker.Verdict) error {
	switch {
	case len(v.Violations) > 0:
		return exit(broken)
	case v.Void != "" || v.Cut:
		return exit(void)
	}
	return nil
}

func checkCommand() *cobra.Command {
	p := play{quiet: true}
	c := &cobra.Command{Use: "check FILE", Short: "Judge a history", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer file.Close()
			events, v, err := lab.Check(bufio.NewReader(file))
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return p.tell(c, events, v)
		}}
	c.Flags().StringVar(&p.report, "report", "", "`folder` for figures.json, service.svg and index.html")
	return c
}
