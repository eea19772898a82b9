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

// Endpoints is a stand-in for the endpoints of all destinations, which share some listeners. A listener either
// responds to each call with status 200 at once, or refuses all calls and asks the relay to retry later.
type Endpoints struct {
	servers   []*http.Server
	done      sync.WaitGroup
	calls     counter
	delivered atomic.Int64
}

// OpenEndpoints starts a listener at each TCP address. Listeners for which closed returns true refuse all calls.
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

// Close closes all listeners and connections.
func (e *Endpoints) Close() {
	for _, server := range e.servers {
		_ = server.Close()
	}
	e.done.Wait()
}

// Delivered returns the number of calls with the response 200.
func (e *Endpoints) Delivered() int64 { return e.delivered.Load() }

// Traffic returns the bytes of all calls and their responses.
func (e *Endpoints) Traffic() Traffic { return e.calls.traffic() }

func (e *Endpoints) deliver(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.delivered.Add(1)
	w.WriteHeader(http.StatusOK)
}

// RetryDelay is the delay after which refused calls may be retried, as sent to the relay.
const RetryDelay = 10 * time.Minute

// refuseCall responds that the call was not executed and may be retried after RetryDelay.
func refuseCall(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Retry-In-Ms", strconv.FormatInt(RetryDelay.Milliseconds(), 10))
	w.WriteHeader(http.StatusTooManyRequests)
}
