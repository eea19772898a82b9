package stand

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Item is one message of a call.
type Item struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// Call is one call that has come in whole.
type Call struct {
	Endpoint string
	Conn     net.Conn
	Bulk     bool
	Items    []Item
	At       time.Time // when the call's last byte was read
}

// Endpoint stands for one endpoint. It reads calls and leaves the answer to a function.
type Endpoint struct {
	Name     string
	Address  string
	listener net.Listener
	answer   func(*Call) []byte

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// StartEndpoint starts an endpoint. For each call it writes the bytes that answer returns; nil closes the connection by a reset.
func StartEndpoint(ctx context.Context, name string, answer func(*Call) []byte) (*Endpoint, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Name: name, Address: listener.Addr().String(), listener: listener, answer: answer, conns: map[net.Conn]bool{}}
	go e.accept()
	return e, nil
}

// Close ends the endpoint and its connections.
func (e *Endpoint) Close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

func (e *Endpoint) serve(conn net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		_ = conn.Close()
	}()
	in := bufio.NewReader(conn)
	for {
		call, err := e.read(in, conn)
		if err != nil {
			return
		}
		answer := e.answer(call)
		if answer == nil {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		}
		if _, err := conn.Write(answer); err != nil || bytes.Contains(answer, []byte("Connection: close")) {
			return
		}
	}
}

// read reads one call.
func (e *Endpoint) read(in *bufio.Reader, conn net.Conn) (*Call, error) {
	request, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(request.Body)
	_ = request.Body.Close()
	if err != nil {
		return nil, err
	}
	call := &Call{Endpoint: e.Name, Conn: conn, At: time.Now()}
	if request.URL.Path == "/inbox/bulk" {
		call.Bulk = true
		return call, json.Unmarshal(body, &call.Items)
	}
	call.Items = []Item{{ID: request.Header.Get("Request-Id"), Key: request.Header.Get("Idempotency-Key"), Body: body}}
	return call, nil
}

// Delivered returns the answer that all messages of a call are delivered.
func (c *Call) Delivered() []byte {
	if !c.Bulk {
		return []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
	type end struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	var ends []end
	for _, item := range c.Items {
		ends = append(ends, end{item.ID, "delivered"})
	}
	body, _ := json.Marshal(ends)
	return Answer("200 OK", "", string(body))
}
