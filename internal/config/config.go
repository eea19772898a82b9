// Package config decodes TOML configuration files. An unknown key or an invalid value is an error that names the file and the line.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a duration in a configuration file. It is written with a unit, such as "1.5s" or "300ms".
type Duration time.Duration

// UnmarshalText parses a duration. A duration without a unit or below zero is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return fmt.Errorf("%q is no duration with its unit, such as \"1.5s\" or \"300ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the duration in the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.AsDuration().String()), nil }

// AsDuration returns the duration as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Seconds returns the duration as a number of seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }

// Decode decodes the TOML document text into the variable that into points to. Errors contain the file name, and the line if it is
// known.
func Decode(name string, text []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("%s:%d: unknown key %q", name, line, strings.Join(first.Key(), "."))
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		line, _ := invalid.Position()
		return fmt.Errorf("%s:%d: %s: %w", name, line, strings.Join(invalid.Key(), "."), err)
	}
	return fmt.Errorf("%s: %w", name, err)
}
