package commander

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
)

// exampleCommand prints an example file. The files under examples/ are its output.
type exampleCommand struct {
	Deployment string `long:"deployment" choice:"cooperative" choice:"hinterberger" default:"cooperative" description:"deployment to describe"`
	Number     int    `long:"number" default:"1" description:"number of the host whose settings are printed"`
	Args       struct {
		Document string `positional-arg-name:"DOCUMENT" description:"settings, inventory or rules"`
	} `positional-args:"yes" required:"yes"`

	commander *Commander
}

// Execute runs the command.
func (c *exampleCommand) Execute([]string) error {
	deployment := deployments[c.Deployment]
	switch c.Args.Document {
	case "settings":
		if c.Number < 1 || c.Number > deployment.hosts {
			return errors.Wrapf(errUsage, "--number must be between 1 and %d", deployment.hosts)
		}
		return printJSON(c.commander.Out, deployment.settings(c.Number))
	case "inventory":
		return printInventory(c.commander.Out, deployment.inventory())
	case "rules":
		return printJSON(c.commander.Out, encoder.RuleBook{Rules: deployment.rules})
	}
	return errors.Wrap(errUsage, "DOCUMENT must be settings, inventory or rules")
}

// deployment describes a deployment of the size in table 1.4 of the design.
type deployment struct {
	hosts   int
	domains []string
	groups  []group
	rules   wigeonspindle.Rules
}

// group is an index with equal targets.
type group struct {
	index       string
	prefer      wigeonspindle.Preference
	shards      int
	replicas    int
	connections int
	open        string
	floor       float64
}

// deployments use addresses reserved for documentation. The design states no cold limit and
// no opening time for Hinterberger; the floors and that time are assumptions.
var deployments = map[string]deployment{
	"cooperative": {
		hosts: 15, domains: []string{"a", "b", "c", "d"},
		groups: []group{
			{"lookup", wigeonspindle.CoverageFirst, 50, 2, 50, "6ms", 20},
			{"commissions", wigeonspindle.CoverageFirst, 1, 7, 190, "1ms", 20},
			{"ledger", wigeonspindle.CoverageFirst, 1, 4, 190, "1ms", 20},
		},
		rules: rules(1),
	},
	"hinterberger": {
		hosts: 15, domains: []string{"a", "b", "c"},
		groups: []group{
			{"articles", wigeonspindle.TailFirst, 50, 2, 55, "6ms", 20},
			{"warehouse", wigeonspindle.TailFirst, 1, 20, 75, "1ms", 20},
			{"accounts", wigeonspindle.CoverageFirst, 1, 10, 75, "1ms", 20},
		},
		rules: rules(0.7),
	},
}

// rules returns the default rules with a soft deadline.
func rules(soft float64) wigeonspindle.Rules {
	rules := encoder.DefaultRules()
	rules.Soft = soft
	return rules
}

// settings returns the settings of a host. Hosts are dealt to the domains in turn.
func (d deployment) settings(number int) parser.Settings {
	address := fmt.Sprintf("192.0.2.%d", number)
	return parser.Settings{
		Name: fmt.Sprintf("host-%d", number), Domain: d.domains[(number-1)%len(d.domains)], Cell: "main",
		Caller: address + ":7000", Link: address + ":7001", Admin: address + ":7002",
		Token: "replace-this-token", Store: "203.0.113.1:7100", Hosts: "203.0.113.2:7200",
		Peers:   []string{fmt.Sprintf("192.0.2.%d:7001", number%d.hosts+1)},
		Workers: 2, Level: "info", Body: encoder.MaxBody, Connections: 4096,
	}
}

// inventory returns the indexes. The replicas of a shard are in different domains.
func (d deployment) inventory() encoder.Inventory {
	var inventory encoder.Inventory
	last := 0
	for _, group := range d.groups {
		index := wigeonspindle.Index{
			Name: group.index, Prefer: group.prefer, Snapshots: []wigeonspindle.Snapshot{{Version: "v1"}},
		}
		for shard := range group.shards {
			name := fmt.Sprintf("s%02d", shard+1)
			index.Snapshots[0].Shards = append(index.Snapshots[0].Shards, name)
			for replica := range group.replicas {
				last++
				target := group.target(fmt.Sprintf("%s-%s-%d", group.index, name, replica+1), last)
				target.Domain, target.Shards = d.domains[(shard+replica)%len(d.domains)], []string{name}
				index.Targets = append(index.Targets, target)
			}
		}
		inventory.Indexes = append(inventory.Indexes, index)
	}
	return inventory
}

func (g group) target(name string, number int) wigeonspindle.Target {
	target := wigeonspindle.Target{
		Name: name, Address: fmt.Sprintf("198.51.100.%d:9000", number),
		Slots: 2, Connections: g.connections, Floor: g.floor,
	}
	_ = target.Open.UnmarshalText([]byte(g.open)) // The groups above hold valid durations.
	return target
}

// printInventory writes an inventory with one target a line, which keeps the differences
// between two versions of a file readable.
func printInventory(out io.Writer, inventory encoder.Inventory) error {
	text := "{\"indexes\": ["
	for i, index := range inventory.Indexes {
		snapshots, err := json.Marshal(index.Snapshots)
		if err != nil {
			return errors.Wrap(err, "encode snapshots")
		}
		text += separator(i) + fmt.Sprintf(" {\"name\": %q, \"prefer\": %q,\n  \"snapshots\": %s,\n  \"targets\": [", index.Name, index.Prefer, snapshots)
		for j, target := range index.Targets {
			line, err := json.Marshal(target)
			if err != nil {
				return errors.Wrap(err, "encode target")
			}
			text += separator(j) + "   " + string(line)
		}
		text += "\n  ]}"
	}
	_, err := fmt.Fprintln(out, text+"\n]}")
	return errors.Wrap(err, "print inventory")
}

func separator(position int) string {
	if position == 0 {
		return "\n"
	}
	return ",\n"
}
