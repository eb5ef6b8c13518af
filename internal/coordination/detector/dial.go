package detector

import (
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// probeGroupSize bounds the hosts of unknown cell that are dialled at a time.
	probeGroupSize = 16
	// probeDuration is how long each group of such hosts is dialled: long enough to open a link
	// and to receive a heartbeat.
	probeDuration = 3 * time.Second
	// otherCellDuration is how long a host of another cell is not dialled again.
	otherCellDuration = 10 * time.Minute
	// maxOtherCells bounds the known hosts of other cells.
	maxOtherCells = 8192
)

// SetListedHosts replaces the platform's list of hosts. The list only adds hosts to dial. It
// lags, so neither a missing entry nor a leaving mark changes the condition of a host.
func (d *Detector) SetListedHosts(listings []wigeonspindle.ListedHost) {
	d.listed = make(map[string]wigeonspindle.ListedHost, len(listings))
	for _, listing := range listings {
		if listing.LinkAddress != "" && listing.Name != d.Self.Name {
			d.listed[listing.Name] = listing
		}
	}
}

// excludeOtherCell records that a host belongs to another cell and removes it from the
// members.
func (d *Detector) excludeOtherCell(name string, now time.Time) {
	if d.otherCells == nil {
		d.otherCells = make(map[string]time.Time)
	}
	if len(d.otherCells) < maxOtherCells {
		d.otherCells[name] = now
	}
	delete(d.members, name)
}

// HostsToDial returns the hosts to keep links to: the hosts of the cell and at most
// probeGroupSize hosts whose cell is not known yet. A host with two known addresses appears
// twice. The peers are addresses from the settings.
func (d *Detector) HostsToDial(peers []string, now time.Time) []wigeonspindle.Host {
	var hosts, unknown []wigeonspindle.Host
	addresses := map[string]bool{d.Self.LinkAddress: true}
	for name, m := range d.members {
		host := m.host
		listing, listed := d.listed[name]
		if m.condition == wigeonspindle.ConditionGone && !listed {
			continue
		}
		// Dial both addresses when they differ: after a restart the list may be outdated, or a
		// silent host may run at an address that only the list has.
		if listed && listing.LinkAddress != host.LinkAddress {
			atListed := host
			atListed.LinkAddress = listing.LinkAddress
			hosts = append(hosts, atListed)
		}
		addresses[host.LinkAddress] = true
		hosts = append(hosts, host)
	}
	for name, listing := range d.listed {
		excludedAt, excluded := d.otherCells[name]
		if excluded && now.Sub(excludedAt) >= otherCellDuration {
			delete(d.otherCells, name)
			excluded = false
		}
		if d.members[name] == nil && !excluded {
			unknown = append(unknown, wigeonspindle.Host{Name: name, LinkAddress: listing.LinkAddress})
			addresses[listing.LinkAddress] = true
		}
	}
	for _, address := range peers {
		if !addresses[address] {
			unknown = append(unknown, wigeonspindle.Host{Name: address, LinkAddress: address})
		}
	}
	slices.SortFunc(unknown, compareNames)
	hosts = append(hosts, probeGroup(unknown, now)...)
	slices.SortStableFunc(hosts, compareNames)
	return hosts
}

// probeGroup returns the group of unknown hosts that is dialled at the given time. The groups
// rotate every probeDuration.
func probeGroup(unknown []wigeonspindle.Host, now time.Time) []wigeonspindle.Host {
	if len(unknown) <= probeGroupSize {
		return unknown
	}
	groups := (len(unknown) + probeGroupSize - 1) / probeGroupSize
	first := int(now.UnixNano()/int64(probeDuration)) % groups * probeGroupSize
	return unknown[first:min(first+probeGroupSize, len(unknown))]
}

func compareNames(a, b wigeonspindle.Host) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	}
	return 0
}
