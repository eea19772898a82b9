package policy

import "slices"

// orderedKeys lets the messages of ordered classes with the same key be sent one at a time, in the order of
// arrival. It belongs to one dispatcher and is not safe for concurrent use.
type orderedKeys struct {
	waiting map[string][]*message // by key, the one that may be sent first
	blocked []*message            // done, but an attempt of theirs may still run
}

// add adds a message to those of its key.
func (k *orderedKeys) add(m *message) {
	if m.class.Ordered && m.Key != "" {
		k.waiting[m.Key] = append(k.waiting[m.Key], m)
	}
}

// allows reports whether a message is the next of its key.
func (k *orderedKeys) allows(m *message) bool {
	return !m.class.Ordered || m.Key == "" || k.waiting[m.Key][0] == m
}

// block keeps the key of a message that is done.
func (k *orderedKeys) block(m *message) {
	if !slices.Contains(k.blocked, m) {
		k.blocked = append(k.blocked, m)
	}
}

// release lets the next message of the same key be sent.
func (k *orderedKeys) release(m *message) {
	k.blocked = remove(k.blocked, m)
	if others := remove(k.waiting[m.Key], m); len(others) > 0 {
		k.waiting[m.Key] = others
	} else {
		delete(k.waiting, m.Key)
	}
}
