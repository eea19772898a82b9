package rollout

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"milletsail/internal/compat"
)

const (
	// settlingTime is the time after an update during which a relay is not sampled, since it is still completing the messages that
	// the old process had in flight.
	settlingTime = 2 * time.Second
	// maxConcurrentCalls is the maximum number of agents that are called concurrently.
	maxConcurrentCalls = 32
)

// agentReply is the result of one call to an agent.
type agentReply struct {
	agent      Agent
	reply      reply
	err        error
	receivedAt time.Time
}

// callAgents calls do for each agent, up to maxConcurrentCalls at once, and returns the results in the order of the agents.
func callAgents(agents []Agent, do func(Agent) (reply, error)) []agentReply {
	results := make([]agentReply, len(agents))
	var calls sync.WaitGroup
	limit := make(chan struct{}, maxConcurrentCalls)
	for i, agent := range agents {
		limit <- struct{}{}
		calls.Go(func() {
			defer func() { <-limit }()
			answer, err := do(agent)
			results[i] = agentReply{agent, answer, err, time.Now()}
		})
	}
	calls.Wait()
	return results
}

// call sends a request with the controller's fencing token.
func (c *Controller) call(ctx context.Context, agent Agent, q request) (reply, error) {
	q.FencingToken = c.store.FencingToken()
	return call(ctx, agent.Address, q)
}

// queryVersions returns the version of each relay. It returns an error if an agent does not answer, belongs to another relay than
// the plan says, or is carrying out an update.
func (c *Controller) queryVersions(ctx context.Context, plan *Plan) (map[int]string, error) {
	versions := map[int]string{}
	for _, agent := range plan.Agents {
		answer, err := c.call(ctx, agent, request{Operation: operationStatus})
		switch {
		case err != nil:
			return nil, fmt.Errorf("agent of relay %d at %s: %w", agent.Relay, agent.Address, err)
		case answer.Relay != agent.Relay:
			return nil, fmt.Errorf("the agent at %s is that of relay %d, not %d", agent.Address, answer.Relay, agent.Relay)
		case !answer.Settled:
			return nil, fmt.Errorf("relay %d is being updated", agent.Relay)
		}
		versions[agent.Relay] = answer.Version
	}
	return versions, nil
}

// checkCompatibility returns an error if the new version can't replace the old ones, or if it can't be rolled back and the plan
// does not allow that. Only one agent for each old version is asked to store the new program and to report the formats of both:
// programs with the same checksum have the same formats.
func (c *Controller) checkCompatibility(ctx context.Context, plan *Plan, version string, oldVersions map[int]string) error {
	results := callAgents(oneAgentPerVersion(plan.Agents, oldVersions), func(agent Agent) (reply, error) {
		_, err := c.call(ctx, agent, request{Operation: operationStore, Checksum: version, Path: plan.Version})
		if err != nil {
			return reply{}, err
		}
		return c.call(ctx, agent, request{Operation: operationFormats, Checksum: version})
	})
	var first error // only the first error is returned: the others are likely to have the same cause
	for _, result := range results {
		relay, err := result.agent.Relay, result.err
		if err == nil {
			err = checkFormats(&result.reply, relay, plan.AllowNoRollback)
		}
		c.stored[relay] = err == nil
		if err != nil && first == nil {
			first = fmt.Errorf("relay %d: %w", relay, err)
		}
	}
	return first
}

// oneAgentPerVersion returns, for each version, the first agent that runs it.
func oneAgentPerVersion(agents []Agent, versions map[int]string) (first []Agent) {
	included := map[string]bool{}
	for _, agent := range agents {
		version := versions[agent.Relay]
		if !included[version] {
			included[version] = true
			first = append(first, agent)
		}
	}
	return first
}

// checkFormats returns an error if the formats that an agent reports do not permit the update. If the two versions can't read each
// other's gossip, it only logs a warning.
func checkFormats(answer *reply, relay int, allowNoRollback bool) error {
	var err error
	if answer.CurrentFormats == nil || answer.NextFormats == nil {
		err = fmt.Errorf("%w, as far as is known: %s", compat.ErrNoRollback, answer.FormatsError)
	} else {
		err = compat.CheckUpgrade(*answer.CurrentFormats, *answer.NextFormats)
	}
	if allowNoRollback && errors.Is(err, compat.ErrNoRollback) {
		err = nil
	}
	known := answer.CurrentFormats != nil && answer.NextFormats != nil
	if err == nil && known && !compat.GossipCompatible(*answer.CurrentFormats, *answer.NextFormats) {
		slog.Warn("rollout versions have incompatible gossip formats", "relay", relay)
	}
	return err
}

// pollAgents returns the status of the agents that answer, and adds a sample to the canary analysis once in each sampling interval.
// It returns ErrSuperseded if an agent has seen a later fencing token.
func (c *Controller) pollAgents(ctx context.Context) (map[int]AgentStatus, error) {
	results := callAgents(c.state.Plan.Agents, func(agent Agent) (reply, error) {
		return c.call(ctx, agent, request{Operation: operationStatus})
	})
	agents, metrics := map[int]AgentStatus{}, map[int]Metrics{}
	for _, result := range results {
		if errors.Is(result.err, ErrStaleToken) {
			return nil, ErrSuperseded
		}
		relay, answer := result.agent.Relay, &result.reply
		if result.err != nil || answer.Relay != relay {
			continue
		}
		agents[relay] = answer.status()
		if c.settledSince[relay].IsZero() || !answer.Settled {
			c.settledSince[relay] = result.receivedAt
		}
		if answer.Metrics != nil && answer.Settled && result.receivedAt.Sub(c.settledSince[relay]) >= settlingTime {
			metrics[relay] = *answer.Metrics
		}
	}
	c.sample(metrics)
	return agents, nil
}

// status returns the part of a reply on which State.Next depends.
func (r *reply) status() AgentStatus {
	status := AgentStatus{Reachable: true, Version: r.Version, Settled: r.Settled, Error: r.LastError}
	if r.Metrics != nil {
		status.EvacuatedZones = r.Metrics.EvacuatedZones
	}
	return status
}

// sample adds the metrics to the canary analysis of the current stage, at most once in a sampling interval.
func (c *Controller) sample(metrics map[int]Metrics) {
	state := &c.state
	if state.Phase != Running || time.Since(c.sampledAt) < state.Plan.Gate.Interval.AsDuration() || len(state.Updated) == 0 {
		return
	}
	c.sampledAt = time.Now()
	if c.analysis == nil || c.analysisStage != state.Stage {
		classes := map[string]bool{}
		for _, sample := range metrics {
			for class := range sample.Outcomes {
				classes[class] = true
			}
		}
		c.analysis, c.analysisStage = NewCanaryAnalysis(state.Plan.Gate, len(state.Plan.Stages), len(classes)), state.Stage
	}
	c.analysis.AddSample(metrics, func(relay int) bool { return slices.Contains(state.Updated, relay) })
}

// sendUpdates sends the updates that are recorded as running. It is called with each step, so that an update is sent again until
// its agent confirms it. It returns ErrSuperseded if an agent has seen a later fencing token.
func (c *Controller) sendUpdates(ctx context.Context) error {
	if c.state.Phase == Stopped {
		return nil
	}
	updating := slices.DeleteFunc(slices.Clone(c.state.Plan.Agents), func(agent Agent) bool {
		return c.state.Updating[agent.Relay] == ""
	})
	isSuperseded := false
	for _, result := range callAgents(updating, func(agent Agent) (reply, error) { return c.sendUpdate(ctx, agent) }) {
		relay := result.agent.Relay
		if result.err != nil {
			slog.Warn("rollout update not sent", "relay", relay, "error", result.err)
			isSuperseded = isSuperseded || errors.Is(result.err, ErrStaleToken)
		} else if c.state.Updating[relay] == c.state.NewVersion {
			c.stored[relay] = true
		}
	}
	if isSuperseded {
		return ErrSuperseded
	}
	return nil
}

// sendUpdate asks one agent to store the new program, unless it has stored it already, and to start the update.
func (c *Controller) sendUpdate(ctx context.Context, agent Agent) (reply, error) {
	version := c.state.Updating[agent.Relay]
	if version == c.state.NewVersion && !c.stored[agent.Relay] {
		_, err := c.call(ctx, agent, request{Operation: operationStore, Checksum: version, Path: c.state.Plan.Version})
		if err != nil {
			return reply{}, err
		}
	}
	return c.call(ctx, agent, request{Operation: operationUpdate, Checksum: version})
}
