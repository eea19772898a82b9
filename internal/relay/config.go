// Package relay runs the decisions of package policy as a relay on sockets: clients hand messages in over
// HTTP, hosts get them over HTTP, and what was taken on outlasts the process in a journal.
package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"time"

	"milletsail/internal/endpoints"
	"milletsail/internal/journal"
	"milletsail/internal/relay/protocol"
	"milletsail/internal/relay/retry"
	"milletsail/internal/settings"
	"milletsail/policy"
)

// Config is what the platform tells a relay in its configuration file.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Admin     string `json:"admin"` // the admin endpoint; empty for none
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"` // hexadecimal
	Limits    Limits `json:"limits"`
	// Notes of other relays come to PeerListen, from their addresses in Peers; PeersAll reaches all of them.
	PeerListen string            `json:"peer_listen"`
	Peers      []string          `json:"peers"`
	PeersAll   string            `json:"peers_all"`
	Settings   settings.Settings `json:"settings"`
	// Durability says what the journal outlasts: DurableProcess, which is the default, or DurablePower.
	Durability string `json:"durability"`

	// Fleet has this relay share what it learns with the others, where notes between relays are allowed, and show it at
	// the admin endpoint. Off by default.
	Fleet bool `json:"fleet"`
	// Zones has this relay decide by zones, and take operators' orders about them at the admin endpoint.
	Zones bool `json:"zones"`
	// Newcomers has endpoints that are new on the list prove themselves before they get their share. Off by default.
	Newcomers bool `json:"newcomers"`
	// Files is what the journal is written to, and Boot what tells one start of the machine from another; none for the
	// system's own. Tests put others in their place.
	Files journal.FS `json:"-"`
	Boot  string     `json:"-"`

	known     knownList
	inherited string // number of the descriptor on which clients are taken; empty to listen

	policy policy.Settings
	seed   int64
}

// What a journal may be told to outlast.
const (
	DurableProcess = "process" // the end of the process in any way: no sync, no cost
	DurablePower   = "power"   // a power loss too: each batch is synced before it is answered or sent
)

// Limits are what the platform grants one relay.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// ReadConfig reads and checks a configuration file.
func ReadConfig(path string) (*Config, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	defer file.Close()
	c := &Config{known: knownList{path: path}}
	err = decodeConfig(file, c, func(b endpoints.Batch) error {
		if b.End {
			c.known.seq = b.Seq
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if admin := os.Getenv("NODE_ADMIN"); admin != "" {
		c.Admin = admin // two processes of an upgrade may share the file, but not the address
	}
	c.inherited = os.Getenv("NODE_FD")
	if durability := os.Getenv("NODE_DURABILITY"); durability != "" {
		c.Durability = durability
	}
	for name, on := range map[string]*bool{"NODE_FLEET": &c.Fleet, "NODE_ZONES": &c.Zones, "NODE_NEWCOMERS": &c.Newcomers} {
		switch v := os.Getenv(name); v {
		case "":
		case "on", "off":
			*on = v == "on"
		default:
			return nil, fmt.Errorf("%s: %q is not \"on\" or \"off\"", name, v)
		}
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Reloads reads the configuration file again for each signal, and gives the address of discovery that it then
// names. A file that can't be used changes nothing.
func Reloads(ctx context.Context, path string, signals <-chan os.Signal) <-chan string {
	addresses := make(chan string)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			c, err := rereadConfig(ctx, path, signals)
			if err != nil {
				slog.Error("configuration not reloaded", "err", err)
				continue
			}
			select {
			case <-ctx.Done():
				return
			case addresses <- c.Discovery:
			}
		}
	}()
	return addresses
}

// reloadTimeout bounds the tries to read a configuration after a signal: what it moves counts as told 4 s after that.
const reloadTimeout = 3 * time.Second

// rereadConfig reads a configuration file again after a signal. One that can't be read may still be being written, or the
// file system may fail for a moment: it is tried again for a while. A further signal meanwhile asks for nothing else.
func rereadConfig(ctx context.Context, path string, signals <-chan os.Signal) (c *Config, err error) {
	policy := retry.Policy{Timeout: reloadTimeout, Interval: folderRetryInterval, OnRetry: func(err error) {
		slog.Warn("configuration can't be read", "error", err)
		select {
		case <-signals:
		default:
		}
	}}
	err = retry.Do(ctx, policy, func() error {
		c, err = ReadConfig(path)
		return err
	})
	return c, err
}

// ReadConfigAtStart is ReadConfig for a process that starts: a file system that fails for a moment refuses no start.
func ReadConfigAtStart(path string) (c *Config, err error) {
	err = retryFolder(context.Background(), folderTimeout, "the configuration", func() error {
		c, err = ReadConfig(path)
		return err
	})
	return c, err
}

func (c *Config) check() error {
	switch {
	case c.Listen == "":
		return errors.New("listen: missing")
	case c.Discovery == "":
		return errors.New("discovery: missing")
	case !(c.Limits.Cores > 0):
		return fmt.Errorf("limits.cores: %v is not above 0", c.Limits.Cores)
	case !(c.Limits.MemoryMB > 0):
		return fmt.Errorf("limits.memory_mb: %v is not above 0", c.Limits.MemoryMB)
	case c.Limits.Sockets < 1:
		return fmt.Errorf("limits.sockets: %d is not above 0", c.Limits.Sockets)
	case !(c.Limits.DiskMB > 0):
		return fmt.Errorf("limits.disk_mb: %v is not above 0", c.Limits.DiskMB)
	case c.Durability != "" && c.Durability != DurableProcess && c.Durability != DurablePower:
		return fmt.Errorf("durability: %q is not %q or %q", c.Durability, DurableProcess, DurablePower)
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	c.seed = int64(seed)
	if c.policy, err = c.Settings.Policy(); err != nil {
		return err
	}
	// In the simulator some deployments are told of changes unasked; on sockets they come to a watch alone.
	c.policy.Subscribe, c.policy.PublishRates, c.policy.Zones, c.policy.CanaryAnalysis = true, c.Fleet, c.Zones, c.Newcomers
	c.policy.MaxBatchBytes = protocol.MaxBodySize - len("[]")
	_, err = policy.New(c.policy, c.seed) // its own check of the settings
	return err
}
