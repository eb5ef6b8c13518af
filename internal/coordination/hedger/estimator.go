package hedger

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wigeonspindle.example/wigeonspindle"
)

// Bounds of the estimate. Three windows of 5 s follow a change of the latency within 15 s
// and hold enough samples of an index with little traffic.
const (
	windowCount       = 3
	windowPeriod      = 5 * time.Second
	refreshInterval   = 100 * time.Millisecond
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 2
)

// Estimator estimates the latency quantiles of one index over the most recent windows.
type Estimator struct {
	histogram  *hdrhistogram.WindowedHistogram
	rotatedAt  time.Time
	computedAt time.Time
	cached     wigeonspindle.LatencyEstimate
}

// Observe adds the latency of a finished attempt. A cancelled attempt is added with its age,
// which is a lower bound of its latency: without the attempts that lost against a hedge, the
// quantiles would be too low.
func (e *Estimator) Observe(took time.Duration, now time.Time) {
	e.rotate(now)
	// Values are clamped to the range of the histogram, so RecordValue cannot fail.
	_ = e.histogram.Current.RecordValue(min(max(int64(took/time.Microsecond), 1), maxLatencyMicros))
}

// Estimate returns the quantiles. They are cached for refreshInterval.
func (e *Estimator) Estimate(now time.Time) wigeonspindle.LatencyEstimate {
	if age := now.Sub(e.computedAt); age >= 0 && age < refreshInterval {
		return e.cached
	}
	e.rotate(now)
	merged := e.histogram.Merge()
	quantile := func(q float64) time.Duration {
		return time.Duration(merged.ValueAtQuantile(q)) * time.Microsecond
	}
	e.computedAt = now
	e.cached = wigeonspindle.LatencyEstimate{P50: quantile(50), P95: quantile(95), P99: quantile(99), Count: int(merged.TotalCount())}
	return e.cached
}

func (e *Estimator) rotate(now time.Time) {
	if e.histogram == nil {
		e.histogram = hdrhistogram.NewWindowed(windowCount, 1, maxLatencyMicros, significantDigits)
		e.rotatedAt = now
	}
	for range windowCount {
		if now.Sub(e.rotatedAt) < windowPeriod {
			return
		}
		e.histogram.Rotate()
		e.rotatedAt = e.rotatedAt.Add(windowPeriod)
	}
	if now.Sub(e.rotatedAt) >= windowPeriod {
		e.rotatedAt = now
	}
}
