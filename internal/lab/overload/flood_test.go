package overload

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"milletsail/review/stand"
)

const (
	// floodConnections is the number of connections of a client that floods.
	floodConnections = 20
	// floodTime is how long it does so.
	floodTime = 4 * time.Second
	// floodBatch is the number of requests that it writes at once.
	floodBatch = 50
	// slowReadSize and slowReadInterval are how slowly it reads the responses.
	slowReadSize     = 512
	slowReadInterval = 10 * time.Millisecond
	// floodServedShare is the share of other clients' messages that has to be accepted beside a flood.
	floodServedShare = 0.95
)

// flood is what a client sends without end.
type flood struct {
	name    string
	request func(n int64) string
	closes  bool // each request ends its connection
}

// floods are the requests of floods. Each has a new name or id.
var floods = []flood{
	{name: "health checks", request: func(int64) string { return "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n" }},
	{name: "unknown paths", request: func(n int64) string { return fmt.Sprintf("GET /NEW-%d HTTP/1.1\r\nHost: x\r\n\r\n", n) }},
	{name: "unknown classes", closes: true, request: func(n int64) string {
		return requestHead(fmt.Sprintf("new%d", n), fmt.Sprintf("f%d", n), 0) + "\r\n"
	}},
	{name: "no requests", closes: true, request: func(int64) string { return "what?\r\n\r\n" }},
	{name: "unknown destinations", request: func(n int64) string {
		head := requestHead(keyedClass, fmt.Sprintf("f%d", n), 0)
		return strings.Replace(head, "dest=1", fmt.Sprintf("dest=%d", 100+n%1_000_000), 1) + "\r\n"
	}},
	{name: "messages out of time", request: func(n int64) string {
		head := requestHead(keyedClass, fmt.Sprintf("f%d", n), 0)
		return strings.Replace(head, "Request-Timeout: 5.000", "Request-Timeout: 0.001", 1) + "\r\n"
	}},
}

// TestFloodKeepsClients guards against a client that takes more than its share of the relay: while it sends small or unsound
// requests at full speed, other clients' messages are answered in time, and the relay keeps within its memory.
func TestFloodKeepsClients(t *testing.T) {
	for _, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			limits := stand.Limits{MemoryMB: 32, Sockets: 1024}
			b := startBed(t, limits)
			watch := watchMemory(b)
			proper := &clients{bed: b}
			sent := playFlood(b.Relay.Listen, f, func() { proper.run(floodTime, clientInterval) })
			proper.pending.Wait()
			most := watch.end()
			t.Logf("%d requests; memory %v of %d MB; small: %v; large: %v; slow: %v", sent, most, limits.MemoryMB, proper.small, proper.large,
				proper.slow)
			checkMemory(t, most, limits)
			checkServed(t, "small", proper.small, floodServedShare)
			checkServed(t, "large", proper.large, otherServedShare)
			checkServed(t, "slow", proper.slow, otherServedShare)
		})
	}
}

// playFlood floods a relay while during runs, and returns the number of requests that were sent.
func playFlood(address string, f flood, during func()) int64 {
	var sent atomic.Int64
	var connections sync.WaitGroup
	ended := make(chan bool)
	for range floodConnections {
		connections.Go(func() {
			for !isClosed(ended) {
				sendFlood(address, f, &sent, ended)
			}
		})
	}
	during()
	close(ended)
	connections.Wait()
	return sent.Load()
}

// sendFlood sends requests on one connection, and reads slowly, until the connection or the flood ends.
func sendFlood(address string, f flood, sent *atomic.Int64, ended chan bool) {
	conn, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := make(chan bool)
	defer close(stop)
	go func() { // the end of the flood interrupts a blocked write
		select {
		case <-ended:
			_ = conn.SetDeadline(time.Now())
		case <-stop:
		}
	}()
	if f.closes {
		_, _ = conn.Write([]byte(f.request(sent.Add(1))))
		_, _ = conn.Read(make([]byte, slowReadSize))
		return
	}
	go func() {
		for _, err := conn.Read(make([]byte, slowReadSize)); err == nil; _, err = conn.Read(make([]byte, slowReadSize)) {
			time.Sleep(slowReadInterval)
		}
	}()
	for err == nil {
		var batch strings.Builder
		for range floodBatch {
			batch.WriteString(f.request(sent.Add(1)))
		}
		_, err = conn.Write([]byte(batch.String()))
	}
}

// isClosed reports whether a channel is closed.
func isClosed(c chan bool) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
