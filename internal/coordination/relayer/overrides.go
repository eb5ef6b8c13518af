package relayer

import (
	"slices"
	"strings"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// OverrideLifetime is how long an override stays in force unless it is written to the store.
	OverrideLifetime = 10 * time.Minute
	// maxOverrides bounds the overrides that are kept and sent with each heartbeat.
	maxOverrides = 256
	// leavingReportLifetime is how long a peer's report of a leaving target is valid. Each
	// heartbeat repeats the reports.
	leavingReportLifetime = 3 * wigeonspindle.LinkSilenceTimeout
	// maxLeavingTargets bounds the leaving targets that are kept.
	maxLeavingTargets = 4096
)

// Overrides holds temporary changes to the state of failure domains, and the targets that hosts
// reported as leaving. For a domain the latest stamp wins, including that of the domain's state
// in the configuration.
type Overrides struct {
	entries        map[string]wigeonspindle.Override
	leavingTargets map[string]time.Time
}

// Merge keeps an override if it has not expired and is newer than both the known override and the
// state in the configuration of its domain. It reports whether it kept the override.
func (o *Overrides) Merge(override wigeonspindle.Override, config *wigeonspindle.Config, now time.Time) bool {
	if limit := now.Add(OverrideLifetime); override.Expires.After(limit) {
		override.Expires = limit // The clock of the host that created it may be ahead.
	}
	known, exists := o.entries[override.Domain]
	if exists && !known.Stamp.Less(override.Stamp) || !inForce(override, config, now) {
		return false
	}
	if !exists && len(o.entries) >= maxOverrides {
		return false
	}
	if o.entries == nil {
		o.entries = make(map[string]wigeonspindle.Override)
	}
	o.entries[override.Domain] = override
	return true
}

// inForce reports whether an override has not expired and is newer than the configuration.
func inForce(override wigeonspindle.Override, config *wigeonspindle.Config, now time.Time) bool {
	if !now.Before(override.Expires) {
		return false
	}
	if config == nil {
		return true
	}
	for _, domain := range config.Domains {
		if domain.Name == override.Domain {
			return domain.Stamp.Less(override.Stamp)
		}
	}
	return true
}

// RemoveExpired removes the overrides that have expired or that the configuration supersedes,
// and the expired reports of leaving targets. It reports whether it removed any override.
func (o *Overrides) RemoveExpired(config *wigeonspindle.Config, now time.Time) bool {
	before := len(o.entries)
	for name, override := range o.entries {
		if !inForce(override, config, now) {
			delete(o.entries, name)
		}
	}
	for name, until := range o.leavingTargets {
		if !now.Before(until) {
			delete(o.leavingTargets, name)
		}
	}
	return len(o.entries) < before
}

// List returns the known overrides, sorted by domain.
func (o *Overrides) List() []wigeonspindle.Override {
	var list []wigeonspindle.Override
	for _, override := range o.entries {
		list = append(list, override)
	}
	slices.SortFunc(list, func(a, b wigeonspindle.Override) int { return strings.Compare(a.Domain, b.Domain) })
	return list
}

// Pending returns the overrides that still have to be written to the store, because the
// configuration has another state for their domain.
func (o *Overrides) Pending(config *wigeonspindle.Config) []wigeonspindle.Override {
	if config == nil {
		return nil
	}
	var pending []wigeonspindle.Override
	for _, override := range o.List() {
		differs := func(d wigeonspindle.Domain) bool { return d.Name == override.Domain && d.Out != override.Out }
		if slices.ContainsFunc(config.Domains, differs) {
			pending = append(pending, override)
		}
	}
	return pending
}

// MarkLeaving records targets that a host reported as leaving.
func (o *Overrides) MarkLeaving(targets []string, now time.Time) {
	if o.leavingTargets == nil {
		o.leavingTargets = make(map[string]time.Time)
	}
	for _, target := range targets {
		if _, ok := o.leavingTargets[target]; ok || len(o.leavingTargets) < maxLeavingTargets {
			o.leavingTargets[target] = now.Add(leavingReportLifetime)
		}
	}
}

// Placement returns the domains and targets that receive no new work. It omits targets that the
// inventory marks as leaving, because Placement.Accepts checks that mark itself.
func (o *Overrides) Placement(config *wigeonspindle.Config) *wigeonspindle.Placement {
	placement := &wigeonspindle.Placement{OutDomains: make(map[string]bool), LeavingTargets: make(map[string]bool)}
	if config != nil {
		for _, domain := range config.Domains {
			if domain.Out {
				placement.OutDomains[domain.Name] = true
			}
		}
	}
	for _, override := range o.entries {
		delete(placement.OutDomains, override.Domain)
		if override.Out {
			placement.OutDomains[override.Domain] = true
		}
	}
	for target := range o.leavingTargets {
		placement.LeavingTargets[target] = true
	}
	return placement
}
