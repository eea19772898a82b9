package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"milletsail/internal/relay/protocol"
	"milletsail/policy"
)

// rejections are responses which, if readable, prove that no message of the call was executed.
var rejections = []string{"429 No", "503 No", "503 No\r\nX-No-Slot: 1", "504 No", "410 No"}

// callWith returns a call with one message, or with two.
func callWith(addr string, batch bool) Call {
	call := testCall(addr)
	if batch {
		call.Messages = append(call.Messages, Message{ID: "m2"})
	}
	return call
}

// endlessly returns a connection handler that answers a request with head, and then with a piece of a body again and again.
func endlessly(head, piece string, pause time.Duration) func(net.Conn) {
	return func(c net.Conn) {
		err := readRequest(bufio.NewReader(c))
		for out := head; err == nil; out = piece {
			_, err = io.WriteString(c, out)
			time.Sleep(pause)
		}
	}
}

// Guards against taking the status of a response whose body can't be read as proof that a message was not executed, so that it is
// sent again and executed twice (review case 1). The wait that the header asks for still applies.
func TestUnreadableRejectionIsUncertain(t *testing.T) {
	once := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			if readRequest(bufio.NewReader(c)) == nil {
				_, _ = io.WriteString(c, text)
			}
		}
	}
	const chunked = "\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, serve := range map[string]func(head string) func(net.Conn){
		"shorter than its length": func(head string) func(net.Conn) { return once(head + "\r\nContent-Length: 64\r\n\r\nthe order is") },
		"garbled chunk":           func(head string) func(net.Conn) { return once(head + chunked + "5\r\nthe oQQ!!\r\n") },
		"missing last chunk":      func(head string) func(net.Conn) { return once(head + chunked + "5\r\nthe o\r\n") },
		"silent body":             func(head string) func(net.Conn) { return respondAlways(head + "\r\nContent-Length: 9\r\n\r\nthe o") },
		"open without a length":   func(head string) func(net.Conn) { return respondAlways(head + "\r\n\r\nthe order") },
		"endless chunks": func(head string) func(net.Conn) {
			return endlessly(head+chunked, "5\r\nthe o\r\n", 20*time.Millisecond)
		},
		"endless flood": func(head string) func(net.Conn) { return endlessly(head+"\r\n\r\n", strings.Repeat("x", 9999), 0) },
		"longer than permitted": func(head string) func(net.Conn) {
			return once(head + "\r\n\r\n" + strings.Repeat("x", protocol.MaxBodySize+1))
		},
		"another version": func(head string) func(net.Conn) {
			return once(strings.Replace(head, "1.1", "2.0", 1) + "\r\nContent-Length: 0\r\n\r\n")
		},
	} {
		for _, status := range rejections {
			for _, batch := range []bool{false, true} {
				t.Run(strings.ReplaceAll(fmt.Sprint(name, status[:3], batch), " ", "_"), func(t *testing.T) {
					t.Parallel()
					p := testPool()
					addr := startEndpoint(t, serve("HTTP/1.1 "+status+"\r\nX-Retry-In-Ms: 250"))
					want := Result{Outcome: policy.Reset, RetryAfter: 250 * time.Millisecond}
					if got := p.Do(t.Context(), callWith(addr, batch)); got[0] != want || got[len(got)-1] != want || p.idleCount != 0 {
						t.Errorf("%q: got %+v and %d idle connections, want %+v and none", status, got, p.idleCount, want)
					}
				})
			}
		}
	}
}

// Guards against losing the proof of a readable rejection, however its body is framed and in however many pieces it arrives.
func TestReadableRejectionProvesNotExecuted(t *testing.T) {
	for name, pieces := range map[string][]string{
		"with a length":      {"\r\nContent-Length: 4\r\n\r\n", "bu", "sy"},
		"chunked":            {"\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbusy\r", "\n0\r\n\r\n"},
		"ended by its close": {"\r\nConnection: close\r\n\r\n", "busy"},
		"of the longest size": {"\r\nConnection: close\r\n\r\n",
			strings.Repeat("x", protocol.MaxBodySize)},
	} {
		for _, status := range rejections {
			addr := startEndpoint(t, func(c net.Conn) {
				_ = readRequest(bufio.NewReader(c))
				for _, piece := range append([]string{"HTTP/1.1 " + status}, pieces...) {
					_, _ = io.WriteString(c, piece)
					time.Sleep(time.Millisecond) // makes the pieces arrive separately in most runs; the outcome does not depend on it
				}
			})
			want := policy.Rejected
			if !slices.Contains(rejections[:2], status) {
				want = policy.NotSent
			}
			if got := testPool().Do(t.Context(), testCall(addr))[0]; got.Outcome != want {
				t.Errorf("%s, %q: outcome %v, want %v", name, status, got.Outcome, want)
			}
		}
	}
}
