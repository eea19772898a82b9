// Package zones parses the commands by which operators evacuate and restore zones, and stores the resulting orders.
//
// A confirmed order survives restarts until it expires. The file of orders is replaced atomically. If it is corrupt, Open returns
// an error that says where, and no orders. The caller checks whether an order is valid, for example whether the zone exists,
// before it stores the order. An OrderStore is not safe for concurrent use.
package zones

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"milletsail/internal/atomicfile"
	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

const (
	// fileName is the name of the file in the state directory that holds the orders.
	fileName = "zones.json"
	// format is the version of the file format that is written. A file of a later version is an error.
	format = 2
	// formatWall is the earlier version of the file format, which holds wall times only. It is still read.
	formatWall = 1
	// maxDuration is the maximum duration of an order, so that a forgotten order does not keep a zone evacuated forever.
	maxDuration = 24 * time.Hour
)

// Order is an operator's order to evacuate a zone until a moment.
type Order struct {
	Zone  string
	Until instant.Time
}

// OrderStore holds the orders in force, in memory and on disk.
type OrderStore struct {
	path   string
	orders []Order
}

// file is the content of the file of orders. Its times are wall times, so that people can read them. Until the machine reboots,
// the stored readings of both clocks convert them exactly into moments.
type file struct {
	Format int         `json:"format"`
	Boot   string      `json:"boot,omitempty"`
	Clocks clock.Pair  `json:"clocks,omitzero"`
	Orders []fileOrder `json:"orders"`
}

// fileOrder is one order in the file.
type fileOrder struct {
	Zone  string    `json:"zone"`
	Until time.Time `json:"until"`
}

// until returns the end of an order in the file. If the machine has rebooted since the file was written, or the file is of
// formatWall, the end is determined by the current wall clock. It is then at most maxDuration from now, because the wall clock may
// have been set in the meantime.
func (f *file) until(order fileOrder) instant.Time {
	end := clock.Wall(order.Until.UnixNano())
	if boot := clock.BootID(); f.Format == format && boot != "" && f.Boot == boot {
		return f.Clocks.InstantOf(end)
	}
	now := clock.ReadPair()
	return min(now.InstantOf(end), now.At.Add(maxDuration))
}

// CorruptError is returned if the file of orders can't be decoded or holds an invalid order.
type CorruptError struct {
	Path string
	Err  error // the cause, with the position of the fault: a byte offset or the index of an order
}

func (e *CorruptError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause of the error.
func (e *CorruptError) Unwrap() error { return e.Err }

// Open reads the orders in the state directory dir; if there is no file, the store is empty. If Open returns an error, the store is
// empty and can still be used. The error is a *CorruptError if the file could be read but its content is invalid.
func Open(dir string) (*OrderStore, error) {
	store := &OrderStore{path: filepath.Join(dir, fileName)}
	text, err := os.ReadFile(store.path)
	if errors.Is(err, fs.ErrNotExist) {
		return store, nil
	}
	if err != nil {
		return store, err
	}
	stored, err := decodeFile(text)
	if err != nil {
		return store, &CorruptError{store.path, err}
	}
	for _, order := range stored.Orders {
		store.orders = append(store.orders, Order{order.Zone, stored.until(order)})
	}
	return store, nil
}

// decodeFile decodes the content of the file of orders. Unknown keys and invalid orders are errors.
func decodeFile(text []byte) (*file, error) {
	var decoded file
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		return nil, fmt.Errorf("byte %d: %w", decoder.InputOffset(), err)
	}
	if decoded.Format != format && decoded.Format != formatWall {
		return nil, fmt.Errorf("unknown file format %d", decoded.Format)
	}
	for i, order := range decoded.Orders {
		if order.Zone == "" || order.Until.IsZero() {
			return nil, fmt.Errorf("order %d: zone name or end time is missing", i)
		}
	}
	return &decoded, nil
}

// Active removes the orders that have expired at now, and returns a copy of the remaining ones.
func (s *OrderStore) Active(now instant.Time) []Order {
	var active []Order
	for _, order := range s.orders {
		if now < order.Until {
			active = append(active, order)
		}
	}
	s.orders = active
	return slices.Clone(active)
}

// Put stores an order for a zone, in place of any order for the same zone. If until is zero, it removes the zone's order instead.
// It returns after the change is on disk. If it returns an error, the previous orders stay in force.
func (s *OrderStore) Put(zone string, until, now instant.Time) error {
	var orders []Order
	for _, order := range s.Active(now) {
		if order.Zone != zone {
			orders = append(orders, order)
		}
	}
	if !until.IsZero() {
		orders = append(orders, Order{zone, until})
	}
	content := file{Format: format, Boot: clock.BootID(), Clocks: clock.ReadPair()}
	for _, order := range orders {
		content.Orders = append(content.Orders, fileOrder{order.Zone, content.Clocks.WallOf(order.Until).Time()})
	}
	text, err := json.Marshal(content)
	if err != nil {
		return err
	}
	if err := atomicfile.Replace(s.path, append(text, '\n')); err != nil {
		return err
	}
	s.orders = orders
	return nil
}
