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
	// clientTimeout is how long a client waits for the response to a submitted message, as the protocol says.
	clientTimeout = 400 * time.Millisecond
	// requestTimeout is how long the test bed's HTTP client waits. It is much longer than clientTimeout, so that
	// longer stalls are measured in full.
	requestTimeout = 20 * time.Second
	// lateThreshold is the delay after its scheduled time above which a submission counts as sent late by the test
	// bed.
	lateThreshold = 50 * time.Millisecond
	// messageBytes is the length of the body of a message.
	messageBytes = 200
	// maxInFlight is the number of concurrent requests at a steady rate; a submission beyond it counts as unanswered.
	maxInFlight = 2000
	// maxHeldInFlight is the number of concurrent requests while the backlog of undeliverable messages is built up.
	maxHeldInFlight = 256
)

// clients submits messages of one class to one relay over HTTP.
type clients struct {
	url   string
	class string
	http  *http.Client
	next  atomic.Int64 // number of the latest message, part of its request id
	run   uint64       // part of the request ids, so that they differ from those of other clients

	accepted, refused, failed atomic.Int64
	scheduled, late           atomic.Int64
}

func newClients(address, class string, run uint64) *clients {
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, IdleConnTimeout: time.Second,
		DialContext: (&net.Dialer{Timeout: requestTimeout}).DialContext}
	return &clients{url: "http://" + address + "/" + class, class: class, run: run,
		http: &http.Client{Timeout: requestTimeout, Transport: transport}}
}

func (c *clients) close() { c.http.CloseIdleConnections() }

// submit sends one message and returns the HTTP status of the response, or 0 where there was none.
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

// responseTimes collects the response times of one phase. They are measured from the scheduled time of each request,
// so that a stall that delays later requests counts for each of them.
type responseTimes struct {
	mu         sync.Mutex
	histogram  *hdrhistogram.Histogram // microseconds
	unanswered int                     // requests without a response within clientTimeout
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

// sendAtRate submits messages at a constant rate for a time span, waits for all responses and returns the response
// times. The timeout is the delivery deadline of each message.
func (c *clients) sendAtRate(ctx context.Context, rate float64, span time.Duration, timeout time.Duration, destination func() int) *responseTimes {
	all := newResponseTimes()
	if rate <= 0 {
		clock.Sleep(ctx, span)
		return all
	}
	var requests sync.WaitGroup
	inFlight := make(chan struct{}, maxInFlight)
	begun, gap := time.Now(), time.Duration(float64(time.Second)/rate)
	for due := begun; due.Before(begun.Add(span)); due = due.Add(gap) {
		if !clock.Sleep(ctx, time.Until(due)) {
			break
		}
		c.scheduled.Add(1)
		if time.Since(due) > lateThreshold {
			c.late.Add(1)
		}
		to := destination()
		select {
		case inFlight <- struct{}{}:
		default: // The relay has stopped answering: a real client would have no response either.
			c.failed.Add(1)
			all.add(requestTimeout, 0)
			continue
		}
		requests.Go(func() {
			defer func() { <-inFlight }()
			status := c.submit(ctx, to, timeout)
			all.add(time.Since(due), status)
		})
	}
	requests.Wait()
	return all
}

// sendUntilAccepted submits messages concurrently until count of them were accepted, the time limit has passed, or
// the relay keeps refusing them. It returns the time that this took. The timeout is the delivery deadline of each
// message.
func (c *clients) sendUntilAccepted(ctx context.Context, count int, within, timeout time.Duration, destination func() int) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	begun := time.Now()
	before := c.accepted.Load()
	refusedBefore := c.refused.Load()
	var work sync.WaitGroup
	var destinationMu sync.Mutex
	var claimed atomic.Int64
	for range maxHeldInFlight {
		work.Go(func() {
			for ctx.Err() == nil && claimed.Add(1) <= int64(count) {
				destinationMu.Lock()
				to := destination()
				destinationMu.Unlock()
				status := c.submit(ctx, to, timeout)
				if status == http.StatusAccepted || status == http.StatusOK {
					continue
				}
				claimed.Add(-1)
				if c.refused.Load()-refusedBefore > 100+(c.accepted.Load()-before)/2 {
					return // the relay keeps refusing messages
				}
			}
		})
	}
	work.Wait()
	return time.Since(begun)
}

// generator returns a random number generator for one purpose; equal seeds and purposes give equal sequences.
func generator(seed, purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, purpose)) }
