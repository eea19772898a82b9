// Package config decodes TOML configuration files strictly: an unknown key or an invalid value is an error that names
// the file and the line.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a duration in a configuration file, written with its unit, such as "1.5s" or "300ms".
type Duration time.Duration

// UnmarshalText parses a duration; one without a unit, or below zero, is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is no duration with its unit, such as \"1.5s\" or \"300ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration in the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.D().String()), nil }

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// S returns the duration in seconds.
func (d Duration) S() float64 { return time.Duration(d).Seconds() }

// Decode decodes text into the value that into points to. name is the file's name in errors, which also give the line.
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
