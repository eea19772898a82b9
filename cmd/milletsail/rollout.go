package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"milletsail/internal/rollout"
)

func rolloutCommand() *cobra.Command {
	c := &cobra.Command{Use: "rollout", Short: "Bring a version of the program to a fleet in stages, and back"}
	var state string
	c.PersistentFlags().StringVar(&state, "state", "rollout", "`folder` of the rollout's records")
	var force bool
	work := func(c *cobra.Command, r *rollout.Controller) error {
		ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		err := r.Run(ctx)
		if errors.Is(err, context.Canceled) {
			err = nil
		}
		showRollout(c.OutOrStdout(), r.State())
		if err = errors.Join(err, r.Close()); err != nil {
			return err
		}
		if p := r.State().Phase; p == rollout.Stopped || p == rollout.Paused {
			return exit(broken)
		}
		return nil
	}
	start := &cobra.Command{Use: "start PLAN", Short: "Begin a rollout, and carry it out", Args: cobra.ExactArgs(1),
		Long: "Begin a rollout by a plan, and carry it out until it is done, paused, stopped or rolled back. Exit status 1 where it is paused or stopped.\n" +
			"Where this command ends before, `milletsail rollout continue` goes on, as the plan says.",
		RunE: func(c *cobra.Command, args []string) error {
			plan, err := rollout.ReadPlan(args[0])
			if err != nil {
				return err
			}
			r, err := rollout.Start(c.Context(), state, plan)
			if err != nil {
				return err
			}
			return work(c, r)
		}}
	goOn := &cobra.Command{Use: "continue", Short: "Take over a rollout whose controller has ended", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := rollout.Open(state, force)
			if err != nil {
				return err
			}
			return work(c, r)
		}}
	goOn.Flags().BoolVar(&force, "force", false, "though another controller seems to be at work: it is obeyed no more")
	status := &cobra.Command{Use: "status", Short: "Say how a rollout stands", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := rollout.ReadState(state)
			if err != nil {
				return err
			}
			if s.Plan == nil {
				return fmt.Errorf("there is no rollout in %s", state)
			}
			showRollout(c.OutOrStdout(), s)
			return nil
		}}
	c.AddCommand(start, goOn, status, serversCommand())
	for _, o := range []struct{ what, short string }{
		{rollout.OrderPause, "Have nothing further change, for now"},
		{rollout.OrderAbort, "Have nothing further change: the versions stay mixed"},
		{rollout.OrderRollback, "Take all changed relays back, the last one first"},
		{rollout.OrderResume, "Go on after a pause, also by a changed plan"},
	} {
		var changed string
		cmd := &cobra.Command{Use: o.what, Short: o.short, Args: cobra.NoArgs,
			Long: o.short + ".\nThe controller at work takes the order; where there is none, this command takes over.",
			RunE: func(c *cobra.Command, _ []string) error {
				order := rollout.Order{Action: o.what}
				if changed != "" {
					plan, err := rollout.ReadPlan(changed)
					if err != nil {
						return err
					}
					order.Plan = plan
				}
				r, err := rollout.Open(state, false)
				if errors.Is(err, rollout.ErrLeaseHeld) {
					if err = rollout.SubmitOrder(state, order); err == nil {
						fmt.Fprintln(c.OutOrStdout(), "left for the controller at work")
					}
					return err
				}
				if err != nil {
					return err
				}
				if err := r.HandleOrder(order); err != nil {
					return errors.Join(err, r.Close())
				}
				return work(c, r)
			}}
		if o.what == rollout.OrderResume {
			cmd.Flags().StringVar(&changed, "plan", "", "`file` with a changed plan")
		}
		c.AddCommand(cmd)
	}
	return c
}

// showRollout writes how a rollout stands.
func showRollout(to io.Writer, s rollout.State) {
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	why := ""
	if s.Reason != "" {
		why = ": " + s.Reason
	}
	fmt.Fprintf(w, "%s%s\n", s.Phase, why)
	fmt.Fprintf(w, "version\t%.12s\n", s.NewVersion)
	fmt.Fprintf(w, "stage\t%d of %d\n", min(s.Stage+1, len(s.Plan.Stages)), len(s.Plan.Stages))
	fmt.Fprintf(w, "relays\t%d of %d changed, %d in change\n", len(s.Updated), len(s.Plan.Agents), len(s.Updating))
	for relay, what := range s.Failed {
		fmt.Fprintf(w, "relay %d\t%s\n", relay, what)
	}
	_ = w.Flush()
}

func agentCommand() *cobra.Command {
	c := &cobra.Command{Use: "agent", Short: "Run the processes of one relay for rollouts"}
	c.AddCommand(&cobra.Command{Use: "run FILE", Short: "Run a relay, and change its program as a rollout's controller asks", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			config, err := rollout.ReadAgentConfig(args[0])
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			program, err := rollout.CurrentProgram(config.Dir, config.Program)
			if err != nil {
				return err
			}
			p, err := rollout.NewProcessRunner(ctx, *config, program)
			if err != nil {
				return fmt.Errorf("relay %d: %w", config.Relay, err)
			}
			defer p.Stop()
			s, err := rollout.NewServer(config.Relay, config.Dir, config.Program, p)
			if err != nil {
				return err
			}
			defer s.Close()
			address, err := s.Listen(config.Address)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "relay %d runs %s, its agent is at %s\n", config.Relay, filepath.Base(program), address)
			<-ctx.Done()
			return nil
		}})
	return c
}
