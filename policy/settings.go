package policy

import "fmt"

// check returns an error for the first invalid setting.
func (s *Settings) check() error {
	for i, class := range s.Classes {
		switch {
		case class.Deadline <= 0:
			return fmt.Errorf("settings: Classes[%d].Deadline: got %v, want above 0", i, class.Deadline)
		case class.LatencyObjective < 0:
			return fmt.Errorf("settings: Classes[%d].LatencyObjective: got %v, want 0 or more",
				i, class.LatencyObjective)
		case class.IdempotencyWindow < 0:
			return fmt.Errorf("settings: Classes[%d].IdempotencyWindow: got %v, want 0 or more",
				i, class.IdempotencyWindow)
		case class.Effect < Idempotent || class.Effect > NotIdempotent:
			return fmt.Errorf("settings: Classes[%d].Effect: got %d, want 0 to 2", i, class.Effect)
		}
	}
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: Classes: got none, want at least one")
	case s.FleetSize < 1:
		return fmt.Errorf("settings: FleetSize: got %d, want at least 1", s.FleetSize)
	case s.Slots < 1:
		return fmt.Errorf("settings: Slots: got %d, want at least 1", s.Slots)
	case s.QueueCapacity < 1:
		return fmt.Errorf("settings: QueueCapacity: got %d, want at least 1", s.QueueCapacity)
	case s.MaxAttempts < 1:
		return fmt.Errorf("settings: MaxAttempts: got %d, want at least 1", s.MaxAttempts)
	case s.Weights < WeightsOff || s.Weights > WeightsRough:
		return fmt.Errorf("settings: Weights: got %d, want 0 to 2", s.Weights)
	case s.BatchInterval < 0:
		return fmt.Errorf("settings: BatchInterval: got %v, want 0 or more", s.BatchInterval)
	case s.OrderedKeyDelay < 0:
		return fmt.Errorf("settings: OrderedKeyDelay: got %v, want 0 or more", s.OrderedKeyDelay)
	case s.SlowStartWindow < 0 || s.OverloadWindow < 0 || s.OverloadFactor < 0 || s.SlowStartInitialShare < 0:
		return fmt.Errorf("settings: got SlowStartWindow %v, OverloadWindow %v, OverloadFactor %v and "+
			"SlowStartInitialShare %v, want each 0 or more",
			s.SlowStartWindow, s.OverloadWindow, s.OverloadFactor, s.SlowStartInitialShare)
	}
	return nil
}
