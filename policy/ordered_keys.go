package policy

import "slices"

// orderedKeys ensures that messages of ordered classes with the same key are sent one at a time, in the order
// of arrival. It is not safe for concurrent use.
type orderedKeys struct {
	waiting map[string][]*message // messages by key; only the first of each key may be sent
	blocked []*message            // messages that are done, but whose last attempt may still run
}

// add appends a message of an ordered class to those with the same key.
func (k *orderedKeys) add(m *message) {
	if m.class.Ordered && m.Key != "" {
		k.waiting[m.Key] = append(k.waiting[m.Key], m)
	}
}

// allows reports whether a message is the next one with its key, or needs no order.
func (k *orderedKeys) allows(m *message) bool {
	return !m.class.Ordered || m.Key == "" || k.waiting[m.Key][0] == m
}

// block keeps the key of a message blocked although the message is done.
func (k *orderedKeys) block(m *message) {
	if !slices.Contains(k.blocked, m) {
		k.blocked = append(k.blocked, m)
	}
}

// release removes a message, so that the next one with the same key may be sent.
func (k *orderedKeys) release(m *message) {
	k.blocked = remove(k.blocked, m)
	if others := remove(k.waiting[m.Key], m); len(others) > 0 {
		k.waiting[m.Key] = others
	} else {
		delete(k.waiting, m.Key)
	}
}
