package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
	"wigeonspindle.example/wigeonspindle/internal/transport/loader"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// exampleCommand prints an example settings, inventory or rules file of a deployment. The
// files under examples/cooperative and examples/hinterberger are its output.
type exampleCommand struct {
	Deployment string `long:"deployment" choice:"cooperative" choice:"hinterberger" default:"cooperative" description:"deployment to describe"`
	Number     int    `long:"number" default:"1" description:"number of the host whose settings are printed"`
	Args       struct {
		Document string `positional-arg-name:"DOCUMENT" description:"settings, inventory or rules"`
	} `positional-args:"yes" required:"yes"`

	commander *Commander
}

// Execute implements flags.Commander.
func (c *exampleCommand) Execute([]string) error {
	deployment := loader.Deployments()[c.Deployment]
	switch c.Args.Document {
	case "settings":
		if c.Number < 1 || c.Number > deployment.Hosts {
			return errors.Wrapf(errUsage, "--number must be between 1 and %d", deployment.Hosts)
		}
		return printJSON(c.commander.Out, exampleSettings(deployment, c.Number))
	case "inventory":
		return printInventory(c.commander.Out, exampleInventory(deployment))
	case "rules":
		return printJSON(c.commander.Out, exampleRules(deployment))
	}
	return errors.Wrap(errUsage, "DOCUMENT must be settings, inventory or rules")
}

// exampleSettings returns the settings of a host, with addresses that are reserved for
// documentation. Hosts are assigned to the failure domains round-robin.
func exampleSettings(deployment loader.Deployment, number int) parser.Settings {
	address := fmt.Sprintf("192.0.2.%d", number)
	return parser.Settings{
		Name: fmt.Sprintf("host-%d", number), Domain: deployment.Domains[(number-1)%len(deployment.Domains)], Cell: "main",
		CallerAddress: address + ":7000", LinkAddress: address + ":7001", AdminAddress: address + ":7002",
		Token: "replace-this-token", StoreAddress: "203.0.113.1:7100", HostListAddress: "203.0.113.2:7200",
		PeerAddresses: []string{fmt.Sprintf("192.0.2.%d:7001", number%deployment.Hosts+1)},
		Workers:       deployment.Workers, LogLevel: "info", MaxBodyBytes: encoder.MaxBodyBytes, MaxConnections: 4096,
	}
}

// exampleRules returns the default rules. If an index of the deployment prefers tail latency,
// the soft deadline is half of the budget; indexes that prefer coverage ignore the soft
// deadline and wait until the deadline.
func exampleRules(deployment loader.Deployment) encoder.RulesDocument {
	rules := encoder.RulesDocument{Rules: validator.DefaultRules()}
	prefersTailLatency := func(group simulator.Group) bool { return group.Preference == wigeonspindle.PreferTailLatency }
	if slices.ContainsFunc(deployment.Groups, prefersTailLatency) {
		rules.Rules.Soft = 0.5
	}
	return rules
}

// exampleInventory returns the indexes of a deployment, with the replicas of a shard in
// different failure domains.
func exampleInventory(deployment loader.Deployment) encoder.Inventory {
	var inventory encoder.Inventory
	targetNumber := 0
	for _, group := range deployment.Groups {
		index := wigeonspindle.Index{
			Name: group.Index, Preference: group.Preference, Snapshots: []wigeonspindle.Snapshot{{Version: simulator.Version}},
		}
		for shard := range group.Shards {
			name := fmt.Sprintf("s%02d", shard)
			index.Snapshots[0].Shards = append(index.Snapshots[0].Shards, name)
			for replica := range group.Replicas {
				targetNumber++
				index.Targets = append(index.Targets, wigeonspindle.Target{
					Name: fmt.Sprintf("%s-%s-r%d", group.Index, name, replica), Address: fmt.Sprintf("198.51.100.%d:9000", targetNumber),
					Domain: group.Domains[(shard+replica)%len(group.Domains)], Shards: []string{name},
					Slots: group.Slots, Connections: group.Connections, Open: group.Open, Floor: group.Floor,
				})
			}
		}
		inventory.Indexes = append(inventory.Indexes, index)
	}
	return inventory
}

// printInventory writes an inventory with one target per line, so that diffs between versions
// of a file are readable.
func printInventory(out io.Writer, inventory encoder.Inventory) error {
	text := "{\"indexes\": ["
	for i, index := range inventory.Indexes {
		snapshots, err := json.Marshal(index.Snapshots)
		if err != nil {
			return errors.Wrap(err, "encode snapshots")
		}
		text += separator(i) + fmt.Sprintf(" {\"name\": %q, \"prefer\": %q,\n  \"snapshots\": %s,\n  \"targets\": [", index.Name, index.Preference, snapshots)
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
	return errors.Wrap(err, "write inventory")
}

func separator(index int) string {
	if index == 0 {
		return "\n"
	}
	return ",\n"
}
