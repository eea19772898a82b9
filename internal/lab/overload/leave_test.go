package overload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"milletsail/review/stand"
)

const (
	// leavingIDs is the number of ids that clients hand in again after they have left.
	leavingIDs = 300
	// mostLeavingTries is the most times that an id is handed in on connections that the client closes.
	mostLeavingTries = 3
	// mostStay is the longest time for which a client that leaves keeps its connection.
	mostStay = 2500 * time.Microsecond
	// leavingAtOnce is the number of clients that do so concurrently.
	leavingAtOnce = 10
	// settleTime is the time after which all calls of a test have ended.
	settleTime = time.Second
	// pipelined is the number of requests that a client writes at once.
	pipelined = 100
)

// fragileMessage returns a message that may not be repeated.
func fragileMessage(id string) stand.Message {
	return stand.Message{ID: id, Class: fragileClass, Dest: 1, Timeout: messageTimeout, Body: "order"}
}

// encodeRequest returns the request of a message.
func encodeRequest(m stand.Message) string {
	return requestHead(m.Class, m.ID, len(m.Body)) + "\r\n" + m.Body
}

// leave writes requests on a connection of its own and closes it after a time, without reading the response.
func leave(t testing.TB, address, requests string, stay time.Duration) {
	if !tryLeave(address, requests, stay) {
		t.Error("the requests of a client that leaves could not be written")
	}
}

// tryLeave does as leave, and reports whether the requests were written.
func tryLeave(address, requests string, stay time.Duration) bool {
	conn, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	_, err = conn.Write([]byte(requests))
	time.Sleep(stay)
	return err == nil
}

// TestClientsThatLeave guards against requests that are forwarded after their client has left, and messages that may not be
// repeated and run twice because of that.
func TestClientsThatLeave(t *testing.T) {
	t.Run("same id again", testSameIDAgain)
	t.Run("same id after a kill", testSameIDAfterKill)
	t.Run("same id after an upgrade", testSameIDAfterUpgrade)
	t.Run("left before the reading", testLeftBeforeReading)
}

// testSameIDAgain plays clients that leave before the response and hand the same id in again.
func testSameIDAgain(t *testing.T) {
	b := startBed(t, stand.DefaultLimits)
	slots := make(chan bool, leavingAtOnce)
	var all sync.WaitGroup
	for i := range leavingIDs {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		slots <- true
		all.Go(func() {
			defer func() { <-slots }()
			m := fragileMessage(fmt.Sprintf("left%d", i))
			for range 1 + random.IntN(mostLeavingTries) {
				leave(t, b.Relay.Listen, encodeRequest(m), time.Duration(random.Int64N(int64(mostStay))))
			}
			b.Clients.Send(context.Background(), m)
		})
	}
	all.Wait()
	time.Sleep(settleTime)
	repeated := 0
	for i := range leavingIDs {
		if b.calls(fmt.Sprintf("left%d", i)) > 1 {
			repeated++
		}
	}
	if repeated > 0 {
		t.Errorf("%d of %d messages that may not be repeated ran more than once", repeated, leavingIDs)
	}
}

// testSameIDAfterKill does the same, and kills the relay in between, during the calls.
func testSameIDAfterKill(t *testing.T) {
	b := startBed(t, stand.DefaultLimits)
	const ids = 20
	for i := range ids {
		m := fragileMessage(fmt.Sprintf("%s%d", heldPrefix, i))
		leave(t, b.Relay.Listen, encodeRequest(m), mostStay)
	}
	b.Process.Kill()
	if err := b.startProcess(); err != nil {
		t.Fatal(err)
	}
	for i := range ids {
		b.Clients.Send(context.Background(), fragileMessage(fmt.Sprintf("%s%d", heldPrefix, i)))
	}
	time.Sleep(settleTime)
	for i := range ids {
		if id := fmt.Sprintf("%s%d", heldPrefix, i); b.calls(id) > 1 {
			t.Errorf("message %s, which may not be repeated, reached endpoints %d times", id, b.calls(id))
		}
	}
}

// testSameIDAfterUpgrade does the same, and hands the ids in again at the next process of an upgrade. Half of the calls are in flight at
// the handover.
func testSameIDAfterUpgrade(t *testing.T) {
	b := startBed(t, stand.DefaultLimits, withInheritedSocket)
	const ids = 20
	id := func(i int) string { return fmt.Sprintf("%s%d", []string{heldPrefix, "quick"}[i%2], i) }
	for i := range ids {
		leave(t, b.Relay.Listen, encodeRequest(fragileMessage(id(i))), mostStay)
	}
	successor, err := b.Relay.Start(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	defer successor.Kill()
	b.waitForLog("handover completed")
	for i := range ids {
		b.Clients.Send(context.Background(), fragileMessage(id(i)))
	}
	if status := b.Clients.Send(context.Background(), fragileMessage("other")); status != http.StatusAccepted {
		t.Errorf("another message at the next process: status %d", status)
	}
	time.Sleep(settleTime)
	for i := range ids {
		if calls := b.calls(id(i)); calls > 1 {
			t.Errorf("message %s, which may not be repeated, reached endpoints %d times", id(i), calls)
		}
	}
}

// testLeftBeforeReading plays a client that closes its connection before the relay reads its requests. The relay is stopped
// meanwhile, which forces that order.
func testLeftBeforeReading(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset=%v", reset), func(t *testing.T) {
			b := startBed(t, stand.DefaultLimits)
			conn, err := net.Dial("tcp", b.Relay.Listen)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(memoryInterval) // the relay has accepted the connection, or will after the stop
			b.Process.Signal(syscall.SIGSTOP)
			var requests strings.Builder
			for i := range pipelined {
				requests.WriteString(encodeRequest(fragileMessage(fmt.Sprintf("pipelined%d", i))))
			}
			if _, err := conn.Write([]byte(requests.String())); err != nil {
				t.Error(err)
			}
			if tcp, ok := conn.(*net.TCPConn); ok && reset {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
			b.Process.Signal(syscall.SIGCONT)
			if status := b.Clients.Send(context.Background(), fragileMessage("other")); status != http.StatusAccepted {
				t.Errorf("message of another client: status %d", status)
			}
			time.Sleep(settleTime)
			forwarded := 0
			for i := range pipelined {
				forwarded += b.calls(fmt.Sprintf("pipelined%d", i))
			}
			if forwarded > 0 {
				t.Errorf("%d of %d requests were forwarded after their client had left", forwarded, pipelined)
			}
		})
	}
}
