// Package detector implements the failure detector of a cell. It combines received
// heartbeats, the hosts that peers report hearing, refused connections and the platform's
// list of hosts, which lags. Methods take the current time as an argument, so that a recorded
// trace replays exactly.
package detector

import (
	"slices"
	"strings"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// GoneTimeout is the time without a heartbeat after which a host is gone.
	GoneTimeout = 10 * time.Second
	// recentlyHeardAge is the greatest age of the last heartbeat of a host that is reported as
	// heard. It is below LinkSilenceTimeout, so that reports about a stopped host end before its
	// peers suspect it.
	recentlyHeardAge = 2 * wigeonspindle.HeartbeatPeriod
	// recoveryHeartbeats is the number of consecutive heartbeats after which a partitioned host
	// is live again. Without it a flapping link changes routes with each heartbeat.
	recoveryHeartbeats = 4
	// deadAfterRefusals is the number of refused connections since the last heartbeat after
	// which the process of a silent host is taken to have ended.
	deadAfterRefusals = 3
	// forgetAfter is the silence after which a gone host that is not listed is forgotten.
	forgetAfter = time.Minute
	// maxMembers bounds the known hosts; a cell has about 15.
	maxMembers = 128
	// maxReplacedIncarnations bounds the replaced incarnations kept for each host.
	maxReplacedIncarnations = 8
)

// Detector tracks the condition of the hosts of one cell.
type Detector struct {
	Self wigeonspindle.Host

	members map[string]*member
	listed  map[string]wigeonspindle.ListedHost
	// otherCells holds when each host of another cell was last heard.
	otherCells map[string]time.Time
	lastTick   time.Time
	leaving    bool
}

// member is the state of one other host.
type member struct {
	host                  wigeonspindle.Host
	condition             wigeonspindle.Condition
	lastHeartbeat         time.Time
	stamp                 wigeonspindle.Timestamp
	leaving               bool
	dead                  bool
	refusedConnections    int
	consecutiveHeartbeats int                  // consecutiveHeartbeats is reset when the host falls silent or restarts.
	peerReports           map[string]time.Time // peerReports holds when each peer last reported hearing the host.
	replacedIncarnations  []wigeonspindle.Incarnation
}

// ConditionChange is a change of a host's condition.
type ConditionChange struct {
	Host   wigeonspindle.Host
	Before wigeonspindle.Condition // Before is empty for a new host.
	After  wigeonspindle.Condition
}

// MarkLeaving records that this host itself is leaving.
func (d *Detector) MarkLeaving() { d.leaving = true }

// ObserveHeartbeat records a heartbeat. It returns false when the heartbeat must be ignored
// because it comes from another cell or from a replaced incarnation.
func (d *Detector) ObserveHeartbeat(heartbeat wigeonspindle.Heartbeat, stamp wigeonspindle.Timestamp, now time.Time) bool {
	host := heartbeat.Host
	if host.Name == "" || host.Name == d.Self.Name {
		return false
	}
	if host.Cell != d.Self.Cell {
		d.excludeOtherCell(host.Name, now)
		return false
	}
	m := d.memberFor(host)
	if m == nil || !m.acceptIncarnation(host, stamp) {
		return false
	}
	m.lastHeartbeat, m.stamp, m.leaving = now, stamp, heartbeat.Leaving
	m.dead, m.refusedConnections = false, 0
	m.consecutiveHeartbeats++
	for _, name := range heartbeat.HeardHosts {
		if other := d.members[name]; other != nil && name != host.Name {
			other.peerReports[host.Name] = now
		}
	}
	return true
}

// memberFor returns the member of a host. It adds one if needed and returns nil when the table
// is full.
func (d *Detector) memberFor(host wigeonspindle.Host) *member {
	if d.members == nil {
		d.members = make(map[string]*member)
	}
	m := d.members[host.Name]
	if m == nil && len(d.members) < maxMembers {
		m = &member{host: host, peerReports: make(map[string]time.Time)}
		d.members[host.Name] = m
	}
	return m
}

// acceptIncarnation reports whether a heartbeat comes from the current incarnation or from a
// newer one, which it then adopts. Incarnations have no order, so stamps are compared; a
// replaced incarnation is rejected even when its frozen process resumes with later stamps.
func (m *member) acceptIncarnation(host wigeonspindle.Host, stamp wigeonspindle.Timestamp) bool {
	if host.Incarnation == m.host.Incarnation {
		m.host = host
		return true
	}
	if slices.Contains(m.replacedIncarnations, host.Incarnation) || stamp.Less(m.stamp) {
		return false
	}
	m.replacedIncarnations = append(m.replacedIncarnations, m.host.Incarnation)
	if len(m.replacedIncarnations) > maxReplacedIncarnations {
		m.replacedIncarnations = m.replacedIncarnations[1:]
	}
	m.host, m.consecutiveHeartbeats = host, 0
	clear(m.peerReports)
	return true
}

// ObserveRefusedConnection records that an address refused a connection. Only the address that
// the host itself announced counts, because the listed one may be outdated. The address of a
// frozen host still accepts connections.
func (d *Detector) ObserveRefusedConnection(name, address string) {
	if m := d.members[name]; m != nil && m.host.LinkAddress == address {
		m.refusedConnections++
	}
}

// Tick evaluates the condition of every host at the given time and returns the changes.
func (d *Detector) Tick(now time.Time) []ConditionChange {
	d.discountPause(now)
	var changes []ConditionChange
	for name, m := range d.members {
		before := m.condition
		m.condition = m.evaluate(now)
		if m.condition != before {
			changes = append(changes, ConditionChange{Host: m.host, Before: before, After: m.condition})
		}
		_, listed := d.listed[name]
		if m.condition == wigeonspindle.ConditionGone && !listed && now.Sub(m.lastHeartbeat) > forgetAfter {
			delete(d.members, name)
		}
	}
	slices.SortFunc(changes, func(a, b ConditionChange) int { return strings.Compare(a.Host.Name, b.Host.Name) })
	return changes
}

// discountPause leaves a pause of this host itself out of the silence of the others, because
// the heartbeats that arrived meanwhile are still unread.
func (d *Detector) discountPause(now time.Time) {
	pause := now.Sub(d.lastTick)
	if !d.lastTick.IsZero() && pause > wigeonspindle.HeartbeatPeriod {
		for _, m := range d.members {
			// A heartbeat that was read after the pause must not move into the future.
			if m.lastHeartbeat = m.lastHeartbeat.Add(pause); m.lastHeartbeat.After(now) {
				m.lastHeartbeat = now
			}
		}
	}
	d.lastTick = now
}

func (m *member) evaluate(now time.Time) wigeonspindle.Condition {
	silence := now.Sub(m.lastHeartbeat)
	if silence <= wigeonspindle.LinkSilenceTimeout {
		switch {
		case m.leaving:
			return wigeonspindle.ConditionLeaving
		case m.condition == wigeonspindle.ConditionPartitioned && m.consecutiveHeartbeats < recoveryHeartbeats:
			return wigeonspindle.ConditionPartitioned
		}
		return wigeonspindle.ConditionLive
	}
	m.consecutiveHeartbeats = 0
	m.dead = m.refusedConnections >= deadAfterRefusals
	switch {
	case m.leaving || m.dead:
		return wigeonspindle.ConditionGone
	case m.heardByPeers(now):
		return wigeonspindle.ConditionPartitioned
	case silence > GoneTimeout:
		return wigeonspindle.ConditionGone
	}
	return wigeonspindle.ConditionSuspect
}

// heardByPeers reports whether peers still hear the silent host. Reports from before its
// silence was certain do not count, because peers also report a host that has just stopped.
func (m *member) heardByPeers(now time.Time) bool {
	reportsCountAfter := m.lastHeartbeat.Add(wigeonspindle.LinkSilenceTimeout + wigeonspindle.HeartbeatPeriod)
	for _, reportedAt := range m.peerReports {
		if reportedAt.After(reportsCountAfter) && now.Sub(reportedAt) <= wigeonspindle.LinkSilenceTimeout {
			return true
		}
	}
	return false
}

// View returns this host's view of the cell, sorted by host name.
func (d *Detector) View(now time.Time) *wigeonspindle.MembershipView {
	self := wigeonspindle.Member{Host: d.Self, Condition: wigeonspindle.ConditionLive, LastHeartbeat: now}
	if d.leaving {
		self.Condition = wigeonspindle.ConditionLeaving
	}
	view := &wigeonspindle.MembershipView{Self: d.Self, Members: []wigeonspindle.Member{self}}
	for _, m := range d.members {
		if m.condition != "" {
			view.Members = append(view.Members, wigeonspindle.Member{
				Host: m.host, Condition: m.condition, LastHeartbeat: m.lastHeartbeat, Dead: m.dead,
			})
		}
	}
	slices.SortFunc(view.Members, func(a, b wigeonspindle.Member) int { return strings.Compare(a.Host.Name, b.Host.Name) })
	return view
}

// RecentlyHeard returns the sorted names of the hosts that this host's heartbeats report as
// heard.
func (d *Detector) RecentlyHeard(now time.Time) []string {
	var names []string
	for name, m := range d.members {
		if now.Sub(m.lastHeartbeat) <= recentlyHeardAge {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
