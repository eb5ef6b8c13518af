package administrator

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"wigeonspindle.example/wigeonspindle"
)

// maxRoutes limits the values of the label route; further routes are counted as other.
const maxRoutes = 64

// CallMeter implements wigeonspindle.CallMeter. Create it with NewCallMeter.
type CallMeter struct {
	registry     *prometheus.Registry
	calls        *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	missingParts *prometheus.CounterVec
	sends        *prometheus.CounterVec
	displaced    *prometheus.CounterVec

	mutex  sync.Mutex
	routes map[string]bool
}

// NewCallMeter returns a meter with its own registry.
func NewCallMeter() *CallMeter {
	m := &CallMeter{registry: prometheus.NewRegistry(), routes: make(map[string]bool)}
	m.calls = newCounter("calls_total", "Calls by route and outcome.", "route", "outcome")
	m.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "call_duration_seconds", Buckets: latencyBuckets,
		Help: "Time from a call's arrival to its reply.",
	}, []string{"route"})
	m.missingParts = newCounter("call_parts_missing_total", "Parts without an answer when a call ended.", "route")
	m.sends = newCounter("sends_total", "Sends to replicas by kind.", "route", "kind")
	m.displaced = newCounter("connections_displaced_total", "Connections closed because all places of the listener were taken.", "listener")
	m.registry.MustRegister(m.calls, m.latency, m.missingParts, m.sends, m.displaced)
	return m
}

// ObserveReply implements wigeonspindle.CallMeter.
func (m *CallMeter) ObserveReply(route, outcome string, took time.Duration) {
	route = m.routeLabel(route)
	m.calls.WithLabelValues(route, outcome).Inc()
	m.latency.WithLabelValues(route).Observe(took.Seconds())
}

// ObserveCoverage implements wigeonspindle.CallMeter.
func (m *CallMeter) ObserveCoverage(route string, answered, total int) {
	if answered < total {
		m.missingParts.WithLabelValues(m.routeLabel(route)).Add(float64(total - answered))
	}
}

// CountSend implements wigeonspindle.CallMeter.
func (m *CallMeter) CountSend(route string, kind wigeonspindle.SendKind) {
	m.sends.WithLabelValues(m.routeLabel(route), string(kind)).Inc()
}

// CountDisplaced counts a connection to a listener that was closed because all places were taken.
func (m *CallMeter) CountDisplaced(listener string) { m.displaced.WithLabelValues(listener).Inc() }

// MeasureRequestMemory adds a gauge of the memory that requests and answers hold, in bytes.
func (m *CallMeter) MeasureRequestMemory(used func() int64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "request_memory_bytes", Help: "Memory that large requests and answers of callers hold.",
	}, func() float64 { return float64(used()) }))
}

// Handler serves the metrics in text format without compression.
func (m *CallMeter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}

func (m *CallMeter) routeLabel(route string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if route == "" || !m.routes[route] && len(m.routes) >= maxRoutes {
		return otherLabel
	}
	m.routes[route] = true
	return route
}
