// Package admin is the client of a relay's admin endpoint: each connection carries one command line and one reply.
//
// A call ends within its timeout for connecting, and again within it for the exchange.
package admin

import (
	"io"
	"net"
	"time"
)

// Call sends one command line to the admin endpoint at address and returns the reply unchanged. timeout bounds
// connecting, and then sending and receiving together.
func Call(address, line string, timeout time.Duration) (string, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	reply, err := io.ReadAll(conn)
	return string(reply), err
}
