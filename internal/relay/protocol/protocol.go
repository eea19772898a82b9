// Package protocol holds the bounds that the platform's protocol sets on all sides of a relay.
package protocol

// MaxBodySize is the largest body in bytes, of one message or of several.
const MaxBodySize = 64 << 10
