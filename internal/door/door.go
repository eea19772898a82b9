// Package door asks relays at their operators' doors: one line a connection, one reply.
//
// It promises that asking ends within the time that is given for connecting, and again for the reply.
package door

import (
	"io"
	"net"
	"time"
)

// Ask puts one line to the door at an address, and gives the reply as it came.
func Ask(address, line string, within time.Duration) (string, error) {
	c, err := net.DialTimeout("tcp", address, within)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	reply, err := io.ReadAll(c)
	return string(reply), err
}
