package scale

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// The units of a plan are structures: the decoder takes a plain number for any type whose kind is one, and the text of it for
// others, which checkUnits refuses with its line.

// Duration is a time, written with its unit: "5s".
type Duration struct{ value time.Duration }

// UnmarshalText reads a duration; one without its unit, or below zero, is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 || string(text) == "0" {
		return fmt.Errorf("%q is not a time with its unit, such as \"1.5s\" or \"300ms\"", text)
	}
	d.value = v
	return nil
}

// MarshalText writes a duration as it is read.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.value.String()), nil }

// D gives the duration in the standard library's type.
func (d Duration) D() time.Duration { return d.value }

// S gives the duration in seconds.
func (d Duration) S() float64 { return d.value.Seconds() }

// Rate is a number a second, written with its unit: "16/s".
type Rate struct{ perSecond float64 }

// PerSecond gives the rate.
func (r Rate) PerSecond() float64 { return r.perSecond }

// UnmarshalText reads a rate; one without its unit, or below zero, is an error.
func (r *Rate) UnmarshalText(text []byte) error {
	number, isRate := strings.CutSuffix(string(text), "/s")
	v, err := strconv.ParseFloat(number, 64)
	if !isRate || err != nil || !(v >= 0) {
		return fmt.Errorf("%q is not a rate with its unit, such as \"16/s\"", text)
	}
	r.perSecond = v
	return nil
}

// MarshalText writes a rate as it is read.
func (r Rate) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(r.perSecond, 'g', -1, 64) + "/s"), nil
}

// Share is a part of a whole, written as a percentage: "1%".
type Share struct{ part float64 }

// Part gives the share, from 0 to 1.
func (s Share) Part() float64 { return s.part }

// UnmarshalText reads a share; one without its unit, or outside 0 to 100%, is an error.
func (s *Share) UnmarshalText(text []byte) error {
	number, isShare := strings.CutSuffix(string(text), "%")
	v, err := strconv.ParseFloat(number, 64)
	if !isShare || err != nil || !(v >= 0 && v <= 100) {
		return fmt.Errorf("%q is not a share with its unit, such as \"1%%\"", text)
	}
	s.part = v / 100
	return nil
}

// MarshalText writes a share as it is read.
func (s Share) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(100*s.part, 'g', -1, 64) + "%"), nil
}

// Size is a number of bytes, written with its unit: "256MB". A MB has 2^20 bytes.
type Size struct{ bytes int64 }

// megabyte is the number of bytes of a MB.
const megabyte = 1 << 20

// UnmarshalText reads a size; one without its unit, or not above zero, is an error.
func (s *Size) UnmarshalText(text []byte) error {
	number, isSize := strings.CutSuffix(string(text), "MB")
	v, err := strconv.ParseInt(number, 10, 32)
	if !isSize || err != nil || v <= 0 {
		return fmt.Errorf("%q is not a size with its unit, such as \"256MB\"", text)
	}
	s.bytes = v * megabyte
	return nil
}

// MarshalText writes a size as it is read.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(s.bytes/megabyte, 10) + "MB"), nil
}

// MB gives the size in MB.
func (s Size) MB() float64 { return float64(s.bytes) / megabyte }
