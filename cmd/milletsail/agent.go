package main

import (
	"fmt"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"milletsail/internal/rollout"
)

func agentCommand() *cobra.Command {
	agent := &cobra.Command{Use: "agent", Short: "Run the agent of one relay, which updates the relay in rollouts"}
	agent.AddCommand(&cobra.Command{Use: "run FILE", Short: "Run a relay and update its program on request of a rollout's controller",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			config, err := rollout.ReadAgentConfig(args[0])
			if err != nil {
				return err
			}
			return runAgent(command, config)
		}})
	return agent
}

// runAgent runs a relay and its agent until SIGTERM or SIGINT.
func runAgent(command *cobra.Command, config *rollout.AgentConfig) error {
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	program, err := rollout.CurrentProgram(config.Dir, config.Program)
	if err != nil {
		return err
	}
	processes, err := rollout.NewProcessRunner(ctx, *config, program)
	if err != nil {
		return fmt.Errorf("relay %d: %w", config.Relay, err)
	}
	defer processes.Stop()
	server, err := rollout.NewServer(config.Relay, config.Dir, config.Program, processes)
	if err != nil {
		return err
	}
	defer server.Close()
	address, err := server.Listen(config.Address)
	if err != nil {
		return err
	}
	command.Printf("relay %d runs %s, its agent listens at %s\n", config.Relay, filepath.Base(program), address)
	<-ctx.Done()
	return nil
}
