package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"milletsail/internal/rollout"
)

// shownChecksumDigits is the number of digits of a version's checksum that are printed.
const shownChecksumDigits = 12

// rolloutTool holds the flags that the commands on a rollout share.
type rolloutTool struct {
	state string // directory of the rollout's records
}

func rolloutCommand() *cobra.Command {
	tool := new(rolloutTool)
	command := &cobra.Command{Use: "rollout", Short: "Roll a version of the relay out to a fleet in stages, and back"}
	command.PersistentFlags().StringVar(&tool.state, "state", "rollout", "`folder` of the rollout's records")
	command.AddCommand(tool.startCommand(), tool.continueCommand(), tool.statusCommand(), canariesCommand())
	command.AddCommand(
		tool.orderCommand(rollout.OrderPause, "Pause a rollout: update no further relay until it is resumed"),
		tool.orderCommand(rollout.OrderAbort, "Stop a rollout for good: relays keep the versions that they have"),
		tool.orderCommand(rollout.OrderRollback, "Restore the old version on all updated relays, the last updated first"),
		tool.orderCommand(rollout.OrderResume, "Resume a paused rollout, optionally with a changed plan"),
	)
	return command
}

func (t *rolloutTool) startCommand() *cobra.Command {
	return &cobra.Command{Use: "start PLAN", Short: "Start a rollout and carry it out", Args: cobra.ExactArgs(1),
		Long: "Start a rollout by a plan, and carry it out until it is done, paused, stopped or rolled back. The exit status is 1 if it is\n" +
			"paused or stopped. If this command ends before, `milletsail rollout continue` resumes the rollout or rolls it back, as on_death\n" +
			"of the plan says.",
		RunE: func(command *cobra.Command, args []string) error {
			plan, err := rollout.ReadPlan(args[0])
			if err != nil {
				return err
			}
			controller, err := rollout.Start(command.Context(), t.state, plan)
			if err != nil {
				return err
			}
			return runController(command, controller)
		}}
}

func (t *rolloutTool) continueCommand() *cobra.Command {
	var force bool
	resume := &cobra.Command{Use: "continue", Short: "Take over a rollout whose controller has ended", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			controller, err := rollout.Open(t.state, force)
			if err != nil {
				return err
			}
			return runController(command, controller)
		}}
	resume.Flags().BoolVar(&force, "force", false, "take over even if another controller holds the lease; agents then reject that controller")
	return resume
}

func (t *rolloutTool) statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show the state of a rollout", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			state, err := rollout.ReadState(t.state)
			if err != nil {
				return err
			}
			if state.Plan == nil {
				return fmt.Errorf("there is no rollout in %s", t.state)
			}
			return showRollout(command.OutOrStdout(), state)
		}}
}

// orderCommand returns the command for an order, which submits it to the running controller or carries it out if there is none.
func (t *rolloutTool) orderCommand(action, short string) *cobra.Command {
	var planFile string
	command := &cobra.Command{Use: action, Short: short, Args: cobra.NoArgs,
		Long: short + ".\nThe running controller carries out the order; if there is none, this command takes the rollout over.",
		RunE: func(command *cobra.Command, _ []string) error {
			order := rollout.Order{Action: action}
			if planFile != "" {
				plan, err := rollout.ReadPlan(planFile)
				if err != nil {
					return err
				}
				order.Plan = plan
			}
			return t.carryOut(command, order)
		}}
	if action == rollout.OrderResume {
		command.Flags().StringVar(&planFile, "plan", "", "`file` with a changed plan")
	}
	return command
}

// carryOut submits an order to the running controller. If there is none, it takes the rollout over and carries the order out itself.
func (t *rolloutTool) carryOut(command *cobra.Command, order rollout.Order) error {
	controller, err := rollout.Open(t.state, false)
	if errors.Is(err, rollout.ErrLeaseHeld) {
		if err := rollout.SubmitOrder(t.state, order); err != nil {
			return err
		}
		command.Println("order submitted to the running controller")
		return nil
	}
	if err != nil {
		return err
	}
	if err := controller.HandleOrder(order); err != nil {
		return errors.Join(err, controller.Close())
	}
	return runController(command, controller)
}

// runController carries out a rollout until it ends or a signal arrives, and then prints its state. It returns errProblemFound if
// the rollout is paused or stopped.
func runController(command *cobra.Command, controller *rollout.Controller) error {
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := controller.Run(ctx)
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	shown := showRollout(command.OutOrStdout(), controller.State())
	if err := errors.Join(err, shown, controller.Close()); err != nil {
		return err
	}
	if phase := controller.State().Phase; phase == rollout.Stopped || phase == rollout.Paused {
		return errProblemFound
	}
	return nil
}

// showRollout prints the state of a rollout.
func showRollout(out io.Writer, state rollout.State) error {
	reason := ""
	if state.Reason != "" {
		reason = ": " + state.Reason
	}
	rows := newTable(out, 0)
	rows.printf("%s%s\n", state.Phase, reason)
	rows.printf("version\t%.*s\n", shownChecksumDigits, state.NewVersion)
	rows.printf("stage\t%d of %d\n", min(state.Stage+1, len(state.Plan.Stages)), len(state.Plan.Stages))
	rows.printf("relays\t%d of %d updated, %d being updated\n", len(state.Updated), len(state.Plan.Agents), len(state.Updating))
	for relay, failure := range state.Failed {
		rows.printf("relay %d\t%s\n", relay, failure)
	}
	return rows.flush()
}
