package scale

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"milletsail/internal/clock"
)

const (
	// clientTimeout is how long a client waits for its answer, by the protocol.
	clientTimeout = 400 * time.Millisecond
	// requestTimeout is how long a client of the test bed waits, so that a longer stall is measured and not cut off.
	requestTimeout = 20 * time.Second
	// lateThreshold is how late a hand-in of the test bed may be until it counts as late.
	lateThreshold = 50 * time.Millisecond
	// messageBytes is the length of a message's body.
	messageBytes = 200
	// maxInFlight hand-ins are out at once; further ones count as not answered.
	maxInFlight = 2000
	// maxHeldInFlight hand-ins of messages that are to be held are out at once.
	maxHeldInFlight = 256
)

// clients hand messages in at one relay.
type clients struct {
	url   string
	class string
	http  *http.Client
	next  atomic.Int64 // number of the next message
	run   uint64       // distinguishes the ids of this process of the bed

	accepted, refused, failed atomic.Int64
	due, late                 atomic.Int64
}

func newClients(address, class string, run uint64) *clients {
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, IdleConnTimeout: time.Second,
		DialContext: (&net.Dialer{Timeout: requestTimeout}).DialContext}
	return &clients{url: "http://" + address + "/" + class, class: class, run: run,
		http: &http.Client{Timeout: requestTimeout, Transport: transport}}
}

func (c *clients) close() { c.http.CloseIdleConnections() }

// submit hands one message in and gives the status of the answer; 0 for none.
func (c *clients) submit(ctx context.Context, destination int, timeout time.Duration) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(make([]byte, messageBytes)))
	if err != nil {
		return 0
	}
	request.Header.Set("Request-Id", fmt.Sprintf("%x-%d", c.run, c.next.Add(1)))
	request.Header.Set("Request-Timeout", strconv.FormatFloat(timeout.Seconds(), 'f', 3, 64))
	request.Header.Set("X-Envelope", "dest="+strconv.Itoa(destination))
	response, err := c.http.Do(request)
	if err != nil {
		c.failed.Add(1)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	c.count(response.StatusCode)
	return response.StatusCode
}

func (c *clients) count(status int) {
	switch status {
	case http.StatusOK, http.StatusAccepted:
		c.accepted.Add(1)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
}

// responseTimes is the times from hand-in to answer of a phase. A hand-in is timed from when it is due, so that a stall that
// holds further ones up is counted for each of them.
type responseTimes struct {
	mu         sync.Mutex
	histogram  *hdrhistogram.Histogram // microseconds
	unanswered int                     // not within a client's patience
}

func newResponseTimes() *responseTimes {
	const significantDigits = 3
	return &responseTimes{histogram: hdrhistogram.New(1, (2 * requestTimeout).Microseconds(), significantDigits)}
}

func (a *responseTimes) add(took time.Duration, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.histogram.RecordValue(min(took, 2*requestTimeout).Microseconds())
	if status == 0 || took > clientTimeout {
		a.unanswered++
	}
}

// sendAtRate hands messages in at a sendAtRate rate for a time, and waits for all answers.
func (c *clients) sendAtRate(ctx context.Context, rate float64, span time.Duration, timeout time.Duration, destination func() int) *responseTimes {
	all := newResponseTimes()
	if rate <= 0 {
		clock.Sleep(ctx, span)
		return all
	}
	var open sync.WaitGroup
	room := make(chan struct{}, maxInFlight)
	begun, gap := time.Now(), time.Duration(float64(time.Second)/rate)
	for due := begun; due.Before(begun.Add(span)); due = due.Add(gap) {
		if !clock.Sleep(ctx, time.Until(due)) {
			break
		}
		c.due.Add(1)
		if time.Since(due) > lateThreshold {
			c.late.Add(1)
		}
		to := destination()
		select {
		case room <- struct{}{}:
		default: // the relay has long stopped answering: a client would have no answer either
			c.failed.Add(1)
			all.add(requestTimeout, 0)
			continue
		}
		open.Go(func() {
			defer func() { <-room }()
			status := c.submit(ctx, to, timeout)
			all.add(time.Since(due), status)
		})
	}
	open.Wait()
	return all
}

// sendUntilAccepted hands messages in as fast as the relay answers, until so many were accepted, the time is up, or the relay refuses
// steadily. It gives the time that it took.
func (c *clients) sendUntilAccepted(ctx context.Context, count int, within, timeout time.Duration, destination func() int) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	begun := time.Now()
	before := c.accepted.Load()
	refusedBefore := c.refused.Load()
	var work sync.WaitGroup
	var numbers sync.Mutex
	var taken atomic.Int64
	for range maxHeldInFlight {
		work.Go(func() {
			for ctx.Err() == nil && taken.Add(1) <= int64(count) {
				numbers.Lock()
				to := destination()
				numbers.Unlock()
				status := c.submit(ctx, to, timeout)
				if status == http.StatusAccepted || status == http.StatusOK {
					continue
				}
				taken.Add(-1)
				if c.refused.Load()-refusedBefore > 100+(c.accepted.Load()-before)/2 {
					return // the relay takes no more
				}
			}
		})
	}
	work.Wait()
	return time.Since(begun)
}

// generator gives random numbers for one purpose; the same seed and purpose give the same ones.
func generator(seed, purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, purpose)) }
