package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"milletsail/internal/settings"
	"milletsail/policy"
)

// fieldReader decodes the values of one line by their position, counted from 0, and keeps the first error. A value that is missing
// or null is decoded as the zero value.
type fieldReader struct {
	values []json.RawMessage
	err    error
}

// fail records err, unless an error was recorded before.
func (f *fieldReader) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// decode decodes value i into the variable that into points to. If the value is missing or null, the variable is left unchanged.
func (f *fieldReader) decode(i int, into any) {
	if i >= len(f.values) {
		return
	}
	if err := json.Unmarshal(f.values[i], into); err != nil {
		f.fail(fmt.Errorf("value %d: %w", i, err))
	}
}

func (f *fieldReader) text(i int) (v string)    { f.decode(i, &v); return v }
func (f *fieldReader) number(i int) (v float64) { f.decode(i, &v); return v }
func (f *fieldReader) bytes(i int) (v []byte)   { f.decode(i, &v); return v }
func (f *fieldReader) boolean(i int) (v bool)   { f.decode(i, &v); return v }

// seconds decodes a duration in seconds.
func (f *fieldReader) seconds(i int) time.Duration { return settings.Seconds(f.number(i)) }

// integer decodes an integer, which may be written as a floating-point number, such as 3.0.
func (f *fieldReader) integer(i int) int64 {
	var number json.Number
	f.decode(i, &number)
	if v, err := number.Int64(); err == nil || number == "" {
		return v
	}
	v, err := number.Float64()
	if err != nil || v != math.Trunc(v) {
		f.fail(fmt.Errorf("value %d: expected an integer, got %q", i, number))
	}
	return int64(v)
}

// outcome decodes the outcome of an attempt.
func (f *fieldReader) outcome(i int) policy.Outcome {
	name := f.text(i)
	outcome, ok := outcomes[name]
	if !ok {
		f.fail(fmt.Errorf("value %d: unknown outcome %q of an attempt", i, name))
	}
	return outcome
}

// loadReport decodes an endpoint's load report: an object with the remaining capacity in x0 and the limit in x1. It returns nil if
// either is missing.
func (f *fieldReader) loadReport(i int) *policy.LoadReport {
	var report map[string]float64
	f.decode(i, &report)
	remaining, hasRemaining := report["x0"]
	limit, hasLimit := report["x1"]
	if !hasRemaining || !hasLimit {
		return nil
	}
	return &policy.LoadReport{Remaining: remaining, Limit: limit}
}

// endpoints decodes an endpoint list: an array of arrays, each with the kind, destination, ID, weight, state and zone of one
// endpoint.
func (f *fieldReader) endpoints(i int) []policy.Endpoint {
	var rows [][]json.RawMessage
	f.decode(i, &rows)
	endpoints := make([]policy.Endpoint, 0, len(rows))
	for _, row := range rows {
		fields := &fieldReader{values: row}
		state := fields.text(4)
		endpoints = append(endpoints, policy.Endpoint{
			Kind:        int(fields.integer(0)),
			Destination: int(fields.integer(1)),
			ID:          fields.text(2),
			Weight:      fields.number(3),
			Draining:    state == "terminating",
			Removed:     state == "terminated",
			Zone:        int(fields.integer(5)),
		})
		if fields.err != nil {
			f.fail(fields.err)
		}
	}
	return endpoints
}
