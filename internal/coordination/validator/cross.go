package validator

import (
	"fmt"
	"slices"

	"wigeonspindle.example/wigeonspindle"
)

// crossFieldChecker collects the faults that involve more than one field.
type crossFieldChecker struct {
	faults          []wigeonspindle.Fault
	declaredDomains map[string]bool
	fieldsByName    map[string]string
	fieldsByAddress map[string]string
}

func checkCrossFields(config wigeonspindle.Config) []wigeonspindle.Fault {
	c := &crossFieldChecker{declaredDomains: make(map[string]bool), fieldsByName: make(map[string]string), fieldsByAddress: make(map[string]string)}
	for i, domain := range config.Domains {
		if c.declaredDomains[domain.Name] {
			c.addFault(fmt.Sprintf("domains[%d].name", i), "%q is used twice, accepted: a unique name", domain.Name)
		}
		c.declaredDomains[domain.Name] = true
	}
	indexes := make(map[string]bool)
	for i, index := range config.Indexes {
		path := fmt.Sprintf("indexes[%d]", i)
		if indexes[index.Name] {
			c.addFault(path+".name", "%q is used twice, accepted: a unique name", index.Name)
		}
		indexes[index.Name] = true
		c.checkTargets(path, index)
		c.checkSnapshots(path, index)
	}
	return c.faults
}

func (c *crossFieldChecker) addFault(field, format string, values ...any) {
	c.faults = append(c.faults, wigeonspindle.Fault{Field: field, Message: fmt.Sprintf(format, values...)})
}

func (c *crossFieldChecker) checkTargets(path string, index wigeonspindle.Index) {
	for i, target := range index.Targets {
		field := fmt.Sprintf("%s.targets[%d]", path, i)
		// Owners enforce limits by target name. A process listed under two names would receive
		// twice as many requests as it has slots.
		if other, ok := c.fieldsByName[target.Name]; ok {
			c.addFault(field+".name", "%q is also the name of %s, accepted: a unique name", target.Name, other)
		}
		if other, ok := c.fieldsByAddress[target.Address]; ok && target.Address != "" {
			c.addFault(field+".address", "%q is also the address of %s, accepted: a unique address", target.Address, other)
		}
		c.fieldsByName[target.Name], c.fieldsByAddress[target.Address] = field, field
		if !c.declaredDomains[target.Domain] {
			c.addFault(field+".domain", "got %q, accepted: a name in domains", target.Domain)
		}
		// An owner uses at most half of the connections, because those of the previous owner
		// may still be open.
		if target.Connections < 2*target.Slots {
			c.addFault(field+".connections", "got %d, accepted: at least %d, which is twice the slots", target.Connections, 2*target.Slots)
		}
	}
}

func (c *crossFieldChecker) checkSnapshots(path string, index wigeonspindle.Index) {
	servedShards := make(map[string]bool)
	for _, target := range index.Targets {
		for _, shard := range target.Shards {
			servedShards[shard] = true
		}
	}
	var versions []string
	for i, snapshot := range index.Snapshots {
		field := fmt.Sprintf("%s.snapshots[%d]", path, i)
		if slices.Contains(versions, snapshot.Version) {
			c.addFault(field+".version", "%q is used twice, accepted: a unique version", snapshot.Version)
		}
		versions = append(versions, snapshot.Version)
		seen := make(map[string]bool)
		for j, shard := range snapshot.Shards {
			if seen[shard] {
				c.addFault(fmt.Sprintf("%s.shards[%d]", field, j), "%q is listed twice, accepted: each shard once", shard)
			}
			seen[shard] = true
			if !servedShards[shard] && !snapshot.Withdrawn {
				c.addFault(fmt.Sprintf("%s.shards[%d]", field, j), "no target serves %q, accepted: a shard of at least one target", shard)
			}
		}
	}
}

// DeclareDomains adds the undeclared failure domains of targets to the domains of the
// configuration, in service. It replaces the list of domains and leaves the old one unmodified.
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
