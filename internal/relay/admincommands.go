package relay

import "time"

// adminLoopTimeout bounds how long an operator's command waits for the event loop.
const adminLoopTimeout = time.Second

// adminCommand is an event: an operator's command that only the loop can answer.
type adminCommand struct {
	answer func() string
	reply  chan string // has capacity for one
}

// queryLoop has the loop answer an operator's command; for goroutines of the admin endpoint.
func (l *loop) queryLoop(answer func() string) string {
	c := adminCommand{answer, make(chan string, 1)}
	timer := time.NewTimer(adminLoopTimeout)
	defer timer.Stop()
	select {
	case l.inbox <- c:
	case <-timer.C:
		return "ERR this relay is too busy"
	}
	select {
	case reply := <-c.reply:
		return reply
	case <-timer.C:
		return "ERR no answer in time: ask for the status"
	}
}
