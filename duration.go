package wigeonspindle

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that reads and writes text such as "150ms".
type Duration time.Duration

// MarshalText encodes the duration in Go notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes a duration in Go notation.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit such as \"150ms\" or \"3s\"", text)
	}
	*d = Duration(value)
	return nil
}

// Value returns the duration as a time.Duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// String returns the duration in Go notation.
func (d Duration) String() string { return time.Duration(d).String() }
