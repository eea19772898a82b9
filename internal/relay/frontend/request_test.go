package frontend

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/relay/memory"
	"milletsail/internal/relay/protocol"
)

// largeRequest returns the text of a complete request with a head and a body that need memory beyond that of their connection.
func largeRequest(id string) string {
	head, _, _ := strings.Cut(messageRequest(id), "Content-Length")
	return head + "Long: " + strings.Repeat("x", 3*initialHeadSize) + "\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*initialHeadSize, strings.Repeat("b", 2*initialHeadSize))
}

// testPlan returns a plan for a relay with a memory limit.
func testPlan(memoryMB float64) memory.Plan { return memory.Alone(memory.Limits{MemoryMB: memoryMB}) }

// Guards against requests that are read wrongly when their bytes arrive in pieces of any size, or several requests at once.
func TestRequestsInPieces(t *testing.T) {
	t.Parallel()
	text := messageRequest("first") + largeRequest("second") + messageRequest("third") + messageRequest("fourth")
	for _, size := range []int{1, 2, 7, 100, len(messageRequest("first")) + 1, initialHeadSize, len(text)} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			ids := make(chan string, 9)
			limiter := hookedServer(t, 9, readHooks{}, acceptAll(ids), nil)
			c := dial(t, limiter)
			go func() {
				for piece := range slices.Chunk([]byte(text), size) {
					_, _ = c.Write(piece)
				}
			}()
			for _, want := range []string{"first", "second", "third", "fourth"} {
				if got := receive(t, ids); got != want {
					t.Fatalf("got request %s, want %s", got, want)
				}
			}
			_ = c.Close()
			eventually(t, "all memory is given back", func() bool { return limiter.Count() == 0 && limiter.input.Used() == 0 })
		})
	}
}

// Guards against a head of so many fields that net/http would need many times its size.
func TestManyHeaderFieldsRejected(t *testing.T) {
	_, limiter := testServer(t, nil, nil)
	c := dial(t, limiter)
	write(t, c, strings.TrimSuffix(messageRequest("m"), "\r\n\r\nhi")+"\r\n"+strings.Repeat("a:\r\n", protocol.MaxHeadLines))
	if got, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 431 ") {
		t.Errorf("got %q and error %v, want status 431", got, err)
	}
}

// Guards against requests that wait for memory, or take it without counting it: at the end of the memory a request gets 503 at
// once, and all memory is given back once connections end, whether they are served, evicted or closed by their client.
func TestInputMemoryIsBounded(t *testing.T) {
	const limitMB = 16
	ids := make(chan string, 99)
	limiter := hookedServer(t, 99, readHooks{}, acceptAll(ids), nil)
	limiter.ApplyPlan(testPlan(limitMB))
	size := testPlan(limitMB).Share(memory.Input)
	incomplete := strings.TrimSuffix(largeRequest("m"), "b")
	var peers []net.Conn
	for range size/int64(2*initialHeadSize) + 1 { // each needs more than that
		c := dial(t, limiter)
		write(t, c, incomplete)
		peers = append(peers, c)
		time.Sleep(time.Millisecond) // the requests arrive in order
	}
	refused := 0
	for _, c := range peers {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		got, _ := io.ReadAll(c)
		if strings.HasPrefix(string(got), "HTTP/1.1 503 ") {
			refused++
		} else if len(got) > 0 {
			t.Errorf("got response %q, want status 503 or none yet", got)
		}
	}
	if refused == 0 {
		t.Error("no request was refused although all of them do not fit into the memory for input")
	}
	if used := limiter.input.Used(); used > size {
		t.Errorf("%d bytes in use, more than the share of %d", used, size)
	}
	// The first peers have been reading for minReadTime, so that one of them makes room for a complete request.
	c := dial(t, limiter)
	write(t, c, largeRequest("complete"))
	wantAccepted(t, "complete request beside incomplete ones", c)
	for _, peer := range append(peers, c) {
		_ = peer.Close()
	}
	eventually(t, "all memory is given back", func() bool {
		return limiter.Count() == 0 && limiter.input.Used() == 0 && limiter.evicted.Used() == 0
	})
}

// Guards against a new connection that waits for room: where none can be evicted, it is closed at once.
func TestConnectionWithoutRoomIsClosed(t *testing.T) {
	submitted := make(chan *Submission, 9)
	limiter := hookedServer(t, 1, readHooks{}, func(s *Submission) { submitted <- s }, nil)
	pending := dial(t, limiter)
	write(t, pending, messageRequest("pending"))
	s := receive(t, submitted)
	if got, err := io.ReadAll(dial(t, limiter)); len(got) > 0 || err != nil {
		t.Errorf("new connection: read %q and error %v, want its end", got, err)
	}
	s.Response <- Response{Status: 202}
	wantAccepted(t, "pending request", pending)
}

// Guards against evicting a slow client before one that sends far too little to complete its request in time.
func TestStalledByProgress(t *testing.T) {
	start := clock.Now()
	steady, trickling := progress{windowStart: start}, progress{windowStart: start}
	for i := range 20 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		steady.add(now, 20)
		trickling.add(now, 1)
	}
	if steady.slow || !trickling.slow {
		t.Errorf("200 bytes a second count as slow: %v; 10 bytes a second: %v", steady.slow, trickling.slow)
	}
}
