package validator

import (
	"fmt"
	"slices"

	"wigeonspindle.example/wigeonspindle"
)

// crossCheck collects the faults that concern more than one field.
type crossCheck struct {
	faults    []wigeonspindle.Fault
	domains   map[string]bool
	names     map[string]string
	addresses map[string]string
}

func cross(config wigeonspindle.Config) []wigeonspindle.Fault {
	c := &crossCheck{domains: make(map[string]bool), names: make(map[string]string), addresses: make(map[string]string)}
	for i, domain := range config.Domains {
		if c.domains[domain.Name] {
			c.add(fmt.Sprintf("domains[%d].name", i), "%q is used twice, accepted: a unique name", domain.Name)
		}
		c.domains[domain.Name] = true
	}
	indexes := make(map[string]bool)
	for i, index := range config.Indexes {
		path := fmt.Sprintf("indexes[%d]", i)
		if indexes[index.Name] {
			c.add(path+".name", "%q is used twice, accepted: a unique name", index.Name)
		}
		indexes[index.Name] = true
		c.targets(path, index)
		c.snapshots(path, index)
	}
	return c.faults
}

func (c *crossCheck) add(field, format string, values ...any) {
	c.faults = append(c.faults, wigeonspindle.Fault{Field: field, Message: fmt.Sprintf(format, values...)})
}

func (c *crossCheck) targets(path string, index wigeonspindle.Index) {
	for i, target := range index.Targets {
		field := fmt.Sprintf("%s.targets[%d]", path, i)
		// Owners keep the limits by target name, so that a process listed under two names
		// would receive twice its slots.
		if other, ok := c.names[target.Name]; ok {
			c.add(field+".name", "%q is also the name of %s, accepted: a unique name", target.Name, other)
		}
		if other, ok := c.addresses[target.Address]; ok && target.Address != "" {
			c.add(field+".address", "%q is also the address of %s, accepted: a unique address", target.Address, other)
		}
		c.names[target.Name], c.addresses[target.Address] = field, field
		if !c.domains[target.Domain] {
			c.add(field+".domain", "got %q, accepted: a name in domains", target.Domain)
		}
		// An owner uses at most half of the connections, because those of the previous owner
		// may linger.
		if target.Connections < 2*target.Slots {
			c.add(field+".connections", "got %d, accepted: at least %d, which is twice the slots", target.Connections, 2*target.Slots)
		}
	}
}

func (c *crossCheck) snapshots(path string, index wigeonspindle.Index) {
	served := make(map[string]bool)
	for _, target := range index.Targets {
		for _, shard := range target.Shards {
			served[shard] = true
		}
	}
	var versions []string
	for i, snapshot := range index.Snapshots {
		field := fmt.Sprintf("%s.snapshots[%d]", path, i)
		if slices.Contains(versions, snapshot.Version) {
			c.add(field+".version", "%q is used twice, accepted: a unique version", snapshot.Version)
		}
		versions = append(versions, snapshot.Version)
		seen := make(map[string]bool)
		for j, shard := range snapshot.Shards {
			if seen[shard] {
				c.add(fmt.Sprintf("%s.shards[%d]", field, j), "%q is listed twice, accepted: each shard once", shard)
			}
			seen[shard] = true
			if !served[shard] && !snapshot.Withdrawn {
				c.add(fmt.Sprintf("%s.shards[%d]", field, j), "no target serves %q, accepted: a shard of at least one target", shard)
			}
		}
	}
}

// DeclareDomains adds the failure domains that targets name to the domains of the
// configuration, in service. It does not modify the list that it replaces.
func DeclareDomains(config *wigeonspindle.Config) {
	declared := make(map[string]bool)
	for _, domain := range config.Domains {
		declared[domain.Name] = true
	}
	domains := slices.Clone(config.Domains)
	for _, index := range config.Indexes {
		for _, target := range index.Targets {
			if target.Domain != "" && !declared[target.Domain] {
				declared[target.Domain] = true
				domains = append(domains, wigeonspindle.Domain{Name: target.Domain})
			}
		}
	}
	config.Domains = domains
}
