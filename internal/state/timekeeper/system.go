// Package timekeeper provides the clock of the machine.
package timekeeper

import "time"

// System implements wigeonspindle.Clock.
type System struct{}

// Now returns the current time with a monotonic reading.
func (System) Now() time.Time { return time.Now() }
