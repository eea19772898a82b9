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

// checksumDigits of a version's checksum are shown.
const checksumDigits = 12

// rolloutTool is what the commands on a rollout share.
type rolloutTool struct {
	state string // folder of the rollout's records
}

func rolloutCommand() *cobra.Command {
	tool := new(rolloutTool)
	command := &cobra.Command{Use: "rollout", Short: "Bring a version of the program to a fleet in stages, and back"}
	command.PersistentFlags().StringVar(&tool.state, "state", "rollout", "`folder` of the rollout's records")
	command.AddCommand(tool.startCommand(), tool.continueCommand(), tool.statusCommand(), canariesCommand())
	command.AddCommand(
		tool.orderCommand(rollout.OrderPause, "Have nothing further change, for now"),
		tool.orderCommand(rollout.OrderAbort, "Have nothing further change: the versions stay mixed"),
		tool.orderCommand(rollout.OrderRollback, "Take all changed relays back, the last one first"),
		tool.orderCommand(rollout.OrderResume, "Go on after a pause, also by a changed plan"),
	)
	return command
}

func (t *rolloutTool) startCommand() *cobra.Command {
	return &cobra.Command{Use: "start PLAN", Short: "Begin a rollout, and carry it out", Args: cobra.ExactArgs(1),
		Long: "Begin a rollout by a plan, and carry it out until it is done, paused, stopped or rolled back. Exit status 1 where it is paused or stopped.\n" +
			"Where this command ends before, `milletsail rollout continue` goes on, as the plan says.",
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
	resume.Flags().BoolVar(&force, "force", false, "though another controller seems to be at work: it is obeyed no more")
	return resume
}

func (t *rolloutTool) statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Say how a rollout stands", Args: cobra.NoArgs,
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

// orderCommand gives an order to the controller at work, or carries it out where there is none.
func (t *rolloutTool) orderCommand(action, short string) *cobra.Command {
	var planFile string
	command := &cobra.Command{Use: action, Short: short, Args: cobra.NoArgs,
		Long: short + ".\nThe controller at work takes the order; where there is none, this command takes over.",
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

func (t *rolloutTool) carryOut(command *cobra.Command, order rollout.Order) error {
	controller, err := rollout.Open(t.state, false)
	if errors.Is(err, rollout.ErrLeaseHeld) {
		if err := rollout.SubmitOrder(t.state, order); err != nil {
			return err
		}
		command.Println("left for the controller at work")
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

// runController carries a rollout on until it ends or a signal comes, and prints how it stands then. One that is paused or stopped
// gives errFailed.
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
		return errFailed
	}
	return nil
}

// showRollout prints how a rollout stands.
func showRollout(out io.Writer, state rollout.State) error {
	reason := ""
	if state.Reason != "" {
		reason = ": " + state.Reason
	}
	rows := newTable(out, 0)
	rows.printf("%s%s\n", state.Phase, reason)
	rows.printf("version\t%.*s\n", checksumDigits, state.NewVersion)
	rows.printf("stage\t%d of %d\n", min(state.Stage+1, len(state.Plan.Stages)), len(state.Plan.Stages))
	rows.printf("relays\t%d of %d changed, %d in change\n", len(state.Updated), len(state.Plan.Agents), len(state.Updating))
	for relay, failure := range state.Failed {
		rows.printf("relay %d\t%s\n", relay, failure)
	}
	return rows.flush()
}
