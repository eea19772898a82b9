// Package config reads the configuration file that the platform gives a relay.
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

// Config is what the platform tells a relay.
type Config struct {
	// Name is the relay's.
	Name string `json:"name"`
	// Listen is the address for clients.
	Listen string `json:"listen"`
	// Admin is the address of the admin endpoint; empty for none.
	Admin string `json:"admin"`
	// Discovery is the address of discovery, which also receives notifications.
	Discovery string `json:"discovery"`
	// Seed of random decisions, hexadecimal.
	Seed string `json:"seed"`
	// Limits are the resources of the relay.
	Limits Limits `json:"limits"`
	// PeerListen is the address at which gossip arrives.
	PeerListen string `json:"peer_listen"`
	// Peers are the addresses from which the relays of the fleet send gossip, by ordinal.
	Peers []string `json:"peers"`
	// PeersAll is the address that reaches all other relays.
	PeersAll string `json:"peers_all"`
	// Settings are the policy's and the protocol's.
	Settings settings.Settings `json:"settings"`
	// Durability says what the journal survives: DurabilityProcess, which is the default, or DurabilityPower.
	Durability string `json:"durability"`

	// Fleet has this relay share what it learns with the others, where gossip is allowed, and show it at the admin endpoint.
	// Off by default.
	Fleet bool `json:"fleet"`
	// Zones has this relay decide by zones, and accept operators' orders about them at the admin endpoint.
	Zones bool `json:"zones"`
	// CanaryAnalysis has endpoints that are new on the list pass canary analysis before they get their share. Off by default.
	CanaryAnalysis bool `json:"newcomers"`

	// Files is what the journal is written to, and Boot what distinguishes one boot of the machine from another; none for the
	// system's own. Tests replace them.
	Files journal.FS `json:"-"`
	// Boot is described at Files.
	Boot string `json:"-"`

	// KnownEndpoints is the endpoint list in the file.
	KnownEndpoints EndpointSource `json:"-"`
	// InheritedSocket is the number of the descriptor on which clients are accepted; empty to listen.
	InheritedSocket string `json:"-"`
	// Policy is what Settings give the policy.
	Policy policy.Settings `json:"-"`
	// RandomSeed is the number that Seed stands for.
	RandomSeed int64 `json:"-"`
}

// What a journal may be configured to survive.
const (
	// DurabilityProcess survives the end of the process in any way: no sync, no cost.
	DurabilityProcess = "process"
	// DurabilityPower survives a power loss too: each batch is synced before it is answered or sent.
	DurabilityPower = "power"
)

// Limits are what the platform grants one relay.
type Limits struct {
	// Cores is processor time.
	Cores float64 `json:"cores"`
	// MemoryMB is in megabytes.
	MemoryMB float64 `json:"memory_mb"`
	// Sockets counts all descriptors.
	Sockets int `json:"sockets"`
	// DiskMB is in megabytes.
	DiskMB float64 `json:"disk_mb"`
}

// The environment variables that take the place of settings in the file.
const (
	// adminVariable is the address of the admin endpoint: two processes of an upgrade may share the file, but not the address.
	adminVariable = "NODE_ADMIN"
	// socketVariable is the number of an inherited socket.
	socketVariable = "NODE_FD"
	// durabilityVariable is that of Durability.
	durabilityVariable = "NODE_DURABILITY"
	// fleetVariable is "on" or "off", as the next two are.
	fleetVariable  = "NODE_FLEET"
	zonesVariable  = "NODE_ZONES"
	canaryVariable = "NODE_NEWCOMERS"
)

// Read reads and checks a configuration file, and the environment.
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

// ReadAtStart is Read for a process that starts: a file system that fails for a moment refuses no start.
func ReadAtStart(path string) (c *Config, err error) {
	err = retry.Storage(context.Background(), retry.StorageTimeout, "read configuration", func() error {
		c, err = Read(path)
		return err
	})
	return c, err
}

// applyEnvironment takes over what environment variables say.
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
			return fmt.Errorf("%s: %q is not \"on\" or \"off\"", name, value)
		}
	}
	return nil
}

// validate checks the configuration and derives the policy's settings.
func (config *Config) validate() error {
	switch {
	case config.Listen == "":
		return errors.New("listen: missing")
	case config.Discovery == "":
		return errors.New("discovery: missing")
	case !(config.Limits.Cores > 0):
		return fmt.Errorf("limits.cores: %v is not above 0", config.Limits.Cores)
	case !(config.Limits.MemoryMB > 0):
		return fmt.Errorf("limits.memory_mb: %v is not above 0", config.Limits.MemoryMB)
	case config.Limits.Sockets < 1:
		return fmt.Errorf("limits.sockets: %d is not above 0", config.Limits.Sockets)
	case !(config.Limits.DiskMB > 0):
		return fmt.Errorf("limits.disk_mb: %v is not above 0", config.Limits.DiskMB)
	case config.Durability != "" && config.Durability != DurabilityProcess && config.Durability != DurabilityPower:
		return fmt.Errorf("durability: %q is not %q or %q", config.Durability, DurabilityProcess, DurabilityPower)
	}
	seed, err := strconv.ParseUint(config.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	config.RandomSeed = int64(seed)
	if config.Policy, err = config.Settings.Policy(); err != nil {
		return err
	}
	// In the simulator some deployments learn of changes unasked; on sockets they come to a watch alone.
	config.Policy.Subscribe = true
	config.Policy.PublishRates = config.Fleet
	config.Policy.Zones = config.Zones
	config.Policy.CanaryAnalysis = config.CanaryAnalysis
	config.Policy.MaxBatchBytes = protocol.MaxBodySize - len("[]")
	_, err = policy.New(config.Policy, config.RandomSeed) // its own check of the settings
	return err
}
