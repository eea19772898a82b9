package relays

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"milletsail/internal/clock"
	"milletsail/internal/lab/history"
)

// FlipBits flips bits in the newest journal segment of a relay that is down, at positions drawn from the seed.
func (r *Relay) FlipBits(dir string, fault, bits int) error {
	found, err := filepath.Glob(filepath.Join(dir, "segment-*"))
	if err != nil || len(found) == 0 {
		return errors.Join(err, fmt.Errorf("relay %d: no journal segment to damage in %s", r.No, dir))
	}
	path := found[len(found)-1]
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	draws := r.fleet.s.Draws(fmt.Sprintf("turn %d %d", fault, r.No))
	for range bits {
		raw[draws.IntN(len(raw))] ^= 1 << draws.IntN(8)
	}
	r.fleet.h.Add(history.Event{Kind: history.Relay, Relay: history.IntPtr(r.No), Detail: "turned", Bytes: bits})
	return os.WriteFile(path, raw, 0o600)
}

// FillDisk simulates a full disk for a while: the file size limit of the relay's process is set to 0. That needs no
// privileges and no file system of the lab's own.
func (r *Relay) FillDisk(ctx context.Context, d time.Duration) error {
	p := r.servingProcess()
	if p == nil {
		return nil
	}
	limit := func(soft uint64) error {
		var old unix.Rlimit
		if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, nil, &old); err != nil {
			return err
		}
		return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: min(soft, old.Max), Max: old.Max}, nil)
	}
	r.recordEvent("full")
	if err := limit(0); err != nil {
		return fmt.Errorf("relay %d: setting the file size limit to 0: %w", r.No, err)
	}
	clock.Sleep(ctx, d)
	r.recordEvent("room")
	if err := limit(unix.RLIM_INFINITY); err != nil && !errors.Is(err, unix.ESRCH) {
		return fmt.Errorf("relay %d: removing the file size limit: %w", r.No, err)
	}
	return nil
}

// SyncedFile is the file in a relay's temporary directory in which a relay built from package faulty records what
// would survive a power loss: a JSON object with the durable size of each durable file by name.
const SyncedFile = "synced.json"

// LosePower truncates or removes the journal segments in the state directory of a relay that is down, so that only
// synced data remains.
func (r *Relay) LosePower(dir string) error {
	text, err := os.ReadFile(filepath.Join(r.dir, "tmp", SyncedFile))
	if err != nil {
		return fmt.Errorf("relay %d: power loss needs a relay that records its syncs: %w", r.No, err)
	}
	var kept map[string]int64
	if err := json.Unmarshal(text, &kept); err != nil {
		return err
	}
	r.recordEvent("power lost")
	files, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, f := range files {
		path := filepath.Join(dir, f.Name())
		size, ok := kept[f.Name()]
		switch {
		case !strings.HasPrefix(f.Name(), "segment-"):
		case !ok:
			err = errors.Join(err, os.Remove(path))
		default:
			if info, failed := f.Info(); failed == nil && info.Size() > size {
				err = errors.Join(err, os.Truncate(path, size))
			}
		}
	}
	return err
}
