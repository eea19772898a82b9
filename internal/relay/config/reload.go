package config

import (
	"context"
	"log/slog"
	"os"
	"time"

	"milletsail/internal/relay/retry"
)

// reloadTimeout bounds the attempts to read a configuration after a signal: a new address counts as received 4 s after that.
const reloadTimeout = 3 * time.Second

// Reloads reads the configuration file again for each signal, and sends the address of discovery that it then names. A file
// that can't be used changes nothing. Its goroutine ends with ctx; nobody has to wait for it, since it holds nothing.
func Reloads(ctx context.Context, path string, signals <-chan os.Signal) <-chan string {
	addresses := make(chan string)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			c, err := reload(ctx, path, signals)
			if err != nil {
				slog.Error("configuration not reloaded", "error", err)
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

// reload reads a configuration file again after a signal. One that can't be read may still be being written, or the file
// system may fail for a moment: it is tried again for a while. A further signal meanwhile asks for nothing else.
func reload(ctx context.Context, path string, signals <-chan os.Signal) (c *Config, err error) {
	policy := retry.Policy{Timeout: reloadTimeout, Interval: retry.StorageInterval, OnRetry: func(err error) {
		slog.Warn("configuration can't be read", "error", err)
		select {
		case <-signals:
		default:
		}
	}}
	err = retry.Do(ctx, policy, func() error {
		c, err = Read(path)
		return err
	})
	return c, err
}
