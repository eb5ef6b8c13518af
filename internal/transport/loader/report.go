package loader

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
)

// Result holds the measurements of one scenario on the system and, if it ran there too, on the
// baseline.
type Result struct {
	Deployment string           `json:"deployment"`
	Scenario   string           `json:"scenario"`
	Seed       uint64           `json:"seed"`
	System     Measurement      `json:"system"`
	Baseline   *Measurement     `json:"baseline,omitempty"`
	Ratios     map[string]Ratio `json:"ratios,omitempty"` // Ratios is keyed by index.
}

// Ratio is the latency of the system divided by that of the baseline.
type Ratio struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

func compare(system, baseline Measurement) map[string]Ratio {
	ratios := make(map[string]Ratio)
	for index, baselineLatency := range baseline.Latency {
		systemLatency, ok := system.Latency[index]
		if ok && baselineLatency.P50 > 0 {
			ratios[index] = Ratio{P50: systemLatency.P50 / baselineLatency.P50, P99: systemLatency.P99 / baselineLatency.P99, P999: systemLatency.P999 / baselineLatency.P999}
		}
	}
	return ratios
}

// WriteTable writes the results as a text table, with the latencies of one index.
func WriteTable(out io.Writer, results []Result, index string) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "scenario\ton\tp50 ms\tp99 ms\tp99.9 ms\twhole\tpartial\trefused\textra load\tover slots\tover cold\twrong\tuntrue\ttwice\n")
	for _, result := range results {
		writeRow(table, result.Scenario, "system", result.System, index)
		if result.Baseline == nil {
			continue
		}
		writeRow(table, "", "baseline", *result.Baseline, index)
		ratio := result.Ratios[index]
		_, _ = fmt.Fprintf(table, "\tratio\t%.2f\t%.2f\t%.2f\t\t\t\t\t\t\t\t\t\n", ratio.P50, ratio.P99, ratio.P999)
	}
	return errors.Wrap(table.Flush(), "write table")
}

func writeRow(out io.Writer, scenario, implementation string, m Measurement, index string) {
	latency := m.Latency[index]
	_, _ = fmt.Fprintf(out, "%s\t%s\t%.1f\t%.1f\t%.1f\t%d\t%d\t%s\t%.1f%%\t%d\t%d\t%d\t%d\t%d\n", scenario, implementation,
		latency.P50, latency.P99, latency.P999, m.Complete, m.Partial, formatRefused(m.Refused),
		100*m.ExtraLoad, m.OverSlots, m.OverColdLimit, m.WrongCoverage, m.FalseNotRun, m.DuplicateRuns)
}

func formatRefused(refused map[wigeonspindle.Code]int) string {
	if len(refused) == 0 {
		return "0"
	}
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(refused)) {
		parts = append(parts, fmt.Sprintf("%d %s", refused[code], code))
	}
	return strings.Join(parts, ", ")
}
