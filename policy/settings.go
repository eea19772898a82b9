package policy

import "fmt"

// This file holds the check of the settings.

// check names the first setting that makes no sense.
func (s *Settings) check() error {
	for i, c := range s.Classes {
		switch {
		case c.Deadline <= 0:
			return fmt.Errorf("settings: Classes[%d].Deadline: %v is not above 0", i, c.Deadline)
		case c.Aim < 0:
			return fmt.Errorf("settings: Classes[%d].Aim: %v is negative", i, c.Aim)
		case c.Memory < 0:
			return fmt.Errorf("settings: Classes[%d].Memory: %v is negative", i, c.Memory)
		case c.Effect < Safe || c.Effect > Unsafe:
			return fmt.Errorf("settings: Classes[%d].Effect: %d is unknown", i, c.Effect)
		}
	}
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: Classes: there are none")
	case s.Instances < 1:
		return fmt.Errorf("settings: Instances: %d is less than 1", s.Instances)
	case s.Slots < 1:
		return fmt.Errorf("settings: Slots: %d is less than 1", s.Slots)
	case s.HoldRoom < 1:
		return fmt.Errorf("settings: HoldRoom: %d is less than 1", s.HoldRoom)
	case s.MaxAttempts < 1:
		return fmt.Errorf("settings: MaxAttempts: %d is less than 1", s.MaxAttempts)
	case s.Weights < WeightsOff || s.Weights > WeightsRough:
		return fmt.Errorf("settings: Weights: %d is unknown", s.Weights)
	case s.Tick < 0:
		return fmt.Errorf("settings: Tick: %v is negative", s.Tick)
	case s.OrderPause < 0:
		return fmt.Errorf("settings: OrderPause: %v is negative", s.OrderPause)
	case s.RampTime < 0 || s.OverloadFor < 0 || s.OverloadFactor < 0 || s.ColdShare < 0:
		return fmt.Errorf("settings: RampTime, OverloadFor, OverloadFactor, ColdShare: one is negative")
	}
	return nil
}
