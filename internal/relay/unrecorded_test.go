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

// fullDisk is a file system on which writes fail with ENOSPC while full is set.
type fullDisk struct {
	journal.FS
	full atomic.Bool
}

// fullFile is an open file of a fullDisk.
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

// recordedNotifications is a notificationQueue that keeps all notifications.
type recordedNotifications []journal.Notification

func (r *recordedNotifications) Enqueue(n journal.Notification) { *r = append(*r, n) }

// Guards against a notification that is posted before the end of its message is on disk: after a crash the next process would
// send the message all the same. Once the message has expired no process sends it, so its notification need not wait.
func TestNotificationWaitsForRecord(t *testing.T) {
	for _, c := range []struct {
		name   string
		left   time.Duration
		before int // notifications while the journal can't be written
	}{{"before expiry", time.Minute, 0}, {"after expiry", -time.Second, 1}} {
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
				t.Errorf("%d notifications while the journal can't be written, want %d", len(queue), c.before)
			}
			disk.full.Store(false)
			l.setWritable(kept.Commit() == nil)
			if len(queue) != 1 {
				t.Errorf("%d notifications after the journal was written, want 1", len(queue))
			}
		})
	}
}

// Guards against a successor that trusts an incomplete journal: attempts that only the predecessor knows of may have been
// executed, and a message that has ended there must not be sent again.
func TestIncompleteJournalIsReconciled(t *testing.T) {
	e := &journal.Entry{ID: "m", Attempts: []journal.Attempt{{Host: "h1", Ended: true, NotExecuted: true}}}
	handover.LiveMessage{Attempts: 3, PendingNotification: &journal.Notification{ID: "m",
		Status: notifier.StatusDeferred}}.Reconcile(e, nil)
	if len(e.Attempts) != 3 || !e.Attempts[2].Uncertain || e.Attempts[2].NotExecuted || e.PendingNotification == nil {
		t.Errorf("reconciled entry is %+v, want three attempts, the last of them uncertain, and a pending notification", e)
	}
}
