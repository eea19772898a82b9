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
	Address string   `toml:"address"` // of the agent, a loopback address
	Dir     string   `toml:"folder"`  // for programs and the agent's state
	Program string   `toml:"program"` // the relay's program until the first update
	Listen  string   `toml:"listen"`  // of the relay's clients; the agent keeps the socket open during updates
	Admin   []string `toml:"admin"`   // two addresses for the admin endpoint, which successive processes use in turn
	Env     []string `toml:"env"`     // environment of the relay's processes, with NODE_CONFIG and NODE_STATE
	Log     string   `toml:"log"`     // file that the relay's output is appended to
}

// MissingKeyError says which key a configuration lacks.
type MissingKeyError struct{ Path, Key string }

func (e *MissingKeyError) Error() string { return fmt.Sprintf("%s: %s is missing", e.Path, e.Key) }

// ReadAgentConfig reads the configuration of an agent. An unknown key is an error, a missing one a *MissingKeyError.
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

// missingKey returns the first key that is missing, or "".
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

// setsVariable reports whether an environment has a variable.
func setsVariable(env []string, name string) bool {
	return slices.ContainsFunc(env, func(entry string) bool { return strings.HasPrefix(entry, name+"=") })
}
