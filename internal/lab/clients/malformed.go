package clients

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/lab/history"
)

// malformedTimeout is how long a client with a malformed request waits for an error or a close: a second more than
// the protocol allows the relay.
const malformedTimeout = 4 * time.Second

// malformedRequests are requests that violate the protocol; "" stands for a client that sends nothing.
var malformedRequests = []string{
	"",
	"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
	"POST /",
	"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /no-such-class HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nRequest-Timeout: 1\r\nX-Envelope: dest=0\r\nContent-Length: 0\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: x\r\nRequest-Timeout: 1\r\nX-Envelope: dest=0\r\nContent-Length: 0\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: x\r\nRequest-Id: ID\r\nRequest-Timeout: soon\r\nX-Envelope: dest=0\r\nContent-Length: 0\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: x\r\nRequest-Id: ID\r\nRequest-Timeout: 1\r\nX-Envelope: dest=minus\r\nContent-Length: 0\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: x\r\nRequest-Id: ID\r\nRequest-Timeout: 1\r\nX-Envelope: dest=0\r\nContent-Length: 99999999\r\n\r\n",
	"POST /CLASS HTTP/1.1\r\nHost: x\r\nRequest-Id: ID\r\nRequest-Timeout: 1\r\nX-Envelope: dest=0\r\nContent-Length: 50\r\n\r\nhalf of it",
	"POST /CLASS HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("a", 40<<10) + "\r\n\r\n",
}

// SendMalformed sends malformed requests, and opens silent connections, at a mean rate per second over the given
// relays, until ctx ends.
func (c *Clients) SendMalformed(ctx context.Context, fault int, relays []int, rate float64) {
	rng := c.s.Draws(fmt.Sprintf("crowd %d", fault))
	next := time.Now()
	for n := 1; len(relays) > 0; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		clock.Sleep(ctx, time.Until(next))
		if ctx.Err() != nil {
			return
		}
		relay, text := relays[rng.IntN(len(relays))], malformedRequests[rng.IntN(len(malformedRequests))]
		text = strings.NewReplacer("CLASS", c.s.Classes[0].Name, "ID", fmt.Sprintf("peer-%d-%d", fault, n)).Replace(text)
		c.work.Go(func() { c.sendMalformed(relay, fault*1_000_000+n, text) })
	}
}

// sendMalformed sends one malformed request and records how the relay ends the connection.
func (c *Clients) sendMalformed(relay, no int, text string) {
	raw, err := net.DialTimeout("tcp", c.subnet.Clients(relay), time.Second)
	if err != nil {
		return
	}
	defer raw.Close()
	c.h.Add(history.Event{Kind: history.Peer, Peer: no, Relay: history.IntPtr(relay), Detail: "came"})
	_ = raw.SetDeadline(time.Now().Add(malformedTimeout))
	_, _ = io.WriteString(raw, text)
	var line [12]byte
	n, err := io.ReadFull(raw, line[:])
	what := "closed"
	switch {
	case err == nil:
		what = string(line[9:]) // status code of the answer
	case n == 0 && isTimeout(err):
		what = "left waiting"
	}
	if c.ctx.Err() == nil {
		c.h.Add(history.Event{Kind: history.Peer, Peer: no, Relay: history.IntPtr(relay), Detail: what})
	}
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}
