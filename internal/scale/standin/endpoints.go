package standin

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Endpoints are the endpoints of all destinations, which share some listeners. They answer each call 200 at once, but for
// those that turn all calls away and tell to wait.
type Endpoints struct {
	servers   []*http.Server
	done      sync.WaitGroup
	calls     counter
	delivered atomic.Int64
}

// OpenEndpoints listens at addresses. Those for which closed is true turn all calls away.
func OpenEndpoints(addresses []string, closed func(index int) bool) (*Endpoints, error) {
	e := &Endpoints{}
	for i, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			e.Close()
			return nil, err
		}
		handler := e.deliver
		if closed(i) {
			handler = refuseCall
		}
		server := &http.Server{Handler: http.HandlerFunc(handler), ConnContext: withConn}
		e.servers = append(e.servers, server)
		e.done.Go(func() { _ = server.Serve(meteredListener{listener, &e.calls}) })
	}
	return e, nil
}

// Close ends all connections.
func (e *Endpoints) Close() {
	for _, server := range e.servers {
		_ = server.Close()
	}
	e.done.Wait()
}

// Delivered counts the calls that were answered 200.
func (e *Endpoints) Delivered() int64 { return e.delivered.Load() }

// Traffic is the bytes of all calls.
func (e *Endpoints) Traffic() Traffic { return e.calls.traffic() }

func (e *Endpoints) deliver(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.delivered.Add(1)
	w.WriteHeader(http.StatusOK)
}

// RetryDelay is what endpoints that turn calls away tell the relay to wait.
const RetryDelay = 10 * time.Minute

// refuseCall answers that the call has not run, and when to come again.
func refuseCall(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Retry-In-Ms", strconv.FormatInt(RetryDelay.Milliseconds(), 10))
	w.WriteHeader(http.StatusTooManyRequests)
}
