package scale

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// The values of a plan that have a unit are structs. For a type whose kind is a number the decoder would accept a
// plain number; for others it passes the number's text to UnmarshalText, and checkUnits rejects it with its line.

// Duration is a time span, written with its unit: "5s".
type Duration struct{ value time.Duration }

// UnmarshalText parses a duration; a negative one and one without a unit are errors.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 || string(text) == "0" {
		return fmt.Errorf("%q is not a time with its unit, such as \"1.5s\" or \"300ms\"", text)
	}
	d.value = v
	return nil
}

// MarshalText returns the form that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.value.String()), nil }

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return d.value }

// S returns the duration in seconds.
func (d Duration) S() float64 { return d.value.Seconds() }

// Rate is a number of events per second, written with its unit: "16/s".
type Rate struct{ perSecond float64 }

// PerSecond returns the number of events per second.
func (r Rate) PerSecond() float64 { return r.perSecond }

// UnmarshalText parses a rate; a negative one and one without a unit are errors.
func (r *Rate) UnmarshalText(text []byte) error {
	number, isRate := strings.CutSuffix(string(text), "/s")
	v, err := strconv.ParseFloat(number, 64)
	if !isRate || err != nil || !(v >= 0) {
		return fmt.Errorf("%q is not a rate with its unit, such as \"16/s\"", text)
	}
	r.perSecond = v
	return nil
}

// MarshalText returns the form that UnmarshalText parses.
func (r Rate) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(r.perSecond, 'g', -1, 64) + "/s"), nil
}

// Share is a part of a whole, written as a percentage: "1%".
type Share struct{ part float64 }

// Part returns the share as a number from 0 to 1.
func (s Share) Part() float64 { return s.part }

// UnmarshalText parses a share; one without a percent sign and one outside 0% to 100% are errors.
func (s *Share) UnmarshalText(text []byte) error {
	number, isShare := strings.CutSuffix(string(text), "%")
	v, err := strconv.ParseFloat(number, 64)
	if !isShare || err != nil || !(v >= 0 && v <= 100) {
		return fmt.Errorf("%q is not a share with its unit, such as \"1%%\"", text)
	}
	s.part = v / 100
	return nil
}

// MarshalText returns the form that UnmarshalText parses.
func (s Share) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(100*s.part, 'g', -1, 64) + "%"), nil
}

// Size is a number of bytes, written as whole megabytes: "256MB". One MB is 2^20 bytes.
type Size struct{ bytes int64 }

// megabyte is the number of bytes in one MB.
const megabyte = 1 << 20

// UnmarshalText parses a size; one without its unit and one that is not positive are errors.
func (s *Size) UnmarshalText(text []byte) error {
	number, isSize := strings.CutSuffix(string(text), "MB")
	v, err := strconv.ParseInt(number, 10, 32)
	if !isSize || err != nil || v <= 0 {
		return fmt.Errorf("%q is not a size with its unit, such as \"256MB\"", text)
	}
	s.bytes = v * megabyte
	return nil
}

// MarshalText returns the form that UnmarshalText parses.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(s.bytes/megabyte, 10) + "MB"), nil
}

// MB returns the size in MB.
func (s Size) MB() float64 { return float64(s.bytes) / megabyte }
