package launcher

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// noMeter discards all measurements. It is used when Host.Meter is nil.
type noMeter struct{}

// ObserveAnswer does nothing.
func (noMeter) ObserveAnswer(string, wigeonspindle.Verdict, wigeonspindle.Coverage, time.Duration) {}

// CountRefusal does nothing.
func (noMeter) CountRefusal(string, wigeonspindle.Code) {}

// CountSend does nothing.
func (noMeter) CountSend(string, wigeonspindle.SendKind) {}

// CountDrop does nothing.
func (noMeter) CountDrop(string) {}
