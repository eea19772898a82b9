// Package zones keeps the orders of operators about zones in a file of a relay's folder, and reads the lines by which
// they are given.
//
// It promises that an order that was confirmed outlasts a restart until its end, that the file is replaced whole or not
// at all, and that a spoilt file is an error with its place and no orders, never others than were given. It decides
// nothing: whether an order makes sense is for its user to say before it is kept. A Book is not safe for concurrent use.
package zones

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"milletsail/internal/atomicfile"
	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

const (
	fileName = "zones.json"
	// format is that of the file, and formatWall the one before, which knew wall times alone. A file of a later one is an error.
	format, formatWall = 2, 1
	// most is the longest that an order may run: one that is forgotten must not shape a fleet for good.
	most = 24 * time.Hour
)

// Order is to leave a zone until a time.
type Order struct {
	Zone  string
	Until instant.Time
}

// OrderStore is the orders in force, on disk.
type OrderStore struct {
	path   string
	orders []Order
}

// file is what is on disk. Its times are wall times, for the reader's eye; the clocks translate them as long as the machine
// has not started anew.
type file struct {
	Format int         `json:"format"`
	Boot   string      `json:"boot,omitempty"`
	Clocks clock.Pair  `json:"clocks,omitzero"`
	Orders []fileOrder `json:"orders"`
}

type fileOrder struct {
	Zone  string    `json:"zone"`
	Until time.Time `json:"until"`
}

// until gives the end of an order of a file. After another boot, and in the format before, the wall clock tells it, and no
// order runs longer than one may.
func (f *file) until(o fileOrder) instant.Time {
	end := clock.Wall(o.Until.UnixNano())
	if boot := clock.BootID(); f.Format == format && boot != "" && f.Boot == boot {
		return f.Clocks.InstantOf(end)
	}
	now := clock.ReadPair()
	return min(now.InstantOf(end), now.At.Add(most))
}

// Open reads the orders kept in a folder. With an error, the book is empty and may be used.
func Open(folder string) (*OrderStore, error) {
	b := &OrderStore{path: filepath.Join(folder, fileName)}
	text, err := os.ReadFile(b.path)
	if errors.Is(err, fs.ErrNotExist) {
		return b, nil
	}
	if err != nil {
		return b, err
	}
	var f file
	in := json.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(&f); err != nil {
		return b, fmt.Errorf("%s, byte %d: %w", b.path, in.InputOffset(), err)
	}
	if f.Format != format && f.Format != formatWall {
		return b, fmt.Errorf("%s: format %d is not known", b.path, f.Format)
	}
	for i, o := range f.Orders {
		if o.Zone == "" || o.Until.IsZero() {
			return b, fmt.Errorf("%s: order %d has no zone or no end", b.path, i)
		}
	}
	for _, o := range f.Orders {
		b.orders = append(b.orders, Order{o.Zone, f.until(o)})
	}
	return b, nil
}

// Active lists the orders that run at a time, and forgets the others.
func (b *OrderStore) Active(now instant.Time) []Order {
	var left []Order
	for _, o := range b.orders {
		if now < o.Until {
			left = append(left, o)
		}
	}
	b.orders = left
	return left
}

// Put puts an order in force in place of one for the same zone, or ends that where until is zero, and returns once it
// is on disk. With an error, what was in force before still is.
func (b *OrderStore) Put(zone string, until, now instant.Time) error {
	var orders []Order
	for _, o := range b.Active(now) {
		if o.Zone != zone {
			orders = append(orders, o)
		}
	}
	if !until.IsZero() {
		orders = append(orders, Order{zone, until})
	}
	f := file{Format: format, Boot: clock.BootID(), Clocks: clock.ReadPair()}
	for _, o := range orders {
		f.Orders = append(f.Orders, fileOrder{o.Zone, f.Clocks.WallOf(o.Until).Time()})
	}
	text, err := json.Marshal(f)
	if err != nil {
		return err
	}
	if err := atomicfile.Replace(b.path, append(text, '\n')); err != nil {
		return err
	}
	b.orders = orders
	return nil
}

// Action is what a line asks for.
type Action string

// The verbs.
const (
	Evacuate Action = "evacuate"
	Restore  Action = "restore"
	Status   Action = "status"
)

// Command is a line that asks for something: "status", "restore ZONE" or "evacuate ZONE TIME".
type Command struct {
	Action   Action
	Zone     string
	Duration time.Duration
}

// ParseCommand reads a line.
func ParseCommand(text string) (l Command, err error) {
	words := strings.Fields(text)
	if len(words) == 0 {
		return l, errors.New("nothing is asked for")
	}
	l.Action = Action(words[0])
	want := map[Action]int{Status: 1, Restore: 2, Evacuate: 3}[l.Action]
	switch {
	case want == 0:
		return l, fmt.Errorf("%q is not evacuate, restore or status", words[0])
	case len(words) != want:
		return l, fmt.Errorf("%s takes %d words, there are %d", l.Action, want-1, len(words)-1)
	}
	if want > 1 {
		l.Zone = words[1]
	}
	if want > 2 {
		if l.Duration, err = time.ParseDuration(words[2]); err != nil || l.Duration <= 0 || l.Duration > most {
			return l, fmt.Errorf("%q is no time above 0 and up to %v, such as \"10m\"", words[2], most)
		}
	}
	return l, nil
}
