// Package admin is the client of a relay's admin endpoint. Each connection carries one command line and one reply.
package admin

import (
	"context"
	"io"
	"net"
	"time"
)

// Call sends one command line to the admin endpoint at address and returns the reply unchanged. timeout bounds
// connecting, and separately the exchange after it, so that a call takes at most twice the timeout. A cancelled ctx ends
// connecting, but not the exchange.
func Call(ctx context.Context, address, line string, timeout time.Duration) (string, error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	reply, err := io.ReadAll(conn)
	return string(reply), err
}
