package zones

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Action is the first word of a command.
type Action string

// The actions of commands.
const (
	Evacuate Action = "evacuate" // stores an order that evacuates a zone
	Restore  Action = "restore"  // ends the order for a zone
	Status   Action = "status"   // returns the state of the zones
)

// wordCounts holds the number of words of a command by its action, which is the first word.
var wordCounts = map[Action]int{Status: 1, Restore: 2, Evacuate: 3}

// Command is a parsed command: "status", "restore ZONE" or "evacuate ZONE DURATION".
type Command struct {
	Action   Action
	Zone     string        // name of the zone; empty for Status
	Duration time.Duration // duration of the evacuation; 0 unless the action is Evacuate
}

// ParseCommand parses a command of the admin endpoint. The error says what is invalid; its text is part of the reply to the
// operator.
func ParseCommand(text string) (command Command, err error) {
	words := strings.Fields(text)
	if len(words) == 0 {
		return command, errors.New("nothing is asked for")
	}
	command.Action = Action(words[0])
	switch wanted := wordCounts[command.Action]; {
	case wanted == 0:
		return command, fmt.Errorf("%q is not evacuate, restore or status", words[0])
	case len(words) != wanted:
		return command, fmt.Errorf("%s takes %d words, there are %d", command.Action, wanted-1, len(words)-1)
	}
	if command.Action == Status {
		return command, nil
	}
	command.Zone = words[1]
	if command.Action == Restore {
		return command, nil
	}
	command.Duration, err = time.ParseDuration(words[2])
	if err != nil || command.Duration <= 0 || command.Duration > maxDuration {
		return command, fmt.Errorf("%q is no time above 0 and up to %v, such as \"10m\"", words[2], maxDuration)
	}
	return command, nil
}
