// Package protocol defines the limits of HTTP messages that apply to clients, endpoints and notifications alike.
package protocol

import "time"

// MaxBodySize is the maximum size of a body in bytes, whether it holds one message or a batch.
const MaxBodySize = 64 << 10

const (
	// MaxHeadSize is the maximum size in bytes of the head of a request or response: its first line and its header.
	MaxHeadSize = 16 << 10
	// MaxHeadLines is the maximum number of lines of a head. net/http keeps the fields in a map, where a short one takes up many
	// times its size.
	MaxHeadLines = 100
)

// ResponseSettleTime is how long a connection rests after a response before it carries the next request. If the peer sends more
// than the response, the rest arrives in that time and is not taken for the response to the next request.
const ResponseSettleTime = 5 * time.Millisecond
