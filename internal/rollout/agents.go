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
	// settlingTime is how long after its update a relay is not sampled: it completes what the old process had in flight.
	settlingTime = 2 * time.Second
	// maxConcurrentCalls is the number of agents that are called at once.
	maxConcurrentCalls = 32
)

// agentReply is the result of a call to an agent.
type agentReply struct {
	agent      Agent
	reply      reply
	err        error
	receivedAt time.Time
}

// callAgents calls do for each agent, some of them at once, and returns the results in the order of the agents.
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

// queryVersions returns the version of each relay. It is an error if an agent does not answer, is that of another relay, or is
// updating.
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

// checkCompatibility returns an error if the new version can't replace the old ones, or can't be rolled back and the plan does
// not allow that. One agent for each old version stores the new program and reports the formats of both, since formats are
// determined by the checksum.
func (c *Controller) checkCompatibility(ctx context.Context, plan *Plan, version string, oldVersions map[int]string) error {
	results := callAgents(oneAgentPerVersion(plan.Agents, oldVersions), func(agent Agent) (reply, error) {
		_, err := c.call(ctx, agent, request{Operation: operationStore, Checksum: version, Path: plan.Version})
		if err != nil {
			return reply{}, err
		}
		return c.call(ctx, agent, request{Operation: operationFormats, Checksum: version})
	})
	var first error // one is enough: the others are likely to be the same
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

// oneAgentPerVersion returns the first agent with each version.
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

// checkFormats compares the formats that an agent reports.
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

// pollAgents returns the status of all agents, and adds a sample to the analysis if it is time to. It returns ErrSuperseded if
// an agent knows a later controller.
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

// status returns what the next steps depend on.
func (r *reply) status() AgentStatus {
	status := AgentStatus{Reachable: true, Version: r.Version, Settled: r.Settled, Error: r.LastError}
	if r.Metrics != nil {
		status.EvacuatedZones = r.Metrics.EvacuatedZones
	}
	return status
}

// sample adds the metrics to the analysis of the stage once in a sampling interval.
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

// sendUpdates sends the updates that are recorded as running, again with each step until the agents confirm them. It returns
// ErrSuperseded if an agent knows a later controller.
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

// sendUpdate has one agent store the new program, unless it has, and start the update.
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
