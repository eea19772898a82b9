package relay

import "time"

// adminLoopTimeout limits how long an operator's command waits for the event loop, queueing and execution together.
const adminLoopTimeout = time.Second

// adminCommand is the event for an operator's command that needs the loop's state.
type adminCommand struct {
	answer func() string // computes the reply; the loop calls it
	reply  chan string   // has a buffer of one, so that the loop never blocks
}

// queryLoop calls answer in the event loop and returns its result, or an ERR reply if the loop does not answer within
// adminLoopTimeout. The goroutines of the admin endpoint call it.
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
