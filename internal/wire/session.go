package wire

import (
	"bytes"
	"encoding/json"
	"fmt"

	"milletsail/internal/instant"
	"milletsail/internal/settings"
	"milletsail/policy"
)

// instance is one simulated relay with its events of the current batch.
type instance struct {
	dispatcher *policy.Dispatcher
	events     []policy.Event
	scheduled  bool // whether the instance is in session.schedule
}

// session is the state of the conversation with the simulator: the running instances and the current batch.
type session struct {
	instances map[int64]*instance         // running instances, by their number
	lists     map[int64][]policy.Endpoint // endpoint lists that the simulator has sent, by their number
	now       instant.Time                // time of the current batch by the simulator's clock
	schedule  []int64                     // numbers of the instances with events in this batch, in the order of their first event
	crashes   []crash                     // instances that could not be started in this batch
}

// crash reports an instance that could not be started.
type crash struct {
	id     int64
	reason string
}

func newSession() *session {
	return &session{instances: map[int64]*instance{}, lists: map[int64][]policy.Endpoint{}}
}

// readLine processes one line from the simulator and reports whether it ended the batch.
func (s *session) readLine(line []byte) (batchEnded bool, err error) {
	var values []json.RawMessage
	if err := json.Unmarshal(line, &values); err != nil {
		return false, fmt.Errorf("line is not a JSON array: %w", err)
	}
	fields := &fieldReader{values: values}
	name := fields.text(0)
	switch name {
	case "round":
		s.now = instant.Time(fields.seconds(1)) // the simulator's clock starts at 0
	case "your_turn":
		return true, fields.err
	case "manifest":
		s.lists[fields.integer(1)] = fields.endpoints(2)
	case "begin":
		s.start(fields)
	case "killed":
		delete(s.instances, fields.integer(1))
	default:
		if event := s.decodeEvent(name, fields); event != nil && fields.err == nil {
			s.enqueue(fields.integer(1), event)
		}
	}
	if fields.err != nil {
		return false, fmt.Errorf("%s: %w", name, fields.err)
	}
	return false, nil
}

// enqueue adds an event to the current batch of instance id. Events for instances that don't run are dropped.
func (s *session) enqueue(id int64, event policy.Event) {
	target := s.instances[id]
	if target == nil {
		return
	}
	target.events = append(target.events, event)
	if !target.scheduled {
		target.scheduled = true
		s.schedule = append(s.schedule, id)
	}
}

// start starts the instance that a "begin" line describes. An instance with invalid settings is reported as crashed.
func (s *session) start(fields *fieldReader) {
	id, seed := fields.integer(1), fields.integer(2)
	var decoded settings.Settings
	fields.decode(3, &decoded)
	if fields.err != nil {
		return
	}
	dispatcher, err := newDispatcher(&decoded, seed)
	if err != nil {
		delete(s.instances, id)
		s.crashes = append(s.crashes, crash{id, err.Error()})
		return
	}
	s.instances[id] = &instance{dispatcher: dispatcher}
}

// newDispatcher returns a dispatcher with the given settings and random seed.
func newDispatcher(decoded *settings.Settings, seed int64) (*policy.Dispatcher, error) {
	converted, err := decoded.Policy()
	if err != nil {
		return nil, err
	}
	return policy.New(converted, seed)
}

// reply has each instance handle its events of the batch, and returns the reply: their actions and the instances that crashed.
func (s *session) reply() []byte {
	var reply bytes.Buffer
	for _, crashed := range s.crashes {
		writeLine(&reply, "die", crashed.id, crashed.reason)
	}
	for _, id := range s.schedule {
		if scheduled := s.instances[id]; scheduled != nil && scheduled.scheduled {
			scheduled.scheduled = false
			s.handleEvents(&reply, id, scheduled)
		}
	}
	s.schedule, s.crashes = s.schedule[:0], s.crashes[:0]
	writeLine(&reply, "ready")
	return reply.Bytes()
}

// handleEvents has one instance handle its events and writes its actions to the reply. If the dispatcher panics, the instance is
// reported as crashed instead, and none of its actions are written.
func (s *session) handleEvents(reply *bytes.Buffer, id int64, scheduled *instance) {
	start := reply.Len()
	defer func() {
		if cause := recover(); cause != nil {
			reply.Truncate(start)
			writeLine(reply, "die", id, fmt.Sprint("panic: ", cause))
		}
	}()
	events := scheduled.events
	scheduled.events = nil
	for _, action := range scheduled.dispatcher.Handle(s.now, events) {
		writeAction(reply, id, action)
	}
}
