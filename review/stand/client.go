package stand

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answerTimeout is how long a client waits for the answer to a message.
const answerTimeout = 400 * time.Millisecond

// clientIdle is how long a client keeps an idle connection, less than the relay does.
const clientIdle = time.Second

// Answer returns an HTTP answer with a status, further header lines and a body.
func Answer(status, header, body string) []byte {
	return []byte("HTTP/1.1 " + status + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n" + header + "\r\n" + body)
}

// Message is what a client hands in.
type Message struct {
	ID, Class, Key string
	Dest           int
	Timeout        time.Duration
	Body           string
}

// encode returns the request of a message.
func (m Message) encode() []byte {
	key := ""
	if m.Key != "" {
		key = "Idempotency-Key: " + m.Key + "\r\n"
	}
	return []byte(fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Timeout: %.3f\r\n%s"+
		"Content-Length: %d\r\nX-Envelope: dest=%d\r\n\r\n%s", m.Class, m.ID, m.Timeout.Seconds(), key, len(m.Body), m.Dest, m.Body))
}

// clientConn is a connection of the clients.
type clientConn struct {
	net.Conn
	in        *bufio.Reader
	idleSince time.Time
}

// Clients stands for the clients of a relay, which share their connections.
type Clients struct {
	Address string

	mu   sync.Mutex
	idle []*clientConn
}

// Send hands in a message and returns the status of the answer, or 0 if none came in time. A connection that ends before any byte
// of the answer, and that had carried a request before, crossed the request: the client sends it once more on a new one.
func (c *Clients) Send(ctx context.Context, m Message) int {
	conn := c.take()
	if conn != nil {
		status, crossed := c.exchange(conn, m)
		if !crossed {
			return status
		}
	}
	dialer := net.Dialer{Timeout: answerTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return 0
	}
	status, _ := c.exchange(&clientConn{Conn: raw, in: bufio.NewReader(raw)}, m)
	return status
}

// take returns an idle connection, or nil.
func (c *Clients) take() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(conn.idleSince) < clientIdle {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// exchange sends a message on a connection and reads the answer. It reports whether the connection ended before the answer.
func (c *Clients) exchange(conn *clientConn, m Message) (status int, ended bool) {
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := conn.Write(m.encode()); err != nil {
		_ = conn.Close()
		return 0, true
	}
	if _, err := conn.in.Peek(1); err != nil {
		_ = conn.Close()
		timeout, ok := err.(net.Error) //nolint:errorlint // a connection's error is not wrapped here
		return 0, !ok || !timeout.Timeout()
	}
	response, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		_ = conn.Close()
		return 0, false
	}
	_ = response.Body.Close()
	if response.Close {
		_ = conn.Close()
		return response.StatusCode, false
	}
	conn.idleSince = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return response.StatusCode, false
}

// Close closes the idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}
