package relay

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
	"milletsail/internal/relay/config"
	"milletsail/internal/relay/frontend"
	"milletsail/internal/relay/handover"
	"milletsail/internal/relay/metrics"
	"milletsail/internal/relay/notifier"
	"milletsail/policy"
)

// fullDisk is the file system, without room as long as a test says so.
type fullDisk struct {
	journal.FS
	full atomic.Bool
}

type fullFile struct {
	journal.File
	disk *fullDisk
}

func (d *fullDisk) Create(path string) (journal.File, error) {
	f, err := d.FS.Create(path)
	return &fullFile{f, d}, err
}

func (f *fullFile) Write(b []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}

// recordedNotifications keep what is enqueued.
type recordedNotifications []journal.Notification

func (r *recordedNotifications) Enqueue(n journal.Notification) { *r = append(*r, n) }

// The platform is told of a message's end once that is on disk, since a process after a kill would else send the message
// on; or once its time is up, when no process does.
func TestNotificationWaitsForRecord(t *testing.T) {
	for _, c := range []struct {
		name   string
		left   time.Duration
		before int // notices while nothing can be written
	}{{"in time", time.Minute, 0}, {"its time is up", -time.Second, 1}} {
		t.Run(c.name, func(t *testing.T) {
			disk := &fullDisk{FS: journal.Disk}
			kept, _, err := journal.Open(t.TempDir(), journal.Options{DiskMB: 3, Files: disk})
			if err != nil {
				t.Fatal(err)
			}
			classes := []policy.Class{{Name: "status", Deadline: time.Minute}}
			d, err := policy.New(policy.Settings{FleetSize: 1, Slots: 1, QueueCapacity: 9, MaxAttempts: 1, Classes: classes}, 1)
			if err != nil {
				t.Fatal(err)
			}
			var queue recordedNotifications
			l := &loop{cfg: &config.Config{}, dispatcher: d, metrics: metrics.New(classes), journal: kept,
				messages: map[string]*message{}, endpoints: endpointListOf(7), notifier: &queue}
			l.cfg.Policy.Classes = classes
			m := &message{Entry: &journal.Entry{ID: "m", Class: "status", Dest: 7, ExpiresAt: clock.Now().Add(c.left)}}
			l.messages["m"] = m
			kept.Accept(m.Entry)
			l.commit(t.Context())
			disk.full.Store(true)
			l.endUndelivered(m, frontend.Response{}, notifier.StatusDeferred, policy.ReasonNoTimeLeft)
			l.commit(t.Context())
			if len(queue) != c.before {
				t.Errorf("%d notices while nothing can be written, want %d", len(queue), c.before)
			}
			disk.full.Store(false)
			l.setWritable(kept.Commit() == nil)
			if len(queue) != 1 {
				t.Errorf("%d notices once it is written", len(queue))
			}
		})
	}
}

// What a journal that could not be written lacks, the process before tells: attempts may have run, and an end stays one.
func TestIncompleteJournalIsReconciled(t *testing.T) {
	e := &journal.Entry{ID: "m", Attempts: []journal.Attempt{{Host: "h1", Ended: true, NotExecuted: true}}}
	handover.LiveMessage{Attempts: 3, PendingNotification: &journal.Notification{ID: "m",
		Status: notifier.StatusDeferred}}.Reconcile(e)
	if len(e.Attempts) != 3 || !e.Attempts[2].Uncertain || e.Attempts[2].NotExecuted || e.PendingNotification == nil {
		t.Errorf("%+v", e)
	}
}
