package rollout

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"milletsail/internal/config"
)

// Environment variables that AgentConfig.Env must set.
const (
	configVariable = "NODE_CONFIG"
	stateVariable  = "NODE_STATE"
)

// adminAddresses is the number of addresses in AgentConfig.Admin: two processes run at once during an update.
const adminAddresses = 2

// AgentConfig is the configuration of the agent of one relay.
type AgentConfig struct {
	Relay   int      `toml:"relay"`
	Address string   `toml:"address"` // loopback address on which the agent listens
	Dir     string   `toml:"folder"`  // directory of the stored programs and of the agent's state
	Program string   `toml:"program"` // path of the relay's program until the first update
	Listen  string   `toml:"listen"`  // address for the relay's clients; the agent keeps the socket open during updates
	Admin   []string `toml:"admin"`   // two addresses for the admin endpoint; successive processes alternate between them
	Env     []string `toml:"env"`     // environment of the relay's processes; has to set NODE_CONFIG and NODE_STATE
	Log     string   `toml:"log"`     // file to which the relay's output is appended
}

// MissingKeyError is the error for a configuration file that does not set a required key.
type MissingKeyError struct{ Path, Key string }

func (e *MissingKeyError) Error() string { return fmt.Sprintf("%s: %s is missing", e.Path, e.Key) }

// ReadAgentConfig reads the configuration file of an agent. It returns a *MissingKeyError for a missing key, and another error for
// an unknown key.
func ReadAgentConfig(path string) (*AgentConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var c AgentConfig
	if err := config.Decode(path, text, &c); err != nil {
		return nil, err
	}
	if key := c.missingKey(); key != "" {
		return nil, &MissingKeyError{path, key}
	}
	return &c, nil
}

// missingKey returns the first required key that is not set, or "" if all are.
func (c *AgentConfig) missingKey() string {
	for _, required := range []struct {
		key   string
		isSet bool
	}{
		{"address", c.Address != ""},
		{"folder", c.Dir != ""},
		{"program", c.Program != ""},
		{"listen", c.Listen != ""},
		{"admin: two addresses", len(c.Admin) == adminAddresses},
		{"log", c.Log != ""},
		{"env: " + configVariable, setsVariable(c.Env, configVariable)},
		{"env: " + stateVariable, setsVariable(c.Env, stateVariable)},
	} {
		if !required.isSet {
			return required.key
		}
	}
	return ""
}

// setsVariable reports whether env, a list of NAME=VALUE entries, sets the variable.
func setsVariable(env []string, name string) bool {
	return slices.ContainsFunc(env, func(entry string) bool { return strings.HasPrefix(entry, name+"=") })
}
