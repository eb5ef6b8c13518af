package loader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// Range of the histograms in microseconds, and their number of significant digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Latency holds latency percentiles in milliseconds, measured from the intended start.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Measurement is the result of one run. Latency covers every request, answered or refused.
type Measurement struct {
	Latency  map[string]Latency         `json:"latency"` // Latency is keyed by index.
	Complete int                        `json:"whole"`
	Partial  int                        `json:"partial"`
	Refused  map[wigeonspindle.Code]int `json:"refused"`
	Hedges   int                        `json:"hedges"`
	// RequiredAnswers is the number of shard answers that complete coverage requires.
	RequiredAnswers int `json:"needed"`
	Runs            int `json:"runs"` // Runs is the number of runs started by targets.
	// ExtraLoad is the load on targets beyond RequiredAnswers, as a fraction of it.
	ExtraLoad float64 `json:"extra"`
	// ReportedShards is the number of shards reported as covered. CountedShards is the number of
	// shards that targets completed for the same requests, including late ones.
	ReportedShards int `json:"reported"`
	CountedShards  int `json:"counted"`
	// WrongCoverage counts answers whose coverage is inconsistent or includes a shard that no
	// target completed on the reported snapshot.
	WrongCoverage int `json:"wrong"`
	// FalseNotRun counts refusals with the verdict not-run whose request did run on a target.
	FalseNotRun int `json:"untrue"`
	// DuplicateRuns counts once requests that ran more than once.
	DuplicateRuns int `json:"twice"`
	// OverSlots and OverColdLimit count the requests over the slots and over the rate that cold
	// targets sustain. RefusedConnections counts connections refused over the limit. All three
	// include the warm-up.
	OverSlots          int                  `json:"excess"`
	OverColdLimit      int                  `json:"coldexcess"`
	RefusedConnections int                  `json:"connections"`
	Store              simulator.StoreCalls `json:"store"`
}

// meter collects the answers of one phase of a run. It is not safe for concurrent use.
type meter struct {
	environment  *simulator.Environment
	before       simulator.Counts
	histograms   map[string]*hdrhistogram.Histogram
	notRunBodies []string // notRunBodies holds the bodies of refusals with the verdict not-run.
	result       Measurement
}

func newMeter(environment *simulator.Environment) *meter {
	return &meter{
		environment: environment, before: environment.Counts(), histograms: make(map[string]*hdrhistogram.Histogram),
		result: Measurement{Latency: make(map[string]Latency), Refused: make(map[wigeonspindle.Code]int)},
	}
}

func (m *meter) add(r queryResult) {
	histogram := m.histograms[r.index]
	if histogram == nil {
		histogram = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
		m.histograms[r.index] = histogram
	}
	_ = histogram.RecordValue(min(r.latency.Microseconds(), maxLatencyMicros))
	answer := r.answer
	m.result.Hedges += answer.Hedges
	counted := m.environment.Completions.Shards(r.body)
	if answer.Refusal != nil {
		m.result.Refused[answer.Refusal.Code]++
		if answer.Verdict == wigeonspindle.NotRun {
			m.notRunBodies = append(m.notRunBodies, r.body)
		}
		return
	}
	m.result.RequiredAnswers += answer.Coverage.Total
	m.result.ReportedShards += answer.Coverage.Answered
	m.result.CountedShards += len(counted)
	if answer.Coverage.Complete() {
		m.result.Complete++
	} else {
		m.result.Partial++
	}
	if !CoverageMatches(answer, r.body, counted) {
		m.result.WrongCoverage++
	}
}

// CoverageMatches reports whether the coverage of an answer is consistent and includes only
// shards that targets completed for the body on the answer's snapshot.
func CoverageMatches(answer wigeonspindle.Answer, body string, counted map[string]string) bool {
	coverage := answer.Coverage
	if coverage.Answered != len(answer.Results) || coverage.Answered+len(coverage.Missing) != coverage.Total {
		return false
	}
	seen := make(map[string]bool)
	for _, shard := range coverage.Missing {
		seen[shard] = true
	}
	for _, result := range answer.Results {
		if seen[result.Shard] || counted[result.Shard] != answer.Snapshot || string(result.Body) != result.Shard+":"+body {
			return false
		}
		seen[result.Shard] = true
	}
	return len(seen) == coverage.Total
}

// finish completes the measurement after the last answer.
func (m *meter) finish(warmup *meter) Measurement {
	result, counts := m.result, m.environment.Counts()
	for index, histogram := range m.histograms {
		result.Latency[index] = Latency{
			Count: histogram.TotalCount(), P50: milliseconds(histogram.ValueAtQuantile(50)),
			P99: milliseconds(histogram.ValueAtQuantile(99)), P999: milliseconds(histogram.ValueAtQuantile(99.9)),
			Max: milliseconds(histogram.Max()),
		}
	}
	for _, body := range append(m.notRunBodies, warmup.notRunBodies...) {
		if len(m.environment.Completions.Shards(body)) > 0 {
			result.FalseNotRun++
		}
	}
	for _, runs := range counts.Total.RunsByIdentity {
		if runs > 1 {
			result.DuplicateRuns++
		}
	}
	result.WrongCoverage += warmup.result.WrongCoverage
	result.Runs = counts.Total.Started - m.before.Total.Started
	if result.RequiredAnswers > 0 {
		result.ExtraLoad = float64(result.Runs)/float64(result.RequiredAnswers) - 1
	}
	result.OverSlots, result.OverColdLimit = counts.Total.OverSlots, counts.Total.OverColdLimit
	result.RefusedConnections, result.Store = counts.Total.RefusedConnections, counts.Store
	return result
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
