// Package timekeeper provides the system clock and the CPU time of the process.
package timekeeper

import "time"

// SystemClock implements wigeonspindle.Clock with the clock of the operating system.
type SystemClock struct{}

// Now returns the current time with a monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }
