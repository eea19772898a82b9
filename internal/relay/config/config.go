// Package config reads a relay's configuration file, and the environment variables that override parts of it.
package config

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"

	"milletsail/internal/endpoints"
	"milletsail/internal/journal"
	"milletsail/internal/relay/protocol"
	"milletsail/internal/relay/retry"
	"milletsail/internal/settings"
	"milletsail/policy"
)

// Config is the configuration of a relay. Its JSON form is the configuration file; Read derives the fields without a JSON name.
type Config struct {
	// Name is the name of the relay.
	Name string `json:"name"`
	// Listen is the address at which the relay accepts clients.
	Listen string `json:"listen"`
	// Admin is the address of the admin endpoint; empty for none.
	Admin string `json:"admin"`
	// Discovery is the address of the discovery service, which also receives notifications.
	Discovery string `json:"discovery"`
	// Seed is the seed of the policy's random decisions, a hexadecimal number of at most 64 bits.
	Seed string `json:"seed"`
	// Limits are the resources that the relay may use.
	Limits Limits `json:"limits"`
	// PeerListen is the address at which the relay receives gossip.
	PeerListen string `json:"peer_listen"`
	// Peers are the addresses from which the relays of the fleet send gossip, indexed by the relays' ordinals.
	Peers []string `json:"peers"`
	// PeersAll is the address to which gossip for all other relays is sent.
	PeersAll string `json:"peers_all"`
	// Settings are the settings of the policy and of the protocol with clients and endpoints.
	Settings settings.Settings `json:"settings"`
	// Durability is DurabilityProcess or DurabilityPower; empty stands for DurabilityProcess.
	Durability string `json:"durability"`

	// Fleet makes this relay share its observations with the other relays, if the settings allow gossip, and show them at the
	// admin endpoint. It is off by default.
	Fleet bool `json:"fleet"`
	// Zones makes the policy take zones into account and the admin endpoint accept operators' commands about zones. It is off by
	// default.
	Zones bool `json:"zones"`
	// CanaryAnalysis makes endpoints that are new on the list pass canary analysis before they get their share of calls. It is
	// off by default.
	CanaryAnalysis bool `json:"newcomers"`

	// Files is the file system that the journal is written to; nil for the machine's own. Tests replace it.
	Files journal.FS `json:"-"`
	// SetSoftMemoryLimit sets the soft memory limit of the runtime in bytes; nil leaves it as it is. Tests that run relays in their
	// own process leave it nil.
	SetSoftMemoryLimit func(bytes int64) `json:"-"`
	// Boot identifies the current boot of the machine; empty to use the kernel's boot id. Tests replace it.
	Boot string `json:"-"`

	// KnownEndpoints locates the endpoint list in the configuration file, which is read when it is needed.
	KnownEndpoints EndpointSource `json:"-"`
	// InheritedSocket is the number of an inherited descriptor on which clients are accepted; empty to listen at Listen.
	InheritedSocket string `json:"-"`
	// Policy are the policy's settings, derived from Settings and the fields above.
	Policy policy.Settings `json:"-"`
	// RandomSeed is Seed as a number.
	RandomSeed int64 `json:"-"`
}

// Values of Config.Durability.
const (
	// DurabilityProcess makes the journal survive any end of the process, but not a power loss. It is never synced to the disk,
	// which costs no time.
	DurabilityProcess = "process"
	// DurabilityPower makes the journal survive a power loss too: each batch is synced to the disk before its messages are
	// answered or sent.
	DurabilityPower = "power"
)

// Limits are the resources that one relay may use.
type Limits struct {
	// Cores is the processor time, in cores.
	Cores float64 `json:"cores"`
	// MemoryMB is the memory in megabytes.
	MemoryMB float64 `json:"memory_mb"`
	// Sockets is the number of open descriptors of any kind.
	Sockets int `json:"sockets"`
	// DiskMB is the disk space in the state directory, in megabytes.
	DiskMB float64 `json:"disk_mb"`
}

// Environment variables that override the configuration file.
const (
	// adminVariable overrides Config.Admin: the two processes of an upgrade may share a file, but not the address.
	adminVariable = "NODE_ADMIN"
	// socketVariable sets Config.InheritedSocket.
	socketVariable = "NODE_FD"
	// durabilityVariable overrides Config.Durability.
	durabilityVariable = "NODE_DURABILITY"
	// fleetVariable overrides Config.Fleet with "on" or "off".
	fleetVariable = "NODE_FLEET"
	// zonesVariable overrides Config.Zones with "on" or "off".
	zonesVariable = "NODE_ZONES"
	// canaryVariable overrides Config.CanaryAnalysis with "on" or "off".
	canaryVariable = "NODE_NEWCOMERS"
)

// Read reads a configuration file, applies the environment variables and validates the result.
func Read(path string) (*Config, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	defer func() { _ = file.Close() }()
	config := &Config{KnownEndpoints: EndpointSource{Path: path}}
	err = decode(file, config, func(b endpoints.Batch) error {
		if b.End {
			config.KnownEndpoints.Version = b.Seq
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if err := config.applyEnvironment(); err != nil {
		return nil, err
	}
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return config, nil
}

// ReadAtStart calls Read and retries it for up to retry.StorageTimeout, so that a brief failure of the file system does not
// prevent the process from starting.
func ReadAtStart(path string) (c *Config, err error) {
	err = retry.Storage(context.Background(), retry.StorageTimeout, "read configuration", func() error {
		c, err = Read(path)
		return err
	})
	return c, err
}

// applyEnvironment overrides the configuration with the values of the environment variables that are set.
func (config *Config) applyEnvironment() error {
	if admin := os.Getenv(adminVariable); admin != "" {
		config.Admin = admin
	}
	config.InheritedSocket = os.Getenv(socketVariable)
	if durability := os.Getenv(durabilityVariable); durability != "" {
		config.Durability = durability
	}
	for name, on := range map[string]*bool{fleetVariable: &config.Fleet, zonesVariable: &config.Zones,
		canaryVariable: &config.CanaryAnalysis} {
		switch value := os.Getenv(name); value {
		case "":
		case "on", "off":
			*on = value == "on"
		default:
			return fmt.Errorf("environment variable %s: got %q, expected \"on\" or \"off\"", name, value)
		}
	}
	return nil
}

// validate checks the configuration and derives Policy and RandomSeed.
func (config *Config) validate() error {
	switch {
	case config.Listen == "":
		return errors.New("listen: no address configured")
	case config.Discovery == "":
		return errors.New("discovery: no address configured")
	case !(config.Limits.Cores > 0):
		return fmt.Errorf("limits.cores: got %v, expected a value above 0", config.Limits.Cores)
	case !(config.Limits.MemoryMB > 0):
		return fmt.Errorf("limits.memory_mb: got %v, expected a value above 0", config.Limits.MemoryMB)
	case config.Limits.Sockets < 1:
		return fmt.Errorf("limits.sockets: got %d, expected a value above 0", config.Limits.Sockets)
	case !(config.Limits.DiskMB > 0):
		return fmt.Errorf("limits.disk_mb: got %v, expected a value above 0", config.Limits.DiskMB)
	case config.Durability != "" && config.Durability != DurabilityProcess && config.Durability != DurabilityPower:
		return fmt.Errorf("durability: got %q, expected %q or %q", config.Durability, DurabilityProcess, DurabilityPower)
	}
	seed, err := strconv.ParseUint(config.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: expected a hexadecimal number: %w", err)
	}
	config.RandomSeed = int64(seed)
	if config.Policy, err = config.Settings.Policy(); err != nil {
		return err
	}
	// The relay learns of changed endpoints only by a watch, also if the settings have the discovery mode "automatic". In the
	// simulator, that mode sends changes without a watch.
	config.Policy.Subscribe = true
	config.Policy.PublishRates = config.Fleet
	config.Policy.Zones = config.Zones
	config.Policy.CanaryAnalysis = config.CanaryAnalysis
	config.Policy.MaxBatchBytes = protocol.MaxBodySize - len("[]")
	_, err = policy.New(config.Policy, config.RandomSeed) // validates config.Policy
	return err
}
