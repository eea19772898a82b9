package lab

import (
	"context"
	"errors"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/lab/relays"
	"milletsail/internal/lab/scenario"
	"milletsail/internal/lab/shim"
)

// injectShimFault injects a fault of the clock or the system calls at one relay, and ends it after the fault's
// duration if it has one.
func injectShimFault(ctx context.Context, r *relays.Relay, f *scenario.Fault) error {
	switch f.Kind {
	case "clock", "clock-back":
		by := time.Duration(f.Magnitude * float64(time.Second))
		if f.Kind == "clock-back" {
			by = -by
		}
		if err := r.Shim.StepWall(by); err != nil || f.Duration <= 0 {
			return err
		}
		clock.Sleep(ctx, f.Duration.AsDuration())
		return r.Shim.StepWall(-by)
	case "short-io":
		if err := r.Shim.SetShortTransfers(true); err != nil {
			return err
		}
		clock.Sleep(ctx, f.Duration.AsDuration())
		return r.Shim.SetShortTransfers(false)
	}
	call, err := shim.ParseCall(f.Call)
	if err != nil {
		return err
	}
	errno, err := shim.ParseErrno(f.Errno)
	if err != nil {
		return err
	}
	if f.Count > 0 {
		return r.Shim.Fail(call, errno, f.Count)
	}
	err = r.Shim.FailAll(call, errno)
	clock.Sleep(ctx, f.Duration.AsDuration())
	return errors.Join(err, r.Shim.Clear(call))
}
