// Command 1 plays a case of the review: answers of an endpoint that can't be read to their end, to messages that may not be
// repeated.
package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"milletsail/review/stand"
)

const (
	// messages is the number of messages, with one each interval.
	messages = 240
	interval = 50 * time.Millisecond
	// spoiltEvery is how seldom a message gets a spoilt answer.
	spoiltEvery = 8
	// deadline is the time for which a message may be delivered.
	deadline = 6 * time.Second
	// destinations is the number of destinations, with one endpoint each.
	destinations = 3
	// workTime is how long an endpoint takes for a message.
	workTime = 30 * time.Millisecond
)

// scene is the state of the stand-ins.
type scene struct {
	record  *stand.Record
	trouble bool

	mu     sync.Mutex
	runs   map[string]int
	spoilt map[string]string // how the answer to the first call was spoilt, by id
	turned map[string]bool   // turned away with a whole answer, without the disruption
}

func main() { stand.Main(run) }

func run(ctx context.Context, record *stand.Record, root, dir string, trouble bool) (stand.Exit, error) {
	s := &scene{record: record, trouble: trouble, runs: map[string]int{}, spoilt: map[string]string{}, turned: map[string]bool{}}
	settings := stand.Settings([]stand.Class{{Name: "orden", Effect: "fragile", DeadlineS: deadline.Seconds(), MemorySpanS: 5}}, 27, 1)
	bed, err := stand.StartBed(ctx, record, root, dir, settings, destinations, s.answer)
	if err != nil {
		return stand.NotRun, err
	}
	defer bed.Close()
	for i := range messages {
		time.Sleep(interval)
		go func() {
			name := "plain"
			if i%spoiltEvery == 0 {
				name = []string{"cut", "chunk", "endless"}[i/spoiltEvery%3]
			}
			m := stand.Message{ID: fmt.Sprintf("%s-%04d", name, i), Class: "orden", Dest: 1 + i%destinations, Timeout: deadline,
				Body: "order"}
			record.Add("sent id=%s dest=%d", m.ID, m.Dest)
			record.Add("answered id=%s status=%d", m.ID, bed.Clients.Send(ctx, m))
		}()
	}
	time.Sleep(deadline + time.Second)
	return s.judge(bed)
}

// answer answers a call. The first call with a message whose id says so is run, and then gets an answer of which the first line
// and the header arrive, but whose body never ends as the header says. Without the disruption it is turned away with a whole answer.
func (s *scene) answer(call *stand.Call) []byte {
	id := call.Items[0].ID
	kind, _, _ := strings.Cut(id, "-")
	s.mu.Lock()
	first := kind != "plain" && s.spoilt[id] == "" && !s.turned[id]
	if first && !s.trouble {
		s.turned[id] = true
		s.mu.Unlock()
		s.record.Add("turned away id=%s endpoint=%s", id, call.Endpoint)
		return stand.Answer("503 Service Unavailable", "", "busy")
	}
	s.runs[id]++
	s.record.Add("run id=%s endpoint=%s time=%d", id, call.Endpoint, s.runs[id])
	if first {
		s.spoilt[id] = kind
	}
	s.mu.Unlock()
	time.Sleep(workTime)
	if !first {
		return call.Delivered()
	}
	s.record.Add("spoilt answer id=%s kind=%s", id, kind)
	return s.spoil(call, kind)
}

// spoil writes an answer that can't be read to its end, and resets or closes the connection.
func (s *scene) spoil(call *stand.Call, kind string) []byte {
	const closing = "Connection: close\r\n"
	switch kind {
	case "cut": // the body is shorter than its length
		return []byte("HTTP/1.1 503 Service Unavailable\r\n" + closing + "Content-Length: 64\r\n\r\nthe order is")
	case "chunk": // the body's chunks are garbled
		return []byte("HTTP/1.1 503 Service Unavailable\r\n" + closing + "Transfer-Encoding: chunked\r\n\r\n5\r\nthe oQQ!!\r\n")
	}
	// The body never ends.
	_, err := call.Conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n"))
	for end := time.Now().Add(deadline); err == nil && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		_, err = call.Conn.Write([]byte("5\r\nxxxxx\r\n"))
	}
	return nil
}

// judge counts the messages that ran twice.
func (s *scene) judge(bed *stand.Bed) (stand.Exit, error) {
	if bed.Crashed() {
		return stand.NotRun, errors.New("the relay ended by itself")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	twice, byKind := 0, map[string]int{}
	for id, n := range s.runs {
		if n > 1 {
			twice++
			byKind[s.spoilt[id]]++
		}
	}
	result := fmt.Sprintf("messages run %d, spoilt answers %d, turned away %d, run more than once %d %v", len(s.runs), len(s.spoilt),
		len(s.turned), twice, byKind)
	fmt.Println(result)
	s.record.Add("%s", result)
	switch {
	case len(s.spoilt)+len(s.turned) == 0:
		return stand.NotRun, errors.New("no message reached the point of the case")
	case twice > 0:
		return stand.Broken, nil
	}
	return stand.Held, nil
}
