package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"milletsail/internal/clock"
	"milletsail/internal/instant"
	"milletsail/policy"
)

// An answer to a call with several messages that is read after the time of one of them counts for none, also where the
// timer that ends the call is late: here it does not fire in time.
func TestLateAnswerToASharedCall(t *testing.T) {
	answered := `[{"id":"a","state":"delivered"},{"id":"b","state":"delivered"}]`
	addr := rawHost(t, func(c net.Conn) {
		if readRequest(c) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Retry-In-Ms: 250\r\nContent-Length: 63\r\n\r\n" + answered))
		}
	})
	late := result{outcome: policy.TimedOut, wait: 250 * time.Millisecond}
	delivered := result{outcome: policy.OK, over: true, wait: 250 * time.Millisecond}
	for _, c := range []struct {
		name string
		by   instant.Time
		want result
	}{
		{"the time is up", clock.Now(), late},
		{"in time", clock.Now().Add(long), delivered},
		{"no bound", 0, delivered},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), long)
		defer cancel()
		pool := testPool()
		connection, err := pool.get(ctx, addr)
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		call := request{addr: addr, timeout: long, answerBy: c.by, parcels: []parcel{{ID: "a"}, {ID: "b"}}}
		got, reuse := pool.exchange(ctx, connection, call)
		if !slices.Equal(got, []result{c.want, c.want}) || reuse != (c.want == delivered) {
			t.Errorf("%s: %+v, reuse %v", c.name, got, reuse)
		}
	}
}

// readRequest reads one request, and tells whether it came whole.
func readRequest(c net.Conn) bool {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return false
	}
	defer request.Body.Close()
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// An answer has to be read ahead of the time of the message with the least left, by the margin or half of what is left.
func TestAnswerBy(t *testing.T) {
	now := clock.Now()
	sends := func(left ...time.Duration) (all []send) {
		for _, d := range left {
			all = append(all, send{expires: now.Add(d)})
		}
		return all
	}
	for _, c := range []struct {
		left []time.Duration
		want time.Duration
	}{
		{[]time.Duration{time.Minute, time.Second}, time.Second - answerMargin},
		{[]time.Duration{time.Second, time.Minute}, time.Second - answerMargin},
		{[]time.Duration{2 * answerMargin, time.Minute}, answerMargin},
		{[]time.Duration{answerMargin, time.Minute}, answerMargin / 2},
	} {
		if by := answerBy(now, sends(c.left...)); by.Sub(now) != c.want {
			t.Errorf("%v left: by %v, want %v", c.left, by.Sub(now), c.want)
		}
	}
}
