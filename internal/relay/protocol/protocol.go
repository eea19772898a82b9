// Package protocol defines the limits of the platform's protocol that apply to clients, endpoints and notifications alike.
package protocol

import "time"

// MaxBodySize is the maximum size of a body in bytes, whether it holds one message or a batch.
const MaxBodySize = 64 << 10

// ResponseSettleTime is how long a connection rests after a response before it carries the next request. If the peer sends more
// than the response, the rest arrives in that time and is not taken for the response to the next request.
const ResponseSettleTime = 5 * time.Millisecond
