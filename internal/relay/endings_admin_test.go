package relay

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// A caller of the admin endpoint gets its whole reply and the end of the connection, whatever it sent behind its line: a
// close over unread bytes would reset the connection, and with it what the caller has not read yet.
func TestAdminReplyOutlivesTheClose(t *testing.T) {
	const replyLength = 256 << 10
	d := testAdmin(t)
	replying := make(chan bool, 1)
	for word, length := range map[string]int{"short": 2, "long": replyLength} {
		d.offer(word, func(string) string {
			replying <- true
			return strings.Repeat("x", length)
		})
	}
	for _, tt := range []struct {
		name, line, more string
		want             int // bytes of the reply
	}{
		{"nothing more", "short\n", "", len("xx\n")},
		{"a second line, read with the first", "short\n", "short\n", len("xx\n")},
		{"more than is read with the line", "short\n", strings.Repeat("short\n", 1000), len("xx\n")},
		{"the same, and a long reply", "long\n", strings.Repeat("short\n", 1000), replyLength + 1},
	} {
		c, err := net.Dial("tcp", d.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		write(t, c, tt.line+tt.more)
		receive(t, replying)
		// The caller reads only when the endpoint is through with it.
		eventually(t, tt.name+": the endpoint is through", func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return len(d.open) == 0
		})
		_ = c.SetReadDeadline(time.Now().Add(long))
		if got, err := io.ReadAll(c); len(got) != tt.want || err != nil {
			t.Errorf("%s: %d bytes of the reply, want %d (%v)", tt.name, len(got), tt.want, err)
		}
		_ = c.Close()
	}
}
