package policy

import (
	"bytes"
	"testing"
	"time"
)

func TestLimitMessageCodec(t *testing.T) {
	for _, l := range []limitMessage{{}, {destination: 7, retryAfter: 1500 * ms, callAge: 90 * ms},
		{accepted: true, destination: 7, callAge: 90 * ms},
		{destination: maxGossipNumber, retryAfter: maxGossipNumber * ms, callAge: maxGossipNumber * ms}} {
		if got, ok := decodeLimitMessage(l.encode()); !ok || got != l {
			t.Errorf("limit message %v, encoded and decoded, is %v with ok %v, want the same and true", l,
				got, ok)
		}
	}
	complete := limitMessage{destination: 300, retryAfter: 700 * ms, callAge: 300 * ms}.encode()
	for _, bad := range [][]byte{nil, {}, {circuitOpenType}, complete[:2], complete[:len(complete)-1],
		append(bytes.Clone(complete), 0),
		append([]byte{'x'}, complete[1:]...),
		append([]byte{circuitOpenType}, bytes.Repeat([]byte{0xff}, 200)...),
		limitMessage{destination: maxGossipNumber + 1}.encode(),
		limitMessage{retryAfter: (maxGossipNumber + 1) * ms}.encode()} {
		if l, ok := decodeLimitMessage(bad); ok {
			t.Errorf("malformed message %x was decoded as %v", bad, l)
		}
	}
}

func TestObservationCodec(t *testing.T) {
	for _, o := range []Observation{
		{CircuitOpen: true, Destination: 7, RetryAfter: time.Second, CallAge: 30 * ms},
		{CircuitClosed: true, Destination: 7, CallAge: ms},
		{Recovered: true, Endpoint: "h"}, {ConnectError: true, Endpoint: "h"}} {
		if got, ok := DecodeObservation(o.Encode()); !ok || got != o {
			t.Errorf("observation %+v, encoded and decoded, is %+v, want the same", o, got)
		}
	}
	for _, message := range []string{"", "x", "c", "b", "n", "c\x01"} {
		if got, ok := DecodeObservation([]byte(message)); ok {
			t.Errorf("malformed message %q was decoded as %+v", message, got)
		}
	}
}
