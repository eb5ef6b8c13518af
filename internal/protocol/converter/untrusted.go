package converter

import (
	"math"

	"wigeonspindle.example/wigeonspindle"
)

// decodeVerdict returns the verdict for a number on the wire. An unknown number must not
// become not-run, because the entry host would then retry a once request.
func decodeVerdict(wire uint32) wigeonspindle.Verdict {
	switch {
	case wire == uint32(wigeonspindle.NotRun):
		return wigeonspindle.NotRun
	case wire == uint32(wigeonspindle.Ran):
		return wigeonspindle.Ran
	}
	return wigeonspindle.MayHaveRun
}

// decodeClass returns the class for a string on the wire. An unknown class becomes once, so
// that its requests are never retried.
func decodeClass(wire string) wigeonspindle.Class {
	if wire == string(wigeonspindle.ClassIdempotent) {
		return wigeonspindle.ClassIdempotent
	}
	return wigeonspindle.ClassOnce
}

// decodeLevel returns a slow start level, or 0 for unknown when the number on the wire is out
// of range.
func decodeLevel(wire float64) float64 {
	if wire >= 0 && wire <= 1 {
		return wire
	}
	return 0 // This covers NaN, with which every comparison in the limiter is false.
}

// decodeScore returns a suspicion score, or 0 when the number on the wire is negative or not
// finite.
func decodeScore(wire float64) float64 {
	if wire >= 0 && wire <= math.MaxFloat64 {
		return wire
	}
	return 0
}
