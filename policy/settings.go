package policy

import "fmt"

// check returns an error that names the first setting that makes no sense.
func (s *Settings) check() error {
	for i, class := range s.Classes {
		switch {
		case class.Deadline <= 0:
			return fmt.Errorf("settings: Classes[%d].Deadline: %v is not above 0", i, class.Deadline)
		case class.LatencyObjective < 0:
			return fmt.Errorf("settings: Classes[%d].LatencyObjective: %v is negative",
				i, class.LatencyObjective)
		case class.IdempotencyWindow < 0:
			return fmt.Errorf("settings: Classes[%d].IdempotencyWindow: %v is negative",
				i, class.IdempotencyWindow)
		case class.Effect < Idempotent || class.Effect > NotIdempotent:
			return fmt.Errorf("settings: Classes[%d].Effect: %d is unknown", i, class.Effect)
		}
	}
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: Classes: there are none")
	case s.FleetSize < 1:
		return fmt.Errorf("settings: FleetSize: %d is less than 1", s.FleetSize)
	case s.Slots < 1:
		return fmt.Errorf("settings: Slots: %d is less than 1", s.Slots)
	case s.QueueCapacity < 1:
		return fmt.Errorf("settings: QueueCapacity: %d is less than 1", s.QueueCapacity)
	case s.MaxAttempts < 1:
		return fmt.Errorf("settings: MaxAttempts: %d is less than 1", s.MaxAttempts)
	case s.Weights < WeightsOff || s.Weights > WeightsRough:
		return fmt.Errorf("settings: Weights: %d is unknown", s.Weights)
	case s.BatchInterval < 0:
		return fmt.Errorf("settings: BatchInterval: %v is negative", s.BatchInterval)
	case s.OrderedKeyDelay < 0:
		return fmt.Errorf("settings: OrderedKeyDelay: %v is negative", s.OrderedKeyDelay)
	case s.SlowStartWindow < 0 || s.OverloadWindow < 0 || s.OverloadFactor < 0 || s.SlowStartInitialShare < 0:
		return fmt.Errorf("settings: one of SlowStartWindow, OverloadWindow, OverloadFactor and " +
			"SlowStartInitialShare is negative")
	}
	return nil
}
