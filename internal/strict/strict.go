// Package strict reads TOML that people write: an unknown key or a wrong value is an error with its place.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time in a file, written with its unit, such as "1.5s" or "300ms".
type Duration time.Duration

// UnmarshalText reads a duration; one without a unit, or below zero, is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is no duration with its unit, such as \"1.5s\" or \"300ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes it as it is read.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.D().String()), nil }

// D gives the duration in the standard library's type.
func (d Duration) D() time.Duration { return time.Duration(d) }

// S gives the duration in seconds.
func (d Duration) S() float64 { return time.Duration(d).Seconds() }

// Decode reads a text into a value; name stands for the file in errors, which have the line.
func Decode(name string, text []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	if err == nil {
		return nil
	}
	if unknown := new(toml.StrictMissingError); errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		row, _ := first.Position()
		return fmt.Errorf("%s:%d: unknown key %q", name, row, strings.Join(first.Key(), "."))
	}
	if wrong := new(toml.DecodeError); errors.As(err, &wrong) {
		row, _ := wrong.Position()
		return fmt.Errorf("%s:%d: %s: %w", name, row, strings.Join(wrong.Key(), "."), err)
	}
	return fmt.Errorf("%s: %w", name, err)
}
