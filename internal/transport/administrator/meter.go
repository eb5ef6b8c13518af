package administrator

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"wigeonspindle.example/wigeonspindle"
)

const (
	namespace = "wigeonspindle"
	// otherLabel replaces label values outside the known sets, so that callers cannot create
	// new series.
	otherLabel = "other"
	// maxRings limits the values of the label ring.
	maxRings = 64
)

// latencyBuckets are the upper bounds of the latency histogram in seconds. They are dense
// around 150 ms, the latency goal at the planned scale.
var latencyBuckets = []float64{.002, .005, .01, .02, .035, .05, .075, .1, .125, .15, .2, .3, .5, 1, 2, 5, 10, 30, 60}

var knownCodes = map[wigeonspindle.Code]bool{
	wigeonspindle.CodeInvalid: true, wigeonspindle.CodeTooLarge: true, wigeonspindle.CodeExpired: true,
	wigeonspindle.CodeOverloaded: true, wigeonspindle.CodeLeaving: true, wigeonspindle.CodeNotOwner: true,
	wigeonspindle.CodeNoSnapshot: true, wigeonspindle.CodeShed: true, wigeonspindle.CodeUnreachable: true,
	wigeonspindle.CodeBroken: true, wigeonspindle.CodeCancelled: true, wigeonspindle.CodeFailed: true,
	wigeonspindle.CodeQuarantined: true, wigeonspindle.CodeUnavailable: true, wigeonspindle.CodeConflict: true,
	wigeonspindle.CodeDuplicate: true, wigeonspindle.CodeDenied: true, wigeonspindle.CodeGone: true,
}

var knownVerdicts = map[wigeonspindle.Verdict]bool{
	wigeonspindle.NotRun: true, wigeonspindle.MayHaveRun: true, wigeonspindle.Ran: true,
}

var knownKinds = map[wigeonspindle.SendKind]bool{
	wigeonspindle.SendFirst: true, wigeonspindle.SendRetry: true,
	wigeonspindle.SendHedge: true, wigeonspindle.SendCanary: true,
}

// Meter implements wigeonspindle.Meter. Create it with NewMeter and set Host before the
// metrics are read.
type Meter struct {
	// Host supplies the index names and the status for the gauges. While it is nil, there are no
	// gauges and all indexes are counted as other.
	Host  wigeonspindle.Administration
	Clock wigeonspindle.Clock

	registry      *prometheus.Registry
	answers       *prometheus.CounterVec
	latency       *prometheus.HistogramVec
	missingShards *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	sends         *prometheus.CounterVec
	ringDrops     *prometheus.CounterVec

	mutex sync.Mutex
	rings map[string]bool
}

// NewMeter returns a meter with its own registry.
func NewMeter(clock wigeonspindle.Clock) *Meter {
	m := &Meter{Clock: clock, registry: prometheus.NewRegistry(), rings: make(map[string]bool)}
	m.answers = newCounter("answers_total", "Answers to callers by verdict and coverage.", "index", "verdict", "coverage")
	m.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "answer_duration_seconds", Buckets: latencyBuckets,
		Help: "Time from a query's arrival to its answer.",
	}, []string{"index"})
	m.missingShards = newCounter("shards_missing_total", "Shards without an outcome in answers.", "index")
	m.refusals = newCounter("refusals_total", "Refusals towards callers by code.", "index", "code")
	m.sends = newCounter("attempts_total", "Attempts handed to owners of targets by kind.", "index", "kind")
	m.ringDrops = newCounter("ring_dropped_total", "Elements that a full ring refused.", "ring")
	m.registry.MustRegister(
		m.answers, m.latency, m.missingShards, m.refusals, m.sends, m.ringDrops, &gaugeCollector{meter: m},
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4, Timeout: readTimeout})
}

// ObserveAnswer counts an answer and observes its latency.
func (m *Meter) ObserveAnswer(index string, verdict wigeonspindle.Verdict, coverage wigeonspindle.Coverage, took time.Duration) {
	index = m.indexLabel(index)
	completeness := "partial"
	if coverage.Complete() {
		completeness = "whole"
	}
	m.answers.WithLabelValues(index, knownOrOther(verdict, knownVerdicts, verdict.String()), completeness).Inc()
	m.latency.WithLabelValues(index).Observe(took.Seconds())
	m.missingShards.WithLabelValues(index).Add(float64(max(0, coverage.Total-coverage.Answered)))
}

// CountRefusal counts a refusal sent to a caller.
func (m *Meter) CountRefusal(index string, code wigeonspindle.Code) {
	m.refusals.WithLabelValues(m.indexLabel(index), knownOrOther(code, knownCodes, string(code))).Inc()
}

// CountSend counts an attempt sent to the owner of a target.
func (m *Meter) CountSend(index string, kind wigeonspindle.SendKind) {
	m.sends.WithLabelValues(m.indexLabel(index), knownOrOther(kind, knownKinds, string(kind))).Inc()
}

// CountDrop counts an element dropped because a ring was full.
func (m *Meter) CountDrop(ring string) { m.ringDrops.WithLabelValues(m.ringLabel(ring)).Inc() }

// indexLabel returns the name of a configured index, or otherLabel for any other name.
func (m *Meter) indexLabel(name string) string {
	if m.Host == nil {
		return otherLabel
	}
	config := m.Host.Config()
	if config == nil {
		return otherLabel
	}
	for i := range config.Indexes {
		if config.Indexes[i].Name == name {
			return name
		}
	}
	return otherLabel
}

// ringLabel returns the label of a ring: its name without the number of its worker, or
// otherLabel once there are maxRings labels.
func (m *Meter) ringLabel(name string) string {
	name = strings.TrimRight(name, "0123456789")
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.rings[name] {
		if len(m.rings) >= maxRings {
			return otherLabel
		}
		m.rings[name] = true
	}
	return name
}

func knownOrOther[T comparable](value T, known map[T]bool, name string) string {
	if known[value] {
		return name
	}
	return otherLabel
}
