package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"milletsail/policy"
)

// testTimeout bounds every wait of a test; it is far longer than any expected wait.
const testTimeout = 20 * time.Second

// startEndpoint starts an endpoint that handles each connection with serve and closes it afterwards. It returns its address.
func startEndpoint(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads one complete request and discards it.
func readRequest(in *bufio.Reader) error {
	r, err := http.ReadRequest(in)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return err
}

// resetOnClose makes closing a connection send a reset.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// respondAlways returns a connection handler that answers every request with the same text.
func respondAlways(text string) func(net.Conn) {
	return func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			if err := readRequest(in); err != nil {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

func testPool() *Pool { return NewPool(time.Second, 10*time.Second, 4, &atomic.Int64{}) }

// Do makes one call from its reservation to its end, as the relay does, and returns the result of each message.
func (p *Pool) Do(ctx context.Context, call Call) []Result {
	reservation := p.Reserve(call)
	if reservation == nil {
		return call.resultForAll(Result{Outcome: policy.NotStarted})
	}
	if !reservation.Connected() {
		if failed := reservation.Connect(ctx); failed != nil {
			return failed
		}
	}
	return reservation.Run(ctx)
}

func testCall(addr string) Call {
	return Call{Addr: addr, Messages: []Message{{ID: "m1", Key: "k1", Body: []byte("a\x00b")}}, Timeout: testTimeout}
}

// receive returns the next value of a channel, and fails the test if none arrives within testTimeout.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatal("no value received within the time-out")
		panic("not reached")
	}
}
