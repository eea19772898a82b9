package overload

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// largestBody is the largest body that the protocol allows.
	largestBody = 64 << 10
	// largeHead is the size of a large request head, under the relay's limit of 16 KiB.
	largeHead = 15 << 10
	// missingBytes is what a peer leaves out at the end of a large body.
	missingBytes = 512
	// errorDeadline is the time within which a peer that sends no proper request gets an error or a close.
	errorDeadline = 3 * time.Second
	// peerTime is how long a peer stays.
	peerTime = 4 * time.Second
	// trickleInterval is the time between two bytes of a peer that trickles.
	trickleInterval = 100 * time.Millisecond
)

// form is what a peer sends of a request that it never completes.
type form struct {
	name     string
	request  func(id string) string
	trickles bool // sends the rest a byte at a time
}

// requestHead returns the head of a request without the empty line at its end.
func requestHead(class, id string, bodySize int) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nIdempotency-Key: %s\r\n"+
		"Request-Timeout: %.3f\r\nContent-Length: %d\r\nX-Envelope: dest=1\r\n", class, id, id, messageTimeout.Seconds(), bodySize)
}

// shortFields returns header fields of five bytes each that fill a head up to largeHead.
func shortFields(head string) string {
	return strings.Repeat("a:\r\n", (largeHead-len(head))/len("a:\r\n"))
}

// forms are the unfinished requests of a crowd.
var forms = []form{
	{name: "nothing", request: func(string) string { return "" }},
	{name: "most of a body", request: func(id string) string {
		return requestHead(keyedClass, id, largestBody) + "\r\n" + strings.Repeat("x", largestBody-missingBytes)
	}},
	{name: "head of short fields, one byte", request: func(id string) string {
		head := requestHead(keyedClass, id, largestBody)
		return head + shortFields(head) + "\r\nx"
	}},
	{name: "head of short fields without end", request: func(id string) string {
		head := requestHead(keyedClass, id, largestBody)
		return head + shortFields(head)
	}},
	{name: "head of short fields, most of a body", request: func(id string) string {
		head := requestHead(keyedClass, id, largestBody)
		return head + shortFields(head) + "\r\n" + strings.Repeat("x", largestBody-missingBytes)
	}},
	{name: "head of long fields without end", request: func(id string) string {
		return requestHead(keyedClass, id, largestBody) + strings.Repeat("Long: "+strings.Repeat("y", 1000)+"\r\n", 14)
	}, trickles: true},
	{name: "head of short fields, most of a body, trickling", request: func(id string) string {
		head := requestHead(keyedClass, id, largestBody)
		return head + shortFields(head) + "\r\n" + strings.Repeat("x", largestBody-missingBytes)
	}, trickles: true},
	{name: "most of a body, trickling", request: func(id string) string {
		return requestHead(keyedClass, id, largestBody) + "\r\n" + strings.Repeat("x", largestBody-missingBytes)
	}, trickles: true},
}

// crowd counts what became of the peers.
type crowd struct {
	peers sync.WaitGroup
	epoch *atomic.Int64 // if set, a peer counts only if the epoch does not change while it is connected

	mu      sync.Mutex
	ended   int // peers that got an error or a close in time
	late    int // peers that got it later
	left    int // peers that got neither until they left
	refused int // connections that did not come up
}

// start starts count peers over a period, and returns at its end.
func (c *crowd) start(address string, shape func(i int) form, count int, over time.Duration) {
	for i := range count {
		c.peers.Go(func() { c.play(address, shape(i), fmt.Sprintf("peer%d", i)) })
		time.Sleep(over / time.Duration(count))
	}
}

// play connects, sends the form, and stays until the relay ends the connection or the peer's time is over.
func (c *crowd) play(address string, f form, id string) {
	conn, err := net.DialTimeout("tcp", address, peerTime)
	if err != nil {
		c.count(&c.refused)
		return
	}
	defer conn.Close()
	connected, epoch := time.Now(), c.currentEpoch()
	ended := make(chan bool)
	go func() { // sends, beside the reading of the response
		_, err := conn.Write([]byte(f.request(id)))
		for err == nil && f.trickles {
			select {
			case <-ended:
				return
			case <-time.After(trickleInterval):
				_, err = conn.Write([]byte("x"))
			}
		}
	}()
	_ = conn.SetReadDeadline(connected.Add(peerTime))
	_, err = conn.Read(make([]byte, 1))
	close(ended)
	var timeout net.Error
	switch {
	case epoch&1 != 0 || c.currentEpoch() != epoch:
	case errors.As(err, &timeout) && timeout.Timeout():
		c.count(&c.left)
	case time.Since(connected) > errorDeadline:
		c.count(&c.late)
	default:
		c.count(&c.ended)
	}
}

// currentEpoch returns the epoch, or 0 if there is none.
func (c *crowd) currentEpoch() int64 {
	if c.epoch == nil {
		return 0
	}
	return c.epoch.Load()
}

// count adds one to a counter of the crowd.
func (c *crowd) count(counter *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*counter++
}
