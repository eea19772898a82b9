package policy

import (
	"encoding/binary"
	"time"
)

// The first byte of a gossip message is its type. The letters are part of the wire format.
const (
	circuitOpenType       = 'c' // a destination has rejected a call
	circuitClosedType     = 'o' // a destination has accepted a call
	endpointRecoveredType = 'b' // an ejected endpoint answers again
	connectErrorType      = 'n' // an endpoint has not accepted a connection
	canarySuccessType     = 'g' // a call to a canary has succeeded
	canaryFailureType     = 'w' // a call to a canary has failed
)

// maxGossipNumber is the largest number that a gossip message may contain, so that conversions do not
// overflow.
const maxGossipNumber = 1 << 31

// limitMessage is the gossip message which reports that a destination has rejected or accepted a call.
type limitMessage struct {
	accepted    bool
	destination int
	retryAfter  time.Duration // Retry-After of a rejection; 0 for none
	callAge     time.Duration // time since the call was sent
}

// canaryMessage is the gossip message that reports the outcome of a message of the given class at a canary.
// Receivers use the random ID to recognize duplicates.
type canaryMessage struct {
	endpoint string
	class    int
	failed   bool
	id       uint64
}

// Observation is the decoded content of a Broadcast, for callers that combine the reports of several relays.
// Exactly one of these is set: CircuitOpen (a destination has rejected a call), CircuitClosed (a destination
// has accepted a call), Recovered (an ejected endpoint has answered again) or ConnectError (an endpoint has
// not accepted a connection).
type Observation struct {
	CircuitOpen, CircuitClosed, Recovered, ConnectError bool
	// Destination is the destination that a CircuitOpen or CircuitClosed concerns.
	Destination int
	// Endpoint is the ID of the endpoint that a Recovered or ConnectError concerns.
	Endpoint string
	// RetryAfter is the Retry-After of the rejected call of a CircuitOpen; 0 for none.
	RetryAfter time.Duration
	// CallAge is the time since the call of a CircuitOpen or CircuitClosed was sent.
	CallAge time.Duration
}

// DecodeObservation decodes the message of a Broadcast. It returns false for a message that is malformed or
// that reports the outcome of a canary.
func DecodeObservation(message []byte) (observed Observation, ok bool) {
	if limit, ok := decodeLimitMessage(message); ok {
		return Observation{
			CircuitOpen:   !limit.accepted,
			CircuitClosed: limit.accepted,
			Destination:   limit.destination,
			RetryAfter:    limit.retryAfter,
			CallAge:       limit.callAge,
		}, true
	}
	if recovered := decodeEndpointMessage(endpointRecoveredType, message); recovered != "" {
		return Observation{Recovered: true, Endpoint: recovered}, true
	}
	if unreachable := decodeEndpointMessage(connectErrorType, message); unreachable != "" {
		return Observation{ConnectError: true, Endpoint: unreachable}, true
	}
	return Observation{}, false
}

// Encode encodes an observation as the message of a Broadcast.
func (o Observation) Encode() []byte {
	switch {
	case o.Recovered:
		return encodeEndpointMessage(endpointRecoveredType, o.Endpoint)
	case o.ConnectError:
		return encodeEndpointMessage(connectErrorType, o.Endpoint)
	}
	limit := limitMessage{
		accepted:    o.CircuitClosed,
		destination: o.Destination,
		retryAfter:  o.RetryAfter,
		callAge:     o.CallAge,
	}
	return limit.encode()
}

// encode returns the message type followed by the destination, the Retry-After and the age of the call as
// varints, with durations in milliseconds.
func (m limitMessage) encode() []byte {
	encoded := []byte{circuitOpenType}
	if m.accepted {
		encoded[0] = circuitClosedType
	}
	encoded = binary.AppendUvarint(encoded, uint64(m.destination))
	encoded = binary.AppendUvarint(encoded, uint64(m.retryAfter.Milliseconds()))
	return binary.AppendUvarint(encoded, uint64(m.callAge.Milliseconds()))
}

// decodeLimitMessage decodes a limitMessage. It returns false for a message that is malformed, of another
// type, or followed by further bytes.
func decodeLimitMessage(message []byte) (m limitMessage, ok bool) {
	if len(message) == 0 || message[0] != circuitOpenType && message[0] != circuitClosedType {
		return m, false
	}
	var numbers [3]uint64
	remaining := message[1:]
	for i := range numbers {
		if numbers[i], remaining, ok = decodeNumber(remaining); !ok {
			return m, false
		}
	}
	return limitMessage{
		accepted:    message[0] == circuitClosedType,
		destination: int(numbers[0]),
		retryAfter:  time.Duration(numbers[1]) * time.Millisecond,
		callAge:     time.Duration(numbers[2]) * time.Millisecond,
	}, len(remaining) == 0
}

// encode returns the message type, followed by the class and the ID as varints and by the ID of the endpoint.
func (m canaryMessage) encode() []byte {
	encoded := []byte{canarySuccessType}
	if m.failed {
		encoded[0] = canaryFailureType
	}
	encoded = binary.AppendUvarint(encoded, uint64(m.class))
	encoded = binary.AppendUvarint(encoded, m.id)
	return append(encoded, m.endpoint...)
}

// decodeCanaryMessage decodes a canaryMessage. It returns false for a message that is malformed or of another
// type.
func decodeCanaryMessage(message []byte) (m canaryMessage, ok bool) {
	if len(message) == 0 || message[0] != canarySuccessType && message[0] != canaryFailureType {
		return m, false
	}
	class, remaining, ok := decodeNumber(message[1:])
	if !ok {
		return m, false
	}
	id, remaining, ok := decodeNumber(remaining)
	if !ok {
		return m, false
	}
	failed := message[0] == canaryFailureType
	return canaryMessage{endpoint: string(remaining), class: int(class), failed: failed, id: id}, true
}

// decodeNumber decodes a varint of at most maxGossipNumber, and returns the bytes that follow it.
func decodeNumber(message []byte) (number uint64, remaining []byte, ok bool) {
	number, length := binary.Uvarint(message)
	if length <= 0 || number > maxGossipNumber {
		return 0, nil, false
	}
	return number, message[length:], true
}

// encodeEndpointMessage returns a gossip message of the given type, followed by the ID of an endpoint.
func encodeEndpointMessage(messageType byte, endpoint string) []byte {
	return append([]byte{messageType}, endpoint...)
}

// decodeEndpointMessage returns the endpoint ID in a gossip message of the given type, or "" if the message
// is of another type.
func decodeEndpointMessage(messageType byte, message []byte) string {
	if len(message) == 0 || message[0] != messageType {
		return ""
	}
	return string(message[1:])
}
