package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"time"

	"milletsail/internal/atomicfile"
)

// Values of Order.Action.
const (
	OrderPause    = "pause"
	OrderResume   = "resume"
	OrderAbort    = "abort"
	OrderRollback = "rollback"
)

// orderedReason is the value of Record.Reason for a step that an operator has ordered.
const orderedReason = "ordered"

// Order is an operator's order to the controller of a rollout. Plan replaces the plan of the rollout; it is used only with
// OrderResume, and may be nil.
type Order struct {
	Action string `json:"what"`
	Plan   *Plan  `json:"plan,omitempty"`
}

// orderName is the name of the file in a controller's directory that holds a submitted order.
const orderName = "order"

// SubmitOrder writes an order to the directory of a rollout, where the controller that holds the lease, or the next one, receives
// it. It replaces an order that has not been received yet.
func SubmitOrder(dir string, order Order) error {
	if !slices.Contains([]string{OrderPause, OrderResume, OrderAbort, OrderRollback}, order.Action) {
		return fmt.Errorf("unknown order %q", order.Action)
	}
	text, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return atomicfile.Replace(filepath.Join(dir, orderName), text)
}

// errNoOrder is returned by receiveOrder if no order has been submitted.
var errNoOrder = errors.New("no order")

// receiveOrder returns the submitted order and removes its file. It returns errNoOrder if there is none. A file that can't be
// decoded is removed too.
func receiveOrder(dir string) (*Order, error) {
	path := filepath.Join(dir, orderName)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, errNoOrder
	}
	if err != nil {
		return nil, err
	}
	var order Order
	if err := json.Unmarshal(text, &order); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), os.Remove(path))
	}
	return &order, os.Remove(path)
}

// pollOrder carries out the submitted order, if there is one.
func (c *Controller) pollOrder() error {
	order, err := receiveOrder(c.store.dir)
	if errors.Is(err, errNoOrder) {
		return nil
	}
	if err != nil {
		slog.Error("rollout order not received", "error", err)
	}
	if order == nil {
		return nil
	}
	return c.HandleOrder(*order)
}

// HandleOrder carries out an order. A rejected order is logged with the reason; it is not returned as an error.
func (c *Controller) HandleOrder(order Order) error {
	record, err := c.state.orderRecord(order)
	var rejected *OrderRejectedError
	if errors.As(err, &rejected) {
		slog.Error("rollout order rejected", "order", order.Action, "phase", c.state.Phase, "reason", rejected.Reason)
		return nil
	}
	return c.record(record)
}

// OrderRejectedError is the error for an order that can't be carried out in the current state of the rollout.
type OrderRejectedError struct {
	Action string
	Reason string
}

func (e *OrderRejectedError) Error() string {
	return fmt.Sprintf("order %s rejected: %s", e.Action, e.Reason)
}

// orderRecord returns the record of an order, or an *OrderRejectedError if the order can't be carried out in this state.
func (s *State) orderRecord(order Order) (Record, error) {
	record := Record{At: time.Now(), Reason: orderedReason}
	switch {
	case order.Action == OrderPause && s.Phase == Running:
		record.Kind = recordPaused
	case order.Action == OrderResume && s.Phase == Paused:
		if order.Plan != nil {
			if err := s.checkPlanChange(order.Plan); err != nil {
				return Record{}, &OrderRejectedError{order.Action, err.Error()}
			}
		}
		record.Kind, record.Plan, record.Reason = recordResumed, order.Plan, ""
	case order.Action == OrderAbort && (s.Phase == Running || s.Phase == Paused || s.Phase == RollingBack):
		record.Kind = recordStopped
	case order.Action == OrderRollback && s.Phase != RollingBack && s.Phase != RolledBack:
		if s.Plan.AllowNoRollback {
			return Record{}, &OrderRejectedError{order.Action, "the plan has one_way set: this version can't be rolled back"}
		}
		record.Kind = recordRollback
	default:
		return Record{}, &OrderRejectedError{order.Action, "not possible in the current phase of the rollout"}
	}
	return record, nil
}

// checkPlanChange returns an error if a rollout can't be resumed with another plan. The plan has to have the same version and
// relays, and its current stage has to include the relays that are updated already.
func (s *State) checkPlanChange(plan *Plan) error {
	if err := plan.validate(); err != nil {
		return err
	}
	version, err := Checksum(plan.Version)
	if err != nil {
		return err
	}
	if version != s.NewVersion {
		return &InvalidPlanError{"version", "has another checksum than the program of this rollout"}
	}
	if len(plan.Agents) != len(s.Plan.Agents) {
		return &InvalidPlanError{"agent", "the relays are not those of the rollout"}
	}
	for _, agent := range plan.Agents {
		if s.OldVersions[agent.Relay] == "" {
			return &InvalidPlanError{"agent", fmt.Sprintf("relay %d is not in the rollout", agent.Relay)}
		}
	}
	if s.Stage >= len(plan.Stages) || plan.relaysAfter(s.Stage) < len(s.Updated) {
		return &InvalidPlanError{"stage", fmt.Sprintf("%d relays are updated already, in stage %d", len(s.Updated), s.Stage+1)}
	}
	return nil
}
