package standin

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Endpoints are the endpoints of all destinations, which share some listeners. They answer each call 200 at once, but for
// those that never answer.
type Endpoints struct {
	servers   []*http.Server
	done      sync.WaitGroup
	calls     counter
	delivered atomic.Int64
}

// OpenEndpoints listens at addresses. Calls to those for which silent is true are never answered.
func OpenEndpoints(addresses []string, silent func(index int) bool) (*Endpoints, error) {
	e := &Endpoints{}
	for i, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			e.Close()
			return nil, err
		}
		handler := e.deliver
		if silent(i) {
			handler = hold
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

// longestHold ends a call that is never answered.
const longestHold = time.Hour

// hold keeps a call until the relay ends its connection.
func hold(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	timer := time.NewTimer(longestHold)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
	case <-timer.C:
	}
	panic(http.ErrAbortHandler)
}
