package zones

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Action is what a command asks for.
type Action string

// The actions.
const (
	Evacuate Action = "evacuate"
	Restore  Action = "restore"
	Status   Action = "status"
)

// fields holds the number of words of a command with an action, the action included.
var fields = map[Action]int{Status: 1, Restore: 2, Evacuate: 3}

// Command is a parsed command: "status", "restore ZONE" or "evacuate ZONE DURATION".
type Command struct {
	Action   Action
	Zone     string        // unless Status
	Duration time.Duration // of Evacuate
}

// ParseCommand parses a command. The error says which word is invalid; its text is the reply at the admin endpoint.
func ParseCommand(text string) (command Command, err error) {
	words := strings.Fields(text)
	if len(words) == 0 {
		return command, errors.New("nothing is asked for")
	}
	command.Action = Action(words[0])
	switch wanted := fields[command.Action]; {
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
