package launcher

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// noMeter is the meter of a host without measurements.
type noMeter struct{}

// Answered ignores an answer.
func (noMeter) Answered(string, wigeonspindle.Verdict, wigeonspindle.Coverage, time.Duration) {}

// Refused ignores a refusal.
func (noMeter) Refused(string, wigeonspindle.Code) {}

// Sent ignores an attempt.
func (noMeter) Sent(string, wigeonspindle.SendKind) {}

// Dropped ignores a dropped element.
func (noMeter) Dropped(string) {}
