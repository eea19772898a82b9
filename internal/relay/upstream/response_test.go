package upstream

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"milletsail/policy"
)

// Guards against a wrong outcome of a call with one message: for each response or failure it has to say whether the message was
// delivered, was not executed, or may have been executed.
func TestOutcomes(t *testing.T) {
	closed, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	readThen := func(do func(c net.Conn)) string {
		return startEndpoint(t, func(c net.Conn) {
			if err := readRequest(bufio.NewReader(c)); err == nil {
				do(c)
			}
		})
	}
	reply := func(text string) string { return startEndpoint(t, respondAlways(text)) }
	tests := []struct {
		name string
		addr string
		want Result
	}{
		{"delivered", reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"), Result{Outcome: policy.OK, Completed: true}},
		{"an interim response first", reply("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
			Result{Outcome: policy.OK, Completed: true}},
		{"error", reply("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), Result{Outcome: policy.Failed}},
		{"rejected with a retry time", reply("HTTP/1.1 429 No\r\nX-Retry-In-Ms: 250\r\nContent-Length: 0\r\n\r\n"),
			Result{Outcome: policy.Rejected, RetryAfter: 250 * time.Millisecond}},
		{"unavailable", reply("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), Result{Outcome: policy.Rejected}},
		{"no slot", reply("HTTP/1.1 503 No\r\nX-No-Slot: 1\r\nContent-Length: 0\r\n\r\n"), Result{Outcome: policy.NotSent}},
		{"attempts exhausted", reply("HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n"), Result{Outcome: policy.NotSent,
			AttemptsExhausted: true}},
		{"completed by an earlier call (410)",
			reply("HTTP/1.1 410 No\r\nContent-Length: 0\r\n\r\n"), Result{Outcome: policy.NotSent, Completed: true}},
		{"connection refused", closed.Addr().String(), Result{Outcome: policy.ConnectError}},
		{"closed without a response", readThen(func(net.Conn) {}), Result{Outcome: policy.Reset}},
		{"reset", readThen(func(c net.Conn) { resetOnClose(c) }), Result{Outcome: policy.Reset}},
		{"an endless header", readThen(func(c net.Conn) {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for err == nil {
				_, err = io.WriteString(c, "X-More: and more\r\n")
			}
		}), Result{Outcome: policy.OK, Completed: true}},
		{"a malformed header after status 200",
			reply("HTTP/1.1 200 OK\r\nno header\r\n\r\n"), Result{Outcome: policy.OK, Completed: true}},
		{"a malformed header after status 500", reply("HTTP/1.1 500 No\r\nno header\r\n\r\n"),
			Result{Outcome: policy.Reset}},
		{"part of the status line, then a close", readThen(func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK") }),
			Result{Outcome: policy.Reset}},
		{"part of the status line, then a reset", readThen(func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 ")
			resetOnClose(c)
		}), Result{Outcome: policy.Reset}},
		{"part of the status line, then silence", readThen(func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r")
			_, _ = c.Read(make([]byte, 1))
		}), Result{Outcome: policy.Reset}},
		{"a status line in pieces", readThen(func(c net.Conn) {
			for _, piece := range []string{"HTTP/1", ".1 200 O", "K\r", "\n"} {
				_, _ = io.WriteString(c, piece)
				time.Sleep(time.Millisecond) // makes the pieces arrive separately in most runs; the outcome does not depend on it
			}
		}), Result{Outcome: policy.OK, Completed: true}},
		{"a status of four digits", reply("HTTP/1.1 2000 OK\r\n\r\n"), Result{Outcome: policy.Reset}},
		{"an endless body", readThen(func(c net.Conn) {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat("more", 1000))
			}
		}), Result{Outcome: policy.OK, Completed: true}},
		{"not an HTTP response",
			readThen(func(c net.Conn) { _, _ = io.WriteString(c, "what?\r\n\r\n") }), Result{Outcome: policy.Reset}},
	}
	for _, tt := range tests {
		if got := testPool().Do(t.Context(), testCall(tt.addr))[0]; got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// Guards against wrong results for the messages of a batch: each message has a state of its own in the body of the response,
// and other responses apply to all messages.
func TestBatchOutcomes(t *testing.T) {
	reply := func(head, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	wait := 250 * time.Millisecond
	failed := Result{Outcome: policy.Failed}
	tests := []struct {
		name, answer string
		want         []Result
	}{
		{"a state for each message", reply("200 OK\r\nX-Retry-In-Ms: 250", `[{"id":"e","state":"spent"},{"id":"a","state":"delivered"},
		 {"id":"b","state":"failed"},{"id":"c","state":"refused"},{"id":"d","state":"over"},{"id":"z","state":"delivered"}]`),
			[]Result{{Outcome: policy.OK, Completed: true, RetryAfter: wait}, {Outcome: policy.Failed, RetryAfter: wait},
				{Outcome: policy.Rejected, RetryAfter: wait}, {Outcome: policy.NotSent, Completed: true, RetryAfter: wait},
				{Outcome: policy.NotSent, AttemptsExhausted: true, RetryAfter: wait}}},
		{"missing messages and an unknown state", reply("200 OK", `[{"id":"a","state":"delivered"},{"id":"b","state":"odd"}]`),
			[]Result{{Outcome: policy.OK, Completed: true}, failed, failed, failed, failed}},
		{"messages named twice", reply("200 OK", `[{"id":"a","state":"delivered"},{"id":"a","state":"delivered"},
		 {"id":"b","state":"delivered"},{"id":"b","state":"refused"},{"id":"c","state":"refused"},{"id":"c","state":"failed"},
		 {"id":"d","state":"over"},{"id":"d","state":"spent"},{"id":"d","state":"over"},{"id":"e","state":"refused"}]`),
			[]Result{{Outcome: policy.OK, Completed: true}, failed, failed, failed, {Outcome: policy.Rejected}}},
		{"two bodies", reply("200 OK", `[{"id":"a","state":"delivered"}][{"id":"a","state":"refused"}]`), slices.Repeat([]Result{failed}, 5)},
		{"malformed body", reply("200 OK", `delivered`), slices.Repeat([]Result{failed}, 5)},
		{"incomplete body", "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n[{", slices.Repeat([]Result{{Outcome: policy.Reset}}, 5)},
		{"error", reply("500 No", ""), slices.Repeat([]Result{failed}, 5)},
		{"rejected with a retry time", reply("429 No\r\nX-Retry-In-Ms: 250", ""),
			slices.Repeat([]Result{{Outcome: policy.Rejected, RetryAfter: wait}}, 5)},
		{"batch too large", reply("413 No", ""), slices.Repeat([]Result{{Outcome: policy.NotSent}}, 5)},
		{"batch not parsed by the endpoint", reply("400 No", ""), slices.Repeat([]Result{{Outcome: policy.NotSent}}, 5)},
	}
	for _, tt := range tests {
		paths, bodies := make(chan string, 1), make(chan []byte, 1)
		addr := startEndpoint(t, func(c net.Conn) {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			paths <- r.URL.Path
			bodies <- body
			_, _ = io.WriteString(c, tt.answer)
		})
		call := Call{Addr: addr, Timeout: testTimeout}
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			call.Messages = append(call.Messages, Message{ID: id, Key: "k" + id, Body: []byte("hello")})
		}
		if got := testPool().Do(t.Context(), call); !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
		var sent []map[string]string
		if err := json.Unmarshal(<-bodies, &sent); err != nil || len(sent) != 5 || sent[1]["id"] != "b" ||
			sent[1]["key"] != "kb" || sent[1]["body"] != "aGVsbG8=" {
			t.Errorf("%s: wrong request body %v (error %v)", tt.name, sent, err)
		}
		if path := <-paths; path != "/inbox/bulk" {
			t.Errorf("%s: request path %s, want /inbox/bulk", tt.name, path)
		}
	}
}

// Guards against using an incomplete or malformed load report: it has to be ignored as a whole.
func TestParseLoadReport(t *testing.T) {
	for text, want := range map[string]*policy.LoadReport{
		"x0=0.4,x1=25": {Remaining: 0.4, Limit: 25}, "x1=3, x0=0": {Limit: 3}, "": nil, "x0=0.4": nil, "x0=NaN,x1=1": nil,
		"x0=-1,x1=2": nil, "x0=a,x1=2": nil, "x0=1;x1=2": nil,
	} {
		if got := parseLoadReport(text); (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("Server-Load %q: got %v, want %v", text, got, want)
		}
	}
}

// Guards against a call that waits until its time-out for the rest of a stalled response, and against ending a call whose
// endpoint is only slow to begin its response, also after an interim response.
func TestStalledResponses(t *testing.T) {
	slow := make(chan bool)
	time.AfterFunc(3*responseStallTimeout/2, func() { close(slow) })
	tests := []struct {
		name, first, rest string
		bulk              bool
		want              policy.Outcome
	}{
		{"in the status line", "HTTP/1.1 20", "", false, policy.Reset},
		{"after a status line with status 200", "HTTP/1.1 200 OK\r\nContent-Le", "", false, policy.OK},
		{"in the body of a batch response", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n[", "", true, policy.Reset},
		{"in the header of a rejection", "HTTP/1.1 503 no\r\n", "", false, policy.Reset},
		{"before the first byte", "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, policy.OK},
		{"after an interim response", "HTTP/1.1 103 wait\r\n\r\n", "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n", false, policy.Failed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			gone := make(chan error, 1)
			addr := startEndpoint(t, func(c net.Conn) {
				in := bufio.NewReader(c)
				if err := readRequest(in); err != nil {
					return
				}
				_, _ = io.WriteString(c, tt.first)
				if tt.rest != "" {
					<-slow
					_, _ = io.WriteString(c, tt.rest)
				}
				_, err := in.ReadByte()
				gone <- err
			})
			p, call := testPool(), testCall(addr)
			call.Timeout = time.Hour // if the call waits for a stalled response, the test fails by its own time-out
			if tt.bulk {
				call.Messages = append(call.Messages, Message{ID: "m2"})
			}
			if got := p.Do(t.Context(), call)[0]; got.Outcome != tt.want {
				t.Errorf("outcome %v, want %v", got.Outcome, tt.want)
			}
			if tt.rest != "" {
				p.closeIdleIf(func(string, *conn) bool { return true })
			}
			_ = receive(t, gone)
		})
	}
}
