package overload

import (
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletsail/review/stand"
)

const (
	// floodConnections is the number of connections of a client that floods.
	floodConnections = 20
	// floodBatch is the number of requests that it writes at once.
	floodBatch = 50
	// slowReadSize and slowReadInterval are how slowly it reads the responses.
	slowReadSize     = 512
	slowReadInterval = 10 * time.Millisecond
	// floodServedShare is the share of other clients' messages that has to be accepted beside a flood.
	floodServedShare = 0.95
)

// floodTime is how long a client floods.
var floodTime = 4 * time.Second

// halfCore gives the relay half of a core beside all floods, not beside each second one.
var halfCore = flag.Bool("half-core", false, "give the relay half of a core beside all floods")

// holdUpTime is for how long a relay with half of a core is held up at a time, and then runs for as long.
const holdUpTime = 50 * time.Millisecond

// holdUp gives a relay half of a core, as a platform that shares cores does, until the returned function is called.
func holdUp(b *bed) (release func()) {
	stop, done := make(chan bool), make(chan bool)
	go func() {
		defer close(done)
		for !isClosed(stop) {
			b.Process.Signal(syscall.SIGSTOP)
			time.Sleep(holdUpTime)
			b.Process.Signal(syscall.SIGCONT)
			time.Sleep(holdUpTime)
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

func init() {
	flag.DurationVar(&floodTime, "flood-time", floodTime, "time for which TestFloodKeepsClients floods")
}

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
	for i, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			limits := stand.Limits{MemoryMB: 32, Sockets: 1024}
			b := startBed(t, limits)
			watch := watchMemory(b)
			if i%2 == 0 || *halfCore {
				defer holdUp(b)()
			}
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

// adminReplyTime is the time within which the admin endpoint replies under any load.
const adminReplyTime = time.Second

// TestAdminFloodKeepsClients guards against the same at the admin endpoint: beside callers at full speed, clients' messages and the
// calls of operators are answered in time.
func TestAdminFloodKeepsClients(t *testing.T) {
	admin := freeAddress(t)
	t.Setenv("NODE_ADMIN", admin)
	b := startBed(t, stand.Limits{MemoryMB: 32, Sockets: 1024})
	watch := watchMemory(b)
	proper := &clients{bed: b}
	command := flood{name: "commands", closes: true, request: func(int64) string { return "counters\n" }}
	late := 0
	sent := playFlood(admin, command, func() {
		proper.pending.Go(func() { proper.run(floodTime, clientInterval) })
		for end := time.Now().Add(floodTime); time.Now().Before(end); time.Sleep(clientInterval) {
			if !adminReplies(admin) {
				late++
			}
		}
		proper.pending.Wait()
	})
	most := watch.end()
	t.Logf("%d commands, %d calls of operators late; memory %v; small: %v; slow: %v", sent, late, most, proper.small, proper.slow)
	checkMemory(t, most, b.Relay.Limits)
	checkServed(t, "small", proper.small, floodServedShare)
	checkServed(t, "slow", proper.slow, otherServedShare)
	if late > 0 {
		t.Errorf("%d calls of operators had no reply within %v", late, adminReplyTime)
	}
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// adminReplies calls the admin endpoint and reports whether it replies in time. The caller has an address of its own, since the flood
// uses up the ports of the other one.
func adminReplies(address string) bool {
	dialer := net.Dialer{Timeout: adminReplyTime, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	end := time.Now().Add(adminReplyTime)
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	_, _ = conn.Write([]byte("health\n"))
	reply, _ := io.ReadAll(conn)
	return string(reply) == "OK\n"
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
