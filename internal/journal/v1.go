package journal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
)

// The form of before, format 1: one file "journal" of records with a head (lengths of the JSON and of the body, and
// their checksum, big-endian), JSON and body. It is read to be carried over, and written to go back.

const v1Head = 12

type recordV1 struct {
	Op     string          `json:"op"`
	Entry  *entryV1        `json:"entry,omitempty"`
	ID     string          `json:"id,omitempty"`
	Host   string          `json:"host,omitempty"`
	At     time.Time       `json:"at,omitzero"`
	Unrun  bool            `json:"unrun,omitempty"`
	Notice *Notification   `json:"notice,omitempty"`
	Health *healthV1       `json:"health,omitempty"`
	List   json.RawMessage `json:"list,omitempty"`
	Hosts  int             `json:"hosts,omitempty"`
}

type healthV1 struct {
	Sick bool      `json:"sick,omitempty"`
	At   time.Time `json:"at,omitzero"`
}

type entryV1 struct {
	ID      string    `json:"id"`
	Class   string    `json:"class,omitempty"`
	Dest    int       `json:"dest,omitempty"`
	Key     string    `json:"key,omitempty"`
	Expires time.Time `json:"expires,omitzero"`
}

// replayV1 applies the records of a file, and returns how many bytes at its end can't be read, and whether they are
// the begin of a record that was never finished.
func (s *state) replayV1(raw []byte, report *Report) (rest int, torn bool) {
	for len(raw) > 0 {
		v, body, n, err := readV1(raw)
		if err != nil {
			return len(raw), errors.Is(err, errTorn)
		}
		report.LastSequence++
		report.Records++
		if r := v.now(s, report.LastSequence); r.op != 0 {
			if r.entry != nil {
				r.entry.Body = body
			}
			s.apply(&r)
		}
		raw = raw[n:]
	}
	return 0, false
}

// now gives a record in today's terms.
func (v *recordV1) now(s *state, seq uint64) (r record) {
	switch {
	case v.Op == "taken" && v.Entry != nil:
		e := v.Entry
		return record{op: opTaken, ref: seq, entry: &Entry{ID: e.ID, Class: e.Class, Dest: e.Dest, Key: e.Key, ExpiresAt: instantV1(e.Expires)}}
	case v.Op == "health" && v.Health != nil:
		return record{op: opHealth, host: v.Host, flag: v.Health.Sick, at: instantV1(v.Health.At)}
	case v.Op == "list" && v.List != nil:
		return record{op: opList, list: LegacyEndpointList{v.List, v.Hosts}}
	}
	e := s.entries[v.ID]
	if e == nil {
		return r
	}
	r.ref = e.ref
	switch {
	case v.Op == "begun":
		r.op, r.host, r.at = opBegun, v.Host, instantV1(v.At)
	case v.Op == "ended":
		r.op, r.flag = opEnded, v.Unrun
	case v.Op == "owed" && v.Notice != nil:
		r.op, r.notice = opOwed, *v.Notice
	case v.Op == "over":
		r.op = opOver
	}
	return r
}

var errTorn = errors.New("torn record")

// readV1 reads the first record of raw and returns its length.
func readV1(raw []byte) (r recordV1, body []byte, n int, err error) {
	if len(raw) < v1Head {
		return r, nil, 0, errTorn
	}
	text, rest := uint64(binary.BigEndian.Uint32(raw)), uint64(binary.BigEndian.Uint32(raw[4:]))
	if text+rest > maxRecord {
		return r, nil, 0, errors.New("bad lengths")
	}
	if n = v1Head + int(text+rest); n > len(raw) {
		return r, nil, 0, errTorn
	}
	sum := crc32.Update(crc32.Checksum(raw[:8], castagnoli), castagnoli, raw[v1Head:n])
	if sum != binary.BigEndian.Uint32(raw[8:]) {
		return r, nil, 0, errors.New("bad checksum")
	}
	if err = json.Unmarshal(raw[v1Head:v1Head+int(text)], &r); err != nil {
		return r, nil, 0, fmt.Errorf("record: %w", err)
	}
	return r, slices.Clone(raw[v1Head+int(text) : n]), n, nil
}

// appendV1 adds a record to b.
func appendV1(b []byte, r recordV1, body []byte) ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return b, err
	}
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = append(b, 0, 0, 0, 0)
	b = append(append(b, text...), body...)
	sum := crc32.Update(crc32.Checksum(b[start:start+8], castagnoli), castagnoli, b[start+v1Head:])
	binary.BigEndian.PutUint32(b[start+8:], sum)
	return b, nil
}

// instantV1 reads a time of that form, which knows the wall clock alone: rebase has to follow.
func instantV1(t time.Time) instant.Time {
	if t.IsZero() {
		return 0
	}
	return unknownPair.InstantOf(boundedWall(t.UnixNano()))
}

// encodeV1 gives a state in the form of before.
func (s *state) encodeV1() (b []byte, err error) {
	clocks := clock.ReadPair()
	add := func(r recordV1, body []byte) {
		var failed error
		b, failed = appendV1(b, r, body)
		err = errors.Join(err, failed)
	}
	for _, e := range s.all() {
		add(recordV1{Op: "taken", Entry: &entryV1{e.ID, e.Class, e.Dest, e.Key, wallTime(clocks, e.ExpiresAt)}}, e.Body)
		for _, a := range e.Attempts {
			add(recordV1{Op: "begun", ID: e.ID, Host: a.Host, At: wallTime(clocks, a.StartedAt)}, nil)
			if a.Ended {
				add(recordV1{Op: "ended", ID: e.ID, Unrun: a.NotExecuted}, nil)
			}
		}
		if e.PendingNotification != nil {
			add(recordV1{Op: "owed", ID: e.ID, Notice: e.PendingNotification}, nil)
		}
	}
	if s.list.Text != nil {
		add(recordV1{Op: "list", List: s.list.Text, Hosts: s.list.Endpoints}, nil)
	}
	for host, h := range s.health {
		add(recordV1{Op: "health", Host: host, Health: &healthV1{h.Ejected, wallTime(clocks, h.ChangedAt)}}, nil)
	}
	return b, err
}
