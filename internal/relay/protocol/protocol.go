// Package protocol defines the limits of the platform's protocol that apply to clients, endpoints and notifications alike.
package protocol

// MaxBodySize is the maximum size of a body in bytes, whether it holds one message or a batch.
const MaxBodySize = 64 << 10
