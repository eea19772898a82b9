package config

import (
	"context"
	"log/slog"
	"os"
	"time"

	"milletsail/internal/relay/retry"
)

// reloadTimeout bounds the attempts to read the configuration after a signal. It leaves a reserve, since a new address has to be
// in effect 4 s after the signal.
const reloadTimeout = 3 * time.Second

// Reloads reads the configuration file again after each signal, and sends the address of the discovery service in it to the
// returned channel. A file that can't be used is logged and ignored. The goroutine that does this ends with ctx; callers need not
// wait for it, since it holds no resources.
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

// reload reads the configuration file after a signal. It retries for up to reloadTimeout, because the file may be only partly
// written or the file system may fail briefly. It discards signals that arrive before a retry, which reads the newest file
// anyway.
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
