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

func TestOutcomes(t *testing.T) {
	closed, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	readThen := func(do func(c net.Conn)) string {
		return rawHost(t, func(c net.Conn) {
			if err := readCall(bufio.NewReader(c)); err == nil {
				do(c)
			}
		})
	}
	reply := func(text string) string { return rawHost(t, answering(text)) }
	tests := []struct {
		name string
		addr string
		want Result
	}{
		{"delivered", reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"), Result{Outcome: policy.OK, Completed: true}},
		{"an interim answer ahead", reply("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
			Result{Outcome: policy.OK, Completed: true}},
		{"error", reply("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), Result{Outcome: policy.Failed}},
		{"told to wait", reply("HTTP/1.1 429 No\r\nX-Retry-In-Ms: 250\r\nContent-Length: 0\r\n\r\n"),
			Result{Outcome: policy.Rejected, RetryAfter: 250 * time.Millisecond}},
		{"turned away", reply("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), Result{Outcome: policy.Rejected}},
		{"no slot", reply("HTTP/1.1 503 No\r\nX-No-Slot: 1\r\nContent-Length: 0\r\n\r\n"), Result{Outcome: policy.NotSent}},
		{"attempts spent", reply("HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n"), Result{Outcome: policy.NotSent,
			AttemptsExhausted: true}},
		{"over", reply("HTTP/1.1 410 No\r\nContent-Length: 0\r\n\r\n"), Result{Outcome: policy.NotSent, Completed: true}},
		{"connection refused", closed.Addr().String(), Result{Outcome: policy.ConnectError}},
		{"closed with no answer", readThen(func(net.Conn) {}), Result{Outcome: policy.Reset}},
		{"reset", readThen(func(c net.Conn) { resetAtClose(c) }), Result{Outcome: policy.Reset}},
		{"a head without end", readThen(func(c net.Conn) {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for err == nil {
				_, err = io.WriteString(c, "X-More: and more\r\n")
			}
		}), Result{Outcome: policy.OK, Completed: true}},
		{"a head that can't be read", reply("HTTP/1.1 200 OK\r\nno header\r\n\r\n"), Result{Outcome: policy.OK, Completed: true}},
		{"an error's head that can't be read", reply("HTTP/1.1 500 No\r\nno header\r\n\r\n"),
			Result{Outcome: policy.Reset}},
		{"half a first line, then an end", readThen(func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK") }),
			Result{Outcome: policy.Reset}},
		{"half a first line, then a reset", readThen(func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 ")
			resetAtClose(c)
		}), Result{Outcome: policy.Reset}},
		{"half a first line, then silence", readThen(func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r")
			_, _ = c.Read(make([]byte, 1))
		}), Result{Outcome: policy.Reset}},
		{"a first line in pieces", readThen(func(c net.Conn) {
			for _, piece := range []string{"HTTP/1", ".1 200 O", "K\r", "\n"} {
				_, _ = io.WriteString(c, piece)
				time.Sleep(time.Millisecond) // so that most come apart; the outcome is the same if they do not
			}
		}), Result{Outcome: policy.OK, Completed: true}},
		{"a longer status", reply("HTTP/1.1 2000 OK\r\n\r\n"), Result{Outcome: policy.Reset}},
		{"a body without end", readThen(func(c net.Conn) {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat("more", 1000))
			}
		}), Result{Outcome: policy.OK, Completed: true}},
		{"no HTTP", readThen(func(c net.Conn) { _, _ = io.WriteString(c, "what?\r\n\r\n") }), Result{Outcome: policy.Reset}},
	}
	for _, tt := range tests {
		if got := testPool().Do(t.Context(), testCall(tt.addr))[0]; got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// A call with several messages tells each one's end, or one for all.
func TestBulkOutcomes(t *testing.T) {
	reply := func(head, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	wait := 250 * time.Millisecond
	failed := Result{Outcome: policy.Failed}
	tests := []struct {
		name, answer string
		want         []Result
	}{
		{"each its end", reply("200 OK\r\nX-Retry-In-Ms: 250", `[{"id":"e","state":"spent"},{"id":"a","state":"delivered"},
		 {"id":"b","state":"failed"},{"id":"c","state":"refused"},{"id":"d","state":"over"},{"id":"z","state":"delivered"}]`),
			[]Result{{Outcome: policy.OK, Completed: true, RetryAfter: wait}, {Outcome: policy.Failed, RetryAfter: wait},
				{Outcome: policy.Rejected, RetryAfter: wait}, {Outcome: policy.NotSent, Completed: true, RetryAfter: wait},
				{Outcome: policy.NotSent, AttemptsExhausted: true, RetryAfter: wait}}},
		{"one is missing", reply("200 OK", `[{"id":"a","state":"delivered"},{"id":"b","state":"odd"}]`),
			[]Result{{Outcome: policy.OK, Completed: true}, failed, failed, failed, failed}},
		{"unreadable", reply("200 OK", `delivered`), slices.Repeat([]Result{failed}, 5)},
		{"cut off", "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n[{", slices.Repeat([]Result{{Outcome: policy.Reset}}, 5)},
		{"error", reply("500 No", ""), slices.Repeat([]Result{failed}, 5)},
		{"told to wait", reply("429 No\r\nX-Retry-In-Ms: 250", ""),
			slices.Repeat([]Result{{Outcome: policy.Rejected, RetryAfter: wait}}, 5)},
		{"too many", reply("413 No", ""), slices.Repeat([]Result{{Outcome: policy.NotSent}}, 5)},
		{"not understood", reply("400 No", ""), slices.Repeat([]Result{{Outcome: policy.NotSent}}, 5)},
	}
	for _, tt := range tests {
		paths, bodies := make(chan string, 1), make(chan []byte, 1)
		addr := rawHost(t, func(c net.Conn) {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			paths <- r.URL.Path
			bodies <- body
			_, _ = io.WriteString(c, tt.answer)
		})
		call := Call{Addr: addr, Timeout: long}
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			call.Messages = append(call.Messages, Message{ID: id, Key: "k" + id, Body: []byte("hello")})
		}
		if got := testPool().Do(t.Context(), call); !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
		var sent []map[string]string
		if err := json.Unmarshal(<-bodies, &sent); err != nil || len(sent) != 5 || sent[1]["id"] != "b" ||
			sent[1]["key"] != "kb" || sent[1]["body"] != "aGVsbG8=" {
			t.Errorf("%s: sent %v (%v)", tt.name, sent, err)
		}
		if path := <-paths; path != "/inbox/bulk" {
			t.Errorf("%s: path %s", tt.name, path)
		}
	}
}

func TestParseLoadReport(t *testing.T) {
	for text, want := range map[string]*policy.LoadReport{
		"x0=0.4,x1=25": {Remaining: 0.4, Limit: 25}, "x1=3, x0=0": {Limit: 3}, "": nil, "x0=0.4": nil, "x0=NaN,x1=1": nil,
		"x0=-1,x1=2": nil, "x0=a,x1=2": nil, "x0=1;x1=2": nil,
	} {
		if got := parseLoadReport(text); (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
}

// A host that stops in the middle of its answer does not hold the call to its end; one that works long before it
// answers, or between an interim answer and the real one, does.
func TestStalledAnswers(t *testing.T) {
	slow := make(chan bool)
	time.AfterFunc(3*responseStallTimeout/2, func() { close(slow) })
	tests := []struct {
		name, first, rest string
		bulk              bool
		want              policy.Outcome
	}{
		{"in the first line", "HTTP/1.1 20", "", false, policy.Reset},
		{"after a first line that says 200", "HTTP/1.1 200 OK\r\nContent-Le", "", false, policy.OK},
		{"the same, but only the body tells", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n[", "", true, policy.Reset},
		{"in the head of a refusal", "HTTP/1.1 503 no\r\n", "", false, policy.Reset},
		{"before the first byte", "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, policy.OK},
		{"after an interim answer", "HTTP/1.1 103 wait\r\n\r\n", "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n", false, policy.Failed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			gone := make(chan error, 1)
			addr := rawHost(t, func(c net.Conn) {
				in := bufio.NewReader(c)
				if err := readCall(in); err != nil {
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
			call.Timeout = time.Hour // a stalled answer that is waited for fails by the test's own end
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
