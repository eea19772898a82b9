// Package zones stores the orders by which operators evacuate zones, and parses the commands that give them.
//
// An order that was confirmed survives restarts until it expires. The file is replaced atomically; a corrupt one is an error
// with its position, and no orders. Whether an order makes sense is checked by the caller before it is stored. An OrderStore is
// not safe for concurrent use.
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
	// fileName is the file of the orders in the state directory.
	fileName = "zones.json"
	// format is the version of the file's format. A file of a later version is an error.
	format = 2
	// formatWall is the version before, which has wall clock times only.
	formatWall = 1
	// maxDuration is the longest duration of an order: a forgotten one must not route around a zone for good.
	maxDuration = 24 * time.Hour
)

// Order evacuates a zone until a time.
type Order struct {
	Zone  string
	Until instant.Time
}

// OrderStore holds the orders in force, in memory and on disk.
type OrderStore struct {
	path   string
	orders []Order
}

// file is the content of the file. Its times are wall clock times, for people who read it; the pair of clock readings converts
// them exactly as long as the machine has not rebooted.
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

// until returns the end of an order. After a reboot, and in formatWall, only the wall clock gives it, and maxDuration bounds it:
// the wall clock may have been set.
func (f *file) until(order fileOrder) instant.Time {
	end := clock.Wall(order.Until.UnixNano())
	if boot := clock.BootID(); f.Format == format && boot != "" && f.Boot == boot {
		return f.Clocks.InstantOf(end)
	}
	now := clock.ReadPair()
	return min(now.InstantOf(end), now.At.Add(maxDuration))
}

// CorruptError says that the file of orders can't be decoded, or holds an order that is invalid.
type CorruptError struct {
	Path string
	Err  error // with the position
}

func (e *CorruptError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// Open reads the orders in a state directory. With an error, the store is empty and may still be used; the error is a
// *CorruptError if the file could be read but not decoded.
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

// decodeFile decodes the content of the file strictly.
func decodeFile(text []byte) (*file, error) {
	var decoded file
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		return nil, fmt.Errorf("byte %d: %w", decoder.InputOffset(), err)
	}
	if decoded.Format != format && decoded.Format != formatWall {
		return nil, fmt.Errorf("unknown format %d", decoded.Format)
	}
	for i, order := range decoded.Orders {
		if order.Zone == "" || order.Until.IsZero() {
			return nil, fmt.Errorf("order %d: zone or end is missing", i)
		}
	}
	return &decoded, nil
}

// Active returns a copy of the orders in force at a time, and removes the expired ones.
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

// Put puts an order in force in place of one for the same zone, or ends that if until is zero. It returns when the change is on
// disk. With an error, the orders before it are still in force.
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
