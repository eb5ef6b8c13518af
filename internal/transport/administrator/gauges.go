package administrator

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"wigeonspindle.example/wigeonspindle"
)

// gaugeCollector is a Prometheus collector that reads the status of the host at each scrape.
type gaugeCollector struct {
	meter *Meter
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

var (
	descReady           = newDesc("ready", "1 when the host is ready for callers.")
	descLeaving         = newDesc("leaving", "1 when the host is draining.")
	descRevision        = newDesc("config_revision", "Revision of the configuration in force.")
	descStoreSilence    = newDesc("store_silence_seconds", "Time since the key-value service last answered.")
	descStoreCalls      = newDesc("store_calls_total", "Calls that the host made to the key-value service.")
	descQueries         = newDesc("queries_running", "Queries in progress.")
	descMembers         = newDesc("members", "Hosts of the cell by condition.", "condition")
	descDomainsOut      = newDesc("domains_out", "Failure domains that are out of service.")
	descOverrides       = newDesc("overrides", "Overrides that are not yet in the key-value service.")
	descRingElements    = newDesc("ring_elements", "Elements that wait in a ring.", "ring")
	descRingCapacity    = newDesc("ring_capacity_elements", "Largest number of elements of a ring.", "ring")
	descTargetsOwned    = newDesc("targets_owned", "Targets on which the host holds the lease.")
	descTargetsRamping  = newDesc("targets_ramping", "Owned targets in slow start.")
	descAttemptsRunning = newDesc("targets_attempts_running", "Attempts in flight at owned targets.")
	descAttemptsWaiting = newDesc("targets_attempts_waiting", "Attempts that wait for a slot of an owned target.")
	descMinLevel        = newDesc("targets_level_min_ratio", "Lowest slow start level of the owned targets.")
	descLeaseRemaining  = newDesc("lease_remaining_min_seconds", "Time until the first lease of the host ends.")
)

var descs = []*prometheus.Desc{
	descReady, descLeaving, descRevision, descStoreSilence, descStoreCalls, descQueries, descMembers, descDomainsOut, descOverrides,
	descRingElements, descRingCapacity, descTargetsOwned, descTargetsRamping, descAttemptsRunning, descAttemptsWaiting, descMinLevel, descLeaseRemaining,
}

var conditions = []wigeonspindle.Condition{
	wigeonspindle.ConditionLive, wigeonspindle.ConditionSuspect, wigeonspindle.ConditionPartitioned, wigeonspindle.ConditionLeaving, wigeonspindle.ConditionGone,
}

// Describe implements prometheus.Collector.
func (g *gaugeCollector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range descs {
		out <- desc
	}
}

// Collect implements prometheus.Collector. It sends nothing while the meter has no host.
func (g *gaugeCollector) Collect(out chan<- prometheus.Metric) {
	if g.meter.Host == nil {
		return
	}
	status := g.meter.Host.Status()
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	gauge(descReady, boolValue(status.Ready))
	gauge(descLeaving, boolValue(status.Leaving))
	gauge(descRevision, float64(status.Revision))
	out <- prometheus.MustNewConstMetric(descStoreCalls, prometheus.CounterValue, float64(status.StoreCalls))
	gauge(descQueries, float64(status.Queries))
	gauge(descOverrides, float64(len(status.Overrides)))
	gauge(descDomainsOut, float64(countDomainsOut(g.meter.Host.Config(), status.Overrides)))
	if !status.StoreAnsweredAt.IsZero() {
		gauge(descStoreSilence, g.meter.Clock.Now().Sub(status.StoreAnsweredAt).Seconds())
	}
	members := make(map[wigeonspindle.Condition]int)
	for _, member := range status.Members {
		members[member.Condition]++
	}
	for _, condition := range conditions {
		gauge(descMembers, float64(members[condition]), string(condition))
	}
	g.collectRings(status.Rings, gauge)
	g.collectTargets(status.Targets, gauge)
}

// collectRings sums the elements and capacities of the rings with the same label.
func (g *gaugeCollector) collectRings(rings []wigeonspindle.RingStatus, gauge func(*prometheus.Desc, float64, ...string)) {
	waiting, capacity := make(map[string]int), make(map[string]int)
	for _, ring := range rings {
		name := g.meter.ringLabel(ring.Ring)
		waiting[name] += ring.Waiting
		capacity[name] += ring.Capacity
	}
	for name := range waiting {
		gauge(descRingElements, float64(waiting[name]), name)
		gauge(descRingCapacity, float64(capacity[name]), name)
	}
}

// collectTargets aggregates the owned targets, because series per target would grow in number
// with the targets and move between hosts with ownership.
func (g *gaugeCollector) collectTargets(targets []wigeonspindle.TargetStatus, gauge func(*prometheus.Desc, float64, ...string)) {
	running, waiting, ramping, minLevel := 0, 0, 0, 1.0
	for _, target := range targets {
		running += target.Load.Running
		waiting += target.Load.Waiting
		minLevel = min(minLevel, target.Load.Level)
		if target.Load.Level < 1 {
			ramping++
		}
	}
	gauge(descTargetsOwned, float64(len(targets)))
	gauge(descTargetsRamping, float64(ramping))
	gauge(descAttemptsRunning, float64(running))
	gauge(descAttemptsWaiting, float64(waiting))
	if len(targets) == 0 {
		return
	}
	gauge(descMinLevel, minLevel)
	var earliest time.Time
	for _, target := range targets {
		if !target.LeaseEnd.IsZero() && (earliest.IsZero() || target.LeaseEnd.Before(earliest)) {
			earliest = target.LeaseEnd
		}
	}
	if !earliest.IsZero() {
		gauge(descLeaseRemaining, earliest.Sub(g.meter.Clock.Now()).Seconds())
	}
}

// countDomainsOut counts the failure domains that are out of service. The newest override of a
// domain replaces its configured state.
func countDomainsOut(config *wigeonspindle.Config, overrides []wigeonspindle.Override) int {
	out := make(map[string]bool)
	if config != nil {
		for _, domain := range config.Domains {
			out[domain.Name] = domain.Out
		}
	}
	newest := make(map[string]wigeonspindle.Timestamp)
	for _, override := range overrides {
		if stamp, ok := newest[override.Domain]; !ok || stamp.Less(override.Stamp) {
			out[override.Domain], newest[override.Domain] = override.Out, override.Stamp
		}
	}
	count := 0
	for _, isOut := range out {
		if isOut {
			count++
		}
	}
	return count
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
