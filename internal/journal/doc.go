// Package journal is the write-ahead log of the requests that a relay has accepted.
//
// The log is a directory of segments. Each segment begins with a snapshot of the live entries, the requests that have not
// completed, followed by one record for each change. Compaction writes a new segment that replaces the older ones.
//
// What Commit guarantees once it has returned nil depends on the configured durability:
//   - Durability Process: records survive any end of the process, including SIGKILL. After a reboot, recognized by a
//     changed boot ID, records may be missing, so every live entry without a pending notification gets an uncertain attempt.
//   - Durability Power: records survive a power loss as well. A failed fsync is never retried on the same file, because
//     the kernel may have dropped the dirty pages: the live entries are written to a new segment, and nothing is
//     accepted until that segment is durable.
//
// Open recovers from damaged files: it fails only for a directory that a newer program wrote or that belongs to another
// relay, and for errors of the file system. A torn record at the end is dropped. A damaged range in front of valid
// records is quarantined and the valid records are replayed. An entry whose attempts may be missing gets an uncertain
// attempt, so that it is retried only as far as its idempotency class permits.
package journal
