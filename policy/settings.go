package policy

import "fmt"

// This file holds the check of the settings.

// check names the first setting that makes no sense.
func (s *Settings) check() error {
	for i, c := range s.Classes {
		switch {
		case c.Deadline <= 0:
			return fmt.Errorf("settings: Classes[%d].Deadline: %v is not above 0", i, c.Deadline)
		case c.LatencyObjective < 0:
			return fmt.Errorf("settings: Classes[%d].Aim: %v is negative", i, c.LatencyObjective)
		case c.IdempotencyWindow < 0:
			return fmt.Errorf("settings: Classes[%d].Memory: %v is negative", i, c.IdempotencyWindow)
		case c.Effect < Idempotent || c.Effect > NotIdempotent:
			return fmt.Errorf("settings: Classes[%d].Effect: %d is unknown", i, c.Effect)
		}
	}
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: Classes: there are none")
	case s.FleetSize < 1:
		return fmt.Errorf("settings: Instances: %d is less than 1", s.FleetSize)
	case s.Slots < 1:
		return fmt.Errorf("settings: Slots: %d is less than 1", s.Slots)
	case s.QueueCapacity < 1:
		return fmt.Errorf("settings: HoldRoom: %d is less than 1", s.QueueCapacity)
	case s.MaxAttempts < 1:
		return fmt.Errorf("settings: MaxAttempts: %d is less than 1", s.MaxAttempts)
	case s.Weights < WeightsOff || s.Weights > WeightsRough:
		return fmt.Errorf("settings: Weights: %d is unknown", s.Weights)
	case s.BatchInterval < 0:
		return fmt.Errorf("settings: Tick: %v is negative", s.BatchInterval)
	case s.OrderedKeyDelay < 0:
		return fmt.Errorf("settings: OrderPause: %v is negative", s.OrderedKeyDelay)
	case s.SlowStartWindow < 0 || s.OverloadWindow < 0 || s.OverloadFactor < 0 || s.SlowStartInitialShare < 0:
		return fmt.Errorf("settings: RampTime, OverloadFor, OverloadFactor, ColdShare: one is negative")
	}
	return nil
}
